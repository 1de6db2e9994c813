"""The number of entries that limits for all entries together are divided by."""

from vanillashore_gateway._fleet_size import MEMORY_S, SETTLE_S, YOUNG_S, FleetSize

SEEDS = 3


class _Clock:
    time = 0.0

    def __call__(self) -> float:
        return self.time


def _fleet(*listed: int, seeds: int = SEEDS) -> tuple[FleetSize, _Clock]:
    clock = _Clock()
    fleet = FleetSize(seeds, clock)
    for count in listed:
        fleet.update(count)
    return fleet, clock


def test_list_that_gets_short_does_not_make_the_fleet_smaller() -> None:
    fleet, clock = _fleet(28, 27, 14, 2, 9)
    assert fleet.count == 28
    assert fleet.part_listed == 9 / 28
    clock.time = MEMORY_S - 1.0
    assert fleet.count == 28


def test_fleet_is_smaller_once_its_size_is_long_past() -> None:
    fleet, clock = _fleet(28)
    clock.time = 10.0
    fleet.update(20)
    clock.time = 20.0
    fleet.update(12)
    clock.time = 10.0 + MEMORY_S + 1.0
    assert fleet.count == 20
    clock.time = 20.0 + MEMORY_S + 1.0
    assert fleet.count == 12
    assert fleet.part_listed == 1.0


def test_fleet_does_not_get_smaller_in_an_outage_of_the_store_or_just_after_it() -> None:
    fleet, clock = _fleet(28, 3)
    fleet.is_list_fresh = lambda: False
    clock.time = 10 * MEMORY_S
    assert fleet.count == 28
    fleet.is_list_fresh = lambda: True
    clock.time += SETTLE_S - 0.1
    assert fleet.count == 28
    clock.time += 0.2
    assert fleet.count == 3


def test_fleet_grows_at_once() -> None:
    fleet, _ = _fleet(28, 14, 40)
    assert fleet.count == 40


def test_seeds_are_the_least_size() -> None:
    fleet, _ = _fleet(1)
    assert fleet.count == SEEDS
    assert fleet.part_listed == 1 / SEEDS


def test_size_is_known_after_the_list_has_been_steady_and_up_to_date() -> None:
    fleet, clock = _fleet(5)
    clock.time = SETTLE_S - 0.1
    assert not fleet.is_known
    fleet.update(28)
    clock.time += SETTLE_S - 0.1
    assert not fleet.is_known
    clock.time += 0.2
    assert fleet.is_known
    fleet.update(3)
    assert fleet.is_known


def test_size_is_not_known_from_a_list_that_may_be_out_of_date() -> None:
    fleet, clock = _fleet(5)
    fleet.is_list_fresh = lambda: False
    clock.time = 100.0
    assert not fleet.is_known
    fleet.is_list_fresh = lambda: True
    clock.time = 100.0 + SETTLE_S - 0.1
    assert not fleet.is_known
    clock.time = 100.0 + SETTLE_S
    assert fleet.is_known


def test_size_is_known_from_another_entry() -> None:
    fleet, _ = _fleet(5)
    fleet.learn(28)
    assert fleet.is_known
    assert fleet.count == 28


def test_size_of_a_fleet_that_the_deployment_names_whole_is_known() -> None:
    fleet, _ = _fleet(1, seeds=2)
    assert fleet.is_known


def test_process_is_young_for_a_window() -> None:
    fleet, clock = _fleet(5)
    assert fleet.is_young
    clock.time = YOUNG_S
    assert not fleet.is_young
