"""The forwarding entry: routes, admits and forwards callers' requests to endpoints."""

from vanillashore_gateway._clock import now
from vanillashore_gateway._dialect import Dialect, SendOrder
from vanillashore_gateway._domain import (
    AnswerHead,
    CallerLimits,
    CallerRequest,
    Endpoint,
    EndpointRole,
    Header,
    Load,
    PrefillHandle,
    PromptShape,
    Route,
    RouteKind,
    Service,
    ServingConfig,
    Target,
    Workspace,
)
from vanillashore_gateway._errors import ErrorCode, RefusalError, Refused, refusal
from vanillashore_gateway._gateway import Gateway, GatewaySettings
from vanillashore_gateway._http_client import (
    HttpConnection,
    LinkError,
    LinkFailure,
    open_connection,
)
from vanillashore_gateway._http_messages import RequestHead, ResponseHead, render_headers
from vanillashore_gateway._logs import set_up_logging
from vanillashore_gateway._platform_store import (
    Change,
    Changes,
    ConfigWritten,
    EndpointRemoved,
    EndpointWritten,
    EntryRemoved,
    EntryWritten,
    HistoryGoneError,
    LeaseGoneError,
    PlatformStore,
    Snapshot,
    StoreUnavailableError,
)
from vanillashore_gateway._process import GatewayProcess
from vanillashore_gateway._quota import QuotaSettings

__all__ = [
    "AnswerHead",
    "CallerLimits",
    "CallerRequest",
    "Change",
    "Changes",
    "ConfigWritten",
    "Dialect",
    "Endpoint",
    "EndpointRemoved",
    "EndpointRole",
    "EndpointWritten",
    "EntryRemoved",
    "EntryWritten",
    "ErrorCode",
    "Gateway",
    "GatewayProcess",
    "GatewaySettings",
    "Header",
    "HistoryGoneError",
    "HttpConnection",
    "LeaseGoneError",
    "LinkError",
    "LinkFailure",
    "Load",
    "PlatformStore",
    "PrefillHandle",
    "PromptShape",
    "QuotaSettings",
    "RefusalError",
    "Refused",
    "RequestHead",
    "ResponseHead",
    "Route",
    "RouteKind",
    "SendOrder",
    "Service",
    "ServingConfig",
    "Snapshot",
    "StoreUnavailableError",
    "Target",
    "Workspace",
    "now",
    "open_connection",
    "refusal",
    "render_headers",
    "set_up_logging",
]
