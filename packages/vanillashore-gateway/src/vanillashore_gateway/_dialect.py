"""What a gateway needs of an outside system's protocol; each has one adapter."""

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
class SendOrder:
    """One sending of a request to an endpoint.

    ``kv`` is a cache to fetch, ``hold`` a reservation to use, ``resume_after`` the last event that
    the caller has.
    """

    req: CallerRequest
    endpoint: Endpoint
    workspace: str
    time_left_s: float
    is_prefill: bool = False
    kv: PrefillHandle | None = None
    hold: Hold | None = None
    resume_after: int | None = None


class Dialect(Protocol):
    """Names and formats on requests and answers."""

    def decode_request(self, head: RequestHead, body: bytes, arrived: float) -> CallerRequest:
        """Decode a caller's request; raise BadRequestError if it has no usable id."""
        ...

    def encode_order(self, order: SendOrder) -> bytes:
        """Return the bytes that the endpoint gets."""
        ...

    def decode_answer(self, head: ResponseHead) -> AnswerHead:
        """Decode the head of an endpoint's answer."""
        ...

    def decode_handle(self, body: bytes) -> str:
        """Return the name of a prefilled cache; raise ValueError if the body has none."""
        ...

    def answers_request(self, head: ResponseHead, request_id: bytes) -> bool:
        """Whether an answer belongs to the request of that id."""
        ...

    def own_headers(self, request_id: bytes) -> Sequence[Header]:
        """Return the headers that an answer of the gateway itself carries."""
        ...

    def answers_call(self, head: ResponseHead) -> bool:
        """Whether an answer may be that of a call which is no caller's request."""
        ...

    def encode_hold(self, endpoint: Endpoint, tokens: int, ttl_s: float) -> bytes:
        """Return the call that reserves a slot and memory."""
        ...

    def decode_hold(self, status: int, body: bytes) -> str | None:
        """Return the name of a reservation, ``None`` if it is refused."""
        ...

    def encode_hold_drop(self, endpoint: Endpoint, name: str) -> bytes:
        """Return the call that gives a reservation back."""
        ...

    def encode_role_order(self, order: RoleOrder) -> bytes:
        """Return the call that orders another role."""
        ...

    def decode_order_answer(self, status: int) -> OrderAnswer:
        """Return what an engine says to an order."""
        ...

    def encode_report_request(self, endpoint: Endpoint) -> bytes:
        """Return the call that asks an engine for its state."""
        ...

    def decode_orders_taken(self, body: bytes) -> int:
        """Return how many orders an engine has taken; raise ValueError if it does not say."""
        ...
