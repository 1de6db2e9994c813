"""Interface to a platform's protocol; each platform has one adapter."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from vanillashore_gateway._domain import (
    AnswerHead,
    CallerRequest,
    Endpoint,
    Header,
    Hold,
    OrderAnswer,
    PrefillHandle,
    RoleOrder,
)
from vanillashore_gateway._http_messages import RequestHead, ResponseHead


@attrs.frozen
class OutboundRequest:
    """One attempt to send a request to an endpoint.

    ``kv`` is a prefilled KV cache to fetch, ``hold`` a reservation to use, and ``resume_after`` the
    id of the last event that the caller has. An engine serves a lower ``rank`` first; ``None`` does
    not state one.
    """

    req: CallerRequest
    endpoint: Endpoint
    workspace: str
    time_left_s: float
    is_prefill: bool = False
    kv: PrefillHandle | None = None
    hold: Hold | None = None
    resume_after: int | None = None
    rank: int | None = None


class Dialect(Protocol):
    """Protocol adapter: decodes and encodes requests, calls and answers."""

    def decode_request(self, head: RequestHead, body: bytes, arrived: float) -> CallerRequest:
        """Decode a caller's request; raise RefusalError if it is invalid."""
        ...

    def encode_outbound(self, outbound: OutboundRequest) -> bytes:
        """Encode a caller's request for an endpoint."""
        ...

    def decode_answer(self, head: ResponseHead) -> AnswerHead:
        """Decode the head of an endpoint's answer."""
        ...

    def decode_handle(self, body: bytes) -> str:
        """Return the name of a prefilled KV cache; raise ValueError if the body has none."""
        ...

    def answer_id(self, head: ResponseHead) -> bytes | None:
        """Return the id of the request that an answer belongs to, ``None`` if it bears none.

        Answers to a gateway's own calls bear none.
        """
        ...

    def own_headers(self, request_id: bytes) -> Sequence[Header]:
        """Return the headers for an answer of the gateway itself."""
        ...

    def encode_hold(self, endpoint: Endpoint, tokens: int, ttl_s: float) -> bytes:
        """Encode the call that reserves a slot and memory."""
        ...

    def decode_hold(self, status: int, body: bytes) -> str | None:
        """Return the name of a reservation, or ``None`` if it was refused.

        Raises ValueError if the body is malformed.
        """
        ...

    def encode_hold_drop(self, endpoint: Endpoint, name: str) -> bytes:
        """Encode the call that releases a reservation."""
        ...

    def encode_role_order(self, order: RoleOrder) -> bytes:
        """Encode the call that orders an engine to change its role."""
        ...

    def decode_order_answer(self, status: int) -> OrderAnswer:
        """Decode an engine's answer to an order."""
        ...

    def encode_report_request(self, endpoint: Endpoint) -> bytes:
        """Encode the call that requests an engine's state."""
        ...

    def decode_started_ms(self, body: bytes) -> int | None:
        """Return when an engine started by its own clock, ``None`` if it does not state it."""
        ...

    def decode_orders_taken(self, body: bytes) -> int:
        """Return how many orders an engine has accepted; raise ValueError if unstated."""
        ...
