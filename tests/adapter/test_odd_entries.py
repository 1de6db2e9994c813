"""Entries of another writer among those of the endpoints."""

import asyncio
from typing import Any

import orjson
import pytest

from vanillashore_adapter import decode_endpoint
from vanillashore_gateway import Endpoint
from vanillashore_standins import wait_until
from vanillashore_standins.platform_endpoint import EndpointStandIn
from vanillashore_standins.platform_rig import ORDERS, PlatformRig, configuration

VALID = EndpointStandIn("s9", ORDERS).entry(address="127.0.0.1:8080")
NESTED = "nested"  # Stands for a value that is nested more deeply than can be encoded here.
DEPTH = 1_000


def _encode(value: Any) -> bytes:
    return orjson.dumps(value).replace(b'"nested"', b"[" * DEPTH + b"]" * DEPTH)


ODD_FIELDS: list[dict[str, Any]] = [
    *({name: NESTED} for name in ("service", "address", "zone", "version", "state", "slots")),
    {"address": "127.0.0.1:65536"},
    {"address": "127.0.0.1:0"},
    {"address": f"127.0.0.1:{'9' * 5_000}"},
    {"address": "127.0.0.1:٨٠"},
    {"address": NESTED},
    {"slots": 1e308},
    {"slots": -1},
    {"cold_remaining_ms": 1e308},
    {"born": 2**64 - 1},
    {"service": "o" * 100_000},
    {"zone": "dc\r\nX-Tenant: other"},
    {"version": "v" * 100_000},
]
ODD_VALUES = [
    b"",
    b"[]",
    b"\xff\xfe",
    b'{"slots":' + b"9" * 10_000 + b"}",
    b'{"slots":1e999}',
    b"[" * 100_000,
    *(_encode(VALID | fields) for fields in ODD_FIELDS),
]
ODD_NAMES = ["", "s\r\nX-Tenant: other", "s" * 190, "s/1 "]


@pytest.mark.parametrize("value", ODD_VALUES, ids=range(len(ODD_VALUES)))
def test_odd_entry_names_no_endpoint(value: bytes) -> None:
    with pytest.raises(ValueError):  # noqa: PT011
        decode_endpoint("s9", value)


@pytest.mark.parametrize("name", ODD_NAMES)
def test_entry_with_an_odd_name_names_no_endpoint(name: str) -> None:
    with pytest.raises(ValueError, match="instance"):
        decode_endpoint(name, orjson.dumps(VALID))


def test_valid_entry_beside_them_is_decoded() -> None:
    assert isinstance(decode_endpoint("s9", orjson.dumps(VALID)), Endpoint)


@pytest.mark.parametrize("is_listed_at_start", [True, False])
async def test_odd_entries_neither_end_a_process_nor_stop_it_from_following(
    is_listed_at_start: bool,
) -> None:
    rig = PlatformRig(services=1)

    def write_odd_entries() -> None:
        for number, value in enumerate(ODD_VALUES):
            rig.store.put(f"servers/odd-{number}", value)
        for name in ODD_NAMES:
            rig.store.put(f"servers/{name}", VALID)

    if is_listed_at_start:
        write_odd_entries()
    async with rig:
        write_odd_entries()
        rig.store.put("op/config", configuration(2))
        await wait_until(lambda: rig.process.gateway.config_version == 2)
        assert len(rig.process.gateway.membership) == 1
        for number in range(5):
            assert (await rig.ask("POST", "/pay/1", f"id-{number}", b"pay")).status == 200


ODD_ADDRESSES: list[Any] = [
    ["127.0.0.1", 65_536],
    ["127.0.0.1", -1],
    ["127.0.0.1", 1e300],
    ["no address", 80],
    [NESTED, 80],
    [80, "127.0.0.1"],
    [None, None],
]


async def test_odd_registrations_of_entries_neither_end_a_process_nor_stop_it_from_following() -> (
    None
):
    async with PlatformRig(services=1) as rig:
        for number, address in enumerate(ODD_ADDRESSES):
            rig.store.put(f"vanillashore/entries/odd-{number}", _encode(address))
        rig.store.put("op/config", configuration(2))
        await wait_until(lambda: rig.process.gateway.config_version == 2)
        assert rig.process.gateway.known_entries == 1
        await asyncio.sleep(0.05)
        assert (await rig.ask("POST", "/pay/1", "id-1", b"pay")).status == 200
