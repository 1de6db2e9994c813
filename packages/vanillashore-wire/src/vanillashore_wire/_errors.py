"""Errors with stable codes, shared by all processes."""

from enum import StrEnum

import attrs

from vanillashore_wire._codec import message

# From these statuses callers conclude that their request was not executed and never will be.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})


class WasExecuted(StrEnum):
    """Whether a refused or failed request may have been executed.

    ``NO`` is used only when it is certain that the request was not executed.
    """

    NO = "no"
    UNKNOWN = "unknown"


class ErrorCode(StrEnum):
    """Every error code that callers or operators can receive, with its HTTP status.

    The value is the stable name; ``status`` is the HTTP status of the response to the caller::

        ErrorCode.RATE_LIMITED.status  # 429
    """

    status: int

    def __new__(cls, value: str, status: int) -> "ErrorCode":
        """Create a member with its HTTP status."""
        member = str.__new__(cls, value)
        member._value_ = value
        member.status = status
        return member

    BAD_REQUEST = ("bad_request", 400)
    BODY_NOT_JSON = ("body_not_json", 400)
    CONTEXT_TOO_LONG = ("context_too_long", 400)
    KEY_MISSING = ("key_missing", 401)
    KEY_INVALID = ("key_invalid", 401)
    FLEET_SECRET_INVALID = ("fleet_secret_invalid", 403)
    MODEL_UNKNOWN = ("model_unknown", 404)
    ROUTE_UNKNOWN = ("route_unknown", 404)
    METHOD_NOT_ALLOWED = ("method_not_allowed", 405)
    BODY_TIMEOUT = ("body_timeout", 408)
    IN_PROGRESS = ("in_progress", 409)
    IDEMPOTENCY_MISMATCH = ("idempotency_mismatch", 422)
    BODY_TOO_LARGE = ("body_too_large", 413)
    HEADERS_TOO_LARGE = ("headers_too_large", 431)
    QUARANTINED = ("quarantined", 422)
    RATE_LIMITED = ("rate_limited", 429)
    TOO_MANY_REQUESTS = ("too_many_requests", 429)
    CANCELLED = ("cancelled", 499)
    INTERNAL = ("internal", 500)
    ENDPOINT_CRASHED = ("endpoint_crashed", 502)
    ENDPOINT_FAILED = ("endpoint_failed", 502)
    OUTCOME_UNKNOWN = ("outcome_unknown", 502)
    ISOLATED = ("isolated", 503)
    MEMORY_FULL = ("memory_full", 503)
    OVERLOADED = ("overloaded", 503)
    NO_ENDPOINT = ("no_endpoint", 503)
    NOT_CONFIGURED = ("not_configured", 503)
    CUT_OFF = ("cut_off", 503)
    REVISION_STALE = ("revision_stale", 503)
    KEY_IN_DOUBT = ("key_in_doubt", 503)
    SHUTTING_DOWN = ("shutting_down", 503)
    STORE_UNAVAILABLE = ("store_unavailable", 503)
    SHARE_UNREACHABLE = ("share_unreachable", 503)
    ROLE_MISMATCH = ("role_mismatch", 503)
    RESERVATION_UNKNOWN = ("reservation_unknown", 503)
    ORDER_STALE = ("order_stale", 409)
    DEADLINE_EXCEEDED = ("deadline_exceeded", 504)
    PEER_UNREACHABLE = ("peer_unreachable", 502)
    REVISION_CONFLICT = ("revision_conflict", 409)
    HELD_BACK = ("held_back", 409)
    CONFIG_INVALID = ("config_invalid", 400)
    SETTINGS_INVALID = ("settings_invalid", 400)
    FILE_UNREADABLE = ("file_unreadable", 400)


class VanillashoreError(Exception):
    """Base class of all errors that the project raises deliberately.

    ``str(exc)`` is a single line for display in a terminal.
    """

    def __init__(self, code: ErrorCode, text: str) -> None:
        super().__init__(text)
        self.code = code
        self.text = text

    def __str__(self) -> str:
        return f"{self.code.value}: {self.text}"


@message("refused")
@attrs.frozen
class Refused:
    """Refusal of a request, sent between processes and to callers.

    ``retry_after_s`` is ``None`` if a retry would not help.
    """

    code: ErrorCode
    text: str
    ran: WasExecuted = WasExecuted.NO
    retry_after_s: float | None = None


class RefusalError(VanillashoreError):
    """Raised to refuse a request with the given `Refused` answer.

    Example::

        raise RefusalError(Refused(ErrorCode.RATE_LIMITED, "over the rate", retry_after_s=1.5))
    """

    def __init__(self, refused: Refused) -> None:
        super().__init__(refused.code, refused.text)
        self.refused = refused
