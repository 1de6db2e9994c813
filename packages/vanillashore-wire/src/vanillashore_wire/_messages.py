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
    """Type of work that a reservation is for."""

    DECODE = "decode"
    PREFILL = "prefill"
    CALL = "call"


@message("ack")
@attrs.frozen
class Ack:
    """Reply without content: the message was handled."""


@compact
@attrs.frozen
class Load:
    """Current occupancy of an endpoint, as tracked by its sidecar; pieces are KV cache blocks."""

    running: int = 0
    waiting: int = 0
    slots: int = 0
    free_pieces: int = 0


@message("reserve_ask")
@compact
@attrs.frozen
class ReserveRequest:
    """Ask a sidecar for a reservation on its endpoint for one attempt.

    ``pieces`` is the most KV memory that the attempt may need. ``patience_s`` is the longest wait
    in the queue and ``deadline_s`` the remaining time of the caller's request, both counted from
    sending. ``tokens`` is the amount of work: prompt tokens to prefill, or the maximum number of
    tokens to generate.
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
    """A granted reservation; it expires after ``valid_s`` seconds if it is not used."""

    reservation: str
    valid_s: float
    load: Load


@message("reserve_withdraw")
@compact
@attrs.frozen
class ReserveWithdraw:
    """Release a reservation, or cancel a reserve request that is still queued."""

    request_id: str
    attempt: int
    kind: ReservationKind


@attrs.frozen
class KvHandle:
    """Address and handle for importing the KV cache of a finished prefill."""

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
    """Sampling options that a caller set; ``None`` means the engine's default."""

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

    A TOKEN frame carries the token at position ``sequence``. An END frame gives the number of
    tokens of the complete answer in ``sequence``, and why it ended in ``finish_reason``. A FAILED
    frame carries a refusal.
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
    """One HTTP header forwarded to or from a plain service."""

    name: str
    value: str


@attrs.frozen
class CallOrder:
    """Body of ``POST /internal/call``: one call to a plain service.

    The body is Base64 encoded, since JSON cannot carry arbitrary bytes. ``idempotency_key`` is
    empty if the caller sent none. ``run_id`` identifies the caller's request; all orders for that
    request have the same one.
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
    """Answer to a `CallOrder`: the service's response and the endpoint that gave it."""

    status: int
    headers: tuple[Header, ...]
    body_base64: str
    endpoint: str
    replayed: bool = False
