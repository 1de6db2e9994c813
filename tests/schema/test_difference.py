import attrs
import pytest

from vanillashore_schema import (
    Configuration,
    EndpointConfig,
    EndpointRole,
    KeyConfig,
    ModelConfig,
    RouteConfig,
    ServiceConfig,
    WorkspaceConfig,
    difference,
    find_access_losses,
    hash_key,
)


def _key(name: str) -> KeyConfig:
    return KeyConfig(name, hash_key(name))


CONFIG = Configuration(
    workspace=(WorkspaceConfig("a", 1.0, 2.0, key=(_key("k1"), _key("k2"))),),
    model=(ModelConfig("m"),),
    service=(ServiceConfig("s"),),
    route=(RouteConfig("/pay", ("POST",), "s", idempotent=False),),
    endpoint=(
        EndpointConfig("p", EndpointRole.PREFILL, model="m"),
        EndpointConfig("d1", EndpointRole.DECODE, model="m"),
        EndpointConfig("d2", EndpointRole.DECODE, model="m"),
        EndpointConfig("s1", EndpointRole.SERVICE, service="s"),
    ),
)


def _workspace(**changes: object) -> Configuration:
    return attrs.evolve(CONFIG, workspace=(attrs.evolve(CONFIG.workspace[0], **changes),))


def _endpoints(*vms: str) -> Configuration:
    return attrs.evolve(CONFIG, endpoint=tuple(e for e in CONFIG.endpoint if e.vm in vms))


@pytest.mark.parametrize(
    ("new", "lines"),
    [
        (CONFIG, []),
        (_workspace(rate_tokens_per_s=3.0), ["~ workspace a: rate_tokens_per_s 1.0 -> 3.0"]),
        (_workspace(key=(_key("k2"),)), ["~ workspace a: key k1 withdrawn"]),
        (_workspace(key=(*CONFIG.workspace[0].key, _key("k3"))), ["~ workspace a: key k3 granted"]),
        (_workspace(name="b"), ["- workspace a", "+ workspace b"]),
        (_endpoints("p", "d1", "s1"), ["- endpoint d2"]),
        (attrs.evolve(CONFIG, endpoint=CONFIG.endpoint[::-1]), []),
        (attrs.evolve(CONFIG, route=()), ["- route POST /pay"]),
    ],
)
def test_difference(new: Configuration, lines: list[str]) -> None:
    assert [str(change) for change in difference(CONFIG, new)] == lines


@pytest.mark.parametrize(
    ("new", "subjects"),
    [
        (CONFIG, []),
        (_workspace(key=(_key("k2"),)), []),
        (_workspace(key=()), ["workspace:a"]),
        (_workspace(key=(_key("k3"),)), ["workspace:a"]),
        (attrs.evolve(CONFIG, workspace=()), ["workspace:a"]),
        (_endpoints("p", "d1", "s1"), []),
        (_endpoints("p", "s1"), ["model:m"]),
        (_endpoints("d1", "d2"), ["model:m", "service:s"]),
    ],
)
def test_access_losses(new: Configuration, subjects: list[str]) -> None:
    assert [loss.subject for loss in find_access_losses(CONFIG, new)] == subjects


def test_added_rows_are_no_access_loss() -> None:
    assert find_access_losses(Configuration(), CONFIG) == ()
