"""Datagrams between entries about prompt parts that crash endpoints."""

from typing import Any

import attrs
import orjson

MAX_TRIALS = 16  # Further ones would be years apart.
MAX_TRAITS = 48  # In one datagram, which then has less than 1,400 bytes.


@attrs.frozen
class PartCrash:
    """Reports a candidate for the cause of a crash.

    ``proven`` are those of its traits that have lately brought events at the entry that reports.
    """

    service: str
    instance: str
    new: tuple[str, ...]
    proven: tuple[str, ...]

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["part crash", self.service, self.instance, self.new, self.proven])


@attrs.frozen
class PartSuspects:
    """Asks all entries to report when a request with one of these traits brings an event."""

    traits: tuple[str, ...]

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["part suspects", self.traits])


@attrs.frozen
class PartsCleared:
    """Reports that a request with these traits has brought an event."""

    service: str
    traits: tuple[str, ...]

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["part cleared", self.service, self.traits])


@attrs.frozen
class Block:
    """Refuses requests of a service that have all of some traits; without any, it has ended.

    A higher ``version`` replaces a lower one. ``trials`` requests have been let through since, the
    last one ``age_s`` ago; if there were none, that is the time since the block began.
    """

    block_id: str
    version: int
    service: str
    traits: tuple[str, ...]
    trials: int
    age_s: float

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["part block", *attrs.astuple(self)])


@attrs.frozen
class BlockQuery:
    """Asks for the blocks that an entry knows."""

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["part query"])


PartMessage = PartCrash | PartSuspects | PartsCleared | Block | BlockQuery


def decode_part(data: bytes) -> PartMessage:
    """Decode a datagram; raise ValueError if it is none of these messages."""
    match orjson.loads(data):
        case ["part crash", str(service), str(instance), [*new], [*proven], *_]:
            return PartCrash(service, instance, _traits(new), _traits(proven))
        case ["part suspects", [*traits], *_]:
            return PartSuspects(_traits(traits))
        case ["part cleared", str(service), [*traits], *_]:
            return PartsCleared(service, _traits(traits))
        case [
            "part block",
            str(block_id),
            int(version),
            str(service),
            [*traits],
            int(trials),
            float(age_s) | int(age_s),
            *_,
        ] if 0 <= trials <= MAX_TRIALS and age_s >= 0:
            return Block(block_id, version, service, _traits(traits), trials, float(age_s))
        case ["part query", *_]:
            return BlockQuery()
    raise ValueError("not a message about prompt parts")


def _traits(values: list[Any]) -> tuple[str, ...]:
    if len(values) > MAX_TRAITS or not all(isinstance(value, str) for value in values):
        raise ValueError("malformed traits")
    return tuple(values)
