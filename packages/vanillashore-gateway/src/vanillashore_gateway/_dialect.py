"""What a gateway needs of an outside system's protocol; each has one adapter."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from vanillashore_gateway._domain import (
    AnswerHead,
    CallerRequest,
    Endpoint,
    Header,
    PrefillHandle,
)
from vanillashore_gateway._http_messages import RequestHead, ResponseHead


@attrs.frozen
class SendOrder:
    """One sending of a request to an endpoint.

    ``kv`` is a cache to fetch, ``resume_after`` the last event that the caller has.
    """

    req: CallerRequest
    endpoint: Endpoint
    workspace: str
    time_left_s: float
    is_prefill: bool = False
    kv: PrefillHandle | None = None
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
