"""Refusals and their codes."""

from collections.abc import Sequence
from enum import StrEnum

import attrs
import orjson

from vanillashore_gateway._domain import Header


class ErrorCode(StrEnum):
    """Why the gateway refused a request or gave it up."""

    BAD_REQUEST = "bad_request"
    KEY_INVALID = "key_invalid"
    NO_ROUTE = "no_route"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    SLOW_CALLER = "slow_caller"
    MEMORY_FULL = "memory_full"
    RATE_LIMITED = "rate_limited"
    NO_CONFIGURATION = "no_configuration"
    NO_ENDPOINT = "no_endpoint"
    ENDPOINTS_FULL = "endpoints_full"
    TOO_LATE = "too_late"
    ORIGIN_UNKNOWN = "origin_unknown"
    STOPPING = "stopping"
    CRASHES_ENDPOINTS = "crashes_endpoints"
    ENDPOINT_FAILED = "endpoint_failed"
    TIMED_OUT = "timed_out"
    INTERNAL = "internal"


STATUS = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.KEY_INVALID: 401,
    ErrorCode.NO_ROUTE: 404,
    ErrorCode.SLOW_CALLER: 408,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.RATE_LIMITED: 429,
    ErrorCode.HEADERS_TOO_LARGE: 431,
    ErrorCode.INTERNAL: 500,
    ErrorCode.ENDPOINT_FAILED: 502,
    ErrorCode.MEMORY_FULL: 503,
    ErrorCode.NO_CONFIGURATION: 503,
    ErrorCode.NO_ENDPOINT: 503,
    ErrorCode.ENDPOINTS_FULL: 503,
    ErrorCode.TOO_LATE: 503,
    ErrorCode.ORIGIN_UNKNOWN: 503,
    ErrorCode.STOPPING: 503,
    ErrorCode.CRASHES_ENDPOINTS: 503,
    ErrorCode.TIMED_OUT: 504,
}
NOT_RUN_STATUSES = frozenset({400, 401, 404, 408, 413, 429, 431, 503})


@attrs.frozen
class Refused:
    """An error answer of the gateway; ``retry_after_s`` is when a retry may succeed."""

    code: ErrorCode
    text: str
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """HTTP status."""
        return STATUS[self.code]

    @property
    def ran(self) -> str:
        """Return ``no`` only if the request certainly did not and will not run."""
        return "no" if self.status in NOT_RUN_STATUSES else "unknown"

    def headers(self, extra: Sequence[Header] = ()) -> list[Header]:
        """Return the headers of the answer."""
        headers = [(b"Content-Type", b"application/json"), *extra]
        if self.retry_after_s is not None:
            headers.append((b"Retry-After", b"%.3f" % self.retry_after_s))
        return headers

    def body(self, request_id: str) -> bytes:
        """Return the JSON body of the answer."""
        error = {
            "code": self.code.value,
            "message": self.text,
            "request_id": request_id,
            "ran": self.ran,
        }
        return orjson.dumps({"error": error})


class RefusalError(Exception):
    """A request was refused."""

    def __init__(self, refused: Refused) -> None:
        super().__init__(f"{refused.code.value}: {refused.text}")
        self.refused = refused


def refusal(code: ErrorCode, text: str, retry_after_s: float | None = None) -> RefusalError:
    """Return the error that refuses a request."""
    return RefusalError(Refused(code, text, retry_after_s))
