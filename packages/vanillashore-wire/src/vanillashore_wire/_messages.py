"""Messages between entries and sidecars."""

from enum import StrEnum

import attrs

from vanillashore_wire._codec import compact, message
from vanillashore_wire._errors import Refused


class RouteClass(StrEnum):
    """Scheduling class of a route; interactive work is served before batch work."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


class ReservationKind(StrEnum):
    """What a reservation is for."""

    DECODE = "decode"
    PREFILL = "prefill"
    CALL = "call"


@message("ack")
@attrs.frozen
class Ack:
    """A reply that says no more than that the message was handled."""


@compact
@attrs.frozen
class Load:
    """Occupancy of an endpoint as its sidecar knows it, without lag."""

    running: int = 0
    waiting: int = 0
    slots: int = 0
    free_pieces: int = 0


@message("reserve_ask")
@compact
@attrs.frozen
class ReserveRequest:
    """Ask a sidecar for a place on its endpoint for one attempt.

    ``pieces`` is the KV memory the attempt may come to need, ``patience_s`` how long the ask may
    wait in the queue, ``deadline_s`` the time left to the request; both count from sending.
    ``tokens`` is the work: prompt tokens to prefill, or the most tokens to generate.
    """

    request_id: str
    attempt: int
    kind: ReservationKind
    workspace: str
    model: str
    pieces: int
    route_class: RouteClass
    patience_s: float
    deadline_s: float
    tokens: int = 1


@message("reserve_grant")
@compact
@attrs.frozen
class ReserveGrant:
    """A granted reservation; it lapses after ``valid_s`` seconds if it is not used."""

    reservation: str
    valid_s: float
    load: Load


@message("reserve_withdraw")
@compact
@attrs.frozen
class ReserveWithdraw:
    """Give up a reservation, or an ask that still waits."""

    request_id: str
    attempt: int
    kind: ReservationKind


@attrs.frozen
class KvHandle:
    """Where a finished prefill's KV cache can be imported from."""

    engine_address: str
    handle: str
    pieces: int


@attrs.frozen
class PrefillOrder:
    """Body of ``POST /internal/prefill``."""

    request_id: str
    attempt: int
    reservation: str
    workspace: str
    model: str
    prompt: str
    route_class: RouteClass
    deadline_s: float
    revision: int
    fingerprint: str = ""


@attrs.frozen
class PrefillDone:
    """Answer to a `PrefillOrder`."""

    kv: KvHandle
    prompt_tokens: int
    cached_pieces: int
    load: Load


@attrs.frozen
class Sampling:
    """Sampling options of a caller, handed to the engine; ``None`` leaves its default."""

    temperature: float | None = None
    top_p: float | None = None
    seed: int | None = None
    presence_penalty: float | None = None
    frequency_penalty: float | None = None
    stop: tuple[str, ...] = ()


@attrs.frozen
class DecodeOrder:
    """Body of ``POST /internal/decode``; answered by a stream of `Frame` lines.

    ``emitted_tokens`` tokens of the answer are already part of ``prompt``; the first frame of the
    stream has that sequence number.
    """

    request_id: str
    attempt: int
    reservation: str
    workspace: str
    model: str
    prompt: str
    emitted_tokens: int
    max_tokens: int
    kv: KvHandle
    route_class: RouteClass
    deadline_s: float
    revision: int
    sampling: Sampling = Sampling()
    fingerprint: str = ""


class FrameKind(StrEnum):
    """Kind of a `Frame`."""

    TOKEN = "t"
    END = "e"
    FAILED = "f"


@attrs.frozen
class Frame:
    """One line of a decode stream.

    A TOKEN frame carries the token at position ``sequence``. An END frame states in ``sequence``
    how many tokens the whole answer has, and why it ended. A FAILED frame carries a refusal.
    """

    request_id: str
    attempt: int
    kind: FrameKind
    sequence: int
    text: str = ""
    finish_reason: str = ""
    refused: Refused | None = None


@attrs.frozen
class Header:
    """One HTTP header that is forwarded to or from a plain service."""

    name: str
    value: str


@attrs.frozen
class CallOrder:
    """Body of ``POST /internal/call``: one call to a plain service.

    ``body_base64`` keeps any bytes intact. ``idempotency_key`` is empty where the caller gave none.
    ``run_id`` names one request of a caller; all orders for that request carry the same.
    """

    request_id: str
    attempt: int
    workspace: str
    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body_base64: str
    idempotent: bool
    idempotency_key: str
    route_class: RouteClass
    deadline_s: float
    revision: int
    run_id: str = ""
    reservation: str = ""


@attrs.frozen
class CallDone:
    """Answer to a `CallOrder`: what the service answered, and by which endpoint."""

    status: int
    headers: tuple[Header, ...]
    body_base64: str
    endpoint: str
    replayed: bool = False
