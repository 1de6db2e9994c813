from vanillashore_node._config_relays import rank_relays, relays_of
from vanillashore_store import VmEntry, VmState


def _vms(count: int, data_centre: str = "dc-1") -> list[VmEntry]:
    return [VmEntry(f"vm-{i}", f"http://10.0.0.{i}:1", data_centre, "entry") for i in range(count)]


def _names(vms: list[VmEntry]) -> set[str]:
    return {vm.name for vm in vms}


def test_number_of_relays_grows_with_the_square_root() -> None:
    assert [len(relays_of(_vms(n), "dc-1")) for n in (1, 2, 9, 100, 200)] == [1, 2, 3, 10, 14]


def test_relays_are_live_vms_of_the_data_centre() -> None:
    leaving = VmEntry("leaving", "http://10.0.1.1:1", "dc-1", "entry", VmState.LEAVING)
    vms = [*_vms(4), leaving, *_vms(50, "dc-2")]
    assert relays_of(vms, "dc-1") == relays_of(_vms(4), "dc-1")


def test_relays_do_not_depend_on_the_order_of_the_list() -> None:
    vms = _vms(30)
    assert relays_of(vms, "dc-1") == relays_of(reversed(vms), "dc-1")


def test_a_lost_relay_is_replaced_and_the_others_stay() -> None:
    vms = _vms(100)
    before = relays_of(vms, "dc-1")
    after = relays_of([vm for vm in vms if vm is not before[0]], "dc-1")
    assert _names(before[1:]) <= _names(after)


def test_first_relays_of_vms_are_spread_evenly() -> None:
    relays = relays_of(_vms(100), "dc-1")
    first_relays = [rank_relays(f"vm-{i}", relays)[0].name for i in range(100)]
    assert all(first_relays.count(relay.name) < 30 for relay in relays)
