"""Data types of the gateway: routes, workspaces, endpoints and callers' requests."""

from enum import StrEnum

import attrs


class RouteKind(StrEnum):
    """How requests of a route may be repeated."""

    STREAMING = "streaming"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class EndpointRole(StrEnum):
    """What an endpoint runs: a stage of generations, or (``SERVICE``) plain requests."""

    PREFILL = "prefill"
    DECODE = "decode"
    SERVICE = "service"


DEFAULT_RANK = 5  # Of routes and workspaces that state none; engines assume the same.
LOWEST_RANK = 9


@attrs.frozen
class Target:
    """A service of a route, and its weight, not negative, among the route's services."""

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """Requests of one host under one path prefix.

    ``timeout_s`` is the time limit for the final answer, ``target_s`` the target for the answer or
    its first event. ``is_open`` routes need no key. ``is_resumable`` streams may continue at
    another endpoint after the last event that the caller received. ``rank`` is the urgency of its
    requests; 0 is the most urgent.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_s: float
    target_s: float
    max_attempts: int = 1
    is_open: bool = False
    is_generation: bool = False
    is_resumable: bool = False
    gap_target_s: float = 0.0
    rank: int = DEFAULT_RANK

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be sent again if it may already have run."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


@attrs.frozen
class Service:
    """A group of interchangeable endpoints.

    ``kv_tokens`` is an engine's memory, 0 for none. An engine keeps a prefilled cache for
    ``kv_hold_s``, and a reservation for ``hold_s`` at most. A cold endpoint accepts ``cold_per_s``
    requests per second from all entries together, 0 for any; a new one is cold for
    ``cold_start_s``.
    """

    name: str
    kv_tokens: int = 0
    kv_hold_s: float = 0.0
    hold_s: float = 0.0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen
class CallerLimits:
    """Limits on the size of a caller's request, and on the time to send it or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Workspace:
    """A customer: its keys, and its rate over all entries. A rate of 0 is no limit.

    A request that does not state how many tokens it takes counts as ``plain_tokens``. A ``rank``
    replaces that of the routes.
    """

    name: str
    keys: frozenset[str]
    tokens_per_s: float = 0.0
    burst_tokens: float = 0.0
    plain_tokens: int = 0
    rank: int | None = None


@attrs.frozen
class ServingConfig:
    """A configuration; a new version replaces the old one completely.

    If it ``requires_keys``, a request needs the key of a workspace, also while none has a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...]
    limits: CallerLimits
    requires_keys: bool


@attrs.frozen
class EndpointStart:
    """One start of an endpoint, which knows nothing of earlier starts under the same name."""

    instance: str
    started_ms: int


@attrs.frozen
class Endpoint:
    """A process that runs requests; most starts have an instance name of their own.

    ``started_ms`` is the time of the start by the endpoint's own clock, which only serves to tell
    two starts under the same name apart. ``software`` is the version of the endpoint's software;
    versions have no order. ``cold_s`` is how long the endpoint stays cold from when the record was
    written; ``None`` if it does not tell.
    """

    instance: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    role: EndpointRole = EndpointRole.SERVICE
    is_leaving: bool = False
    started_ms: int = 0
    software: str = ""
    # Records that differ in this only describe the same endpoint.
    cold_s: float | None = attrs.field(default=None, eq=False)

    @property
    def start(self) -> EndpointStart:
        """The start of the endpoint."""
        return EndpointStart(self.instance, self.started_ms)

    @property
    def address(self) -> str:
        """Address as HOST:PORT."""
        return f"{self.host}:{self.port}"


@attrs.frozen
class GenerationSize:
    """Tokens of a generation: of its prompt, and at most of its answer.

    ``expected_output_tokens`` is the caller's estimate, which is often far off.
    """

    input_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None = None

    @property
    def total(self) -> int:
        """Maximum number of tokens of prompt and answer together."""
        return self.input_tokens + self.max_output_tokens


Header = tuple[bytes, bytes]


@attrs.frozen
class CallerRequest:
    """A complete request of a caller, decoded.

    ``headers`` are those to pass to an endpoint as the caller sent them. ``deadline`` and
    ``arrived`` are in seconds of `vanillashore_gateway.now`. A caller that takes a stream up again
    states the ``last_event_id`` that it has, and in ``resumes`` the id of the request
    that brought it the first event. ``prompt_parts`` are the ids of its prompt's parts in order;
    requests may share any but the last.
    """

    request_id: bytes
    method: bytes
    target: bytes
    host: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    arrived: float
    deadline: float
    key: str | None = None
    generation_size: GenerationSize | None = None
    last_event_id: int | None = None
    resumes: str | None = None
    prompt_parts: tuple[str, ...] = ()

    @property
    def log_id(self) -> str:
        """The request's id as text."""
        return self.request_id.decode("latin-1")


@attrs.frozen
class Load:
    """The load that an endpoint reports with an answer.

    ``pace`` is how long work takes on its VM at the moment, as a multiple of the usual time.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0


@attrs.frozen
class AnswerHead:
    """Status and headers of an endpoint's answer, decoded.

    ``is_sealed`` is true if the answer carries the seal with which an endpoint's application marks
    its answers. ``was_not_run`` is the endpoint's statement that it did not and will not run the
    request; callers conclude the same from a status that ``implies_not_run``. ``limit_per_s`` is
    the number of requests per second that the endpoint accepts from all entries together; ``None``
    is no limit. ``is_leaving`` states that the endpoint is to stop soon. An endpoint that turns a
    request away may want nothing from this entry for ``pause_s``. One that is cold states for how
    long with ``cold_s``.
    """

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    is_sealed: bool
    was_not_run: bool
    implies_not_run: bool = False
    load: Load | None = None
    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float = 0.0
    cold_s: float = 0.0


@attrs.frozen
class SlotTicket:
    """A decode slot that the home of a service has granted, under a number of this entry's."""

    service: str
    home: str
    number: int
    instance: str


@attrs.frozen
class Hold:
    """A slot and memory that are reserved at an endpoint for one request, for a short time.

    ``ticket`` is the grant of the home that schedules the service's slots, if one did.
    """

    endpoint: Endpoint
    name: str
    taken_at: float
    ticket: SlotTicket | None = None


@attrs.frozen
class RoleOrder:
    """An order to an engine to change its role.

    ``fence`` rises with each holder of the duty of ordering roles. The engine accepts the
    order only if it has accepted ``orders_taken`` orders so far, so that a delayed order has no
    effect.
    """

    endpoint: Endpoint
    role: EndpointRole
    holder: str
    fence: int
    orders_taken: int


class OrderAnswer(StrEnum):
    """How an engine responded to an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    CONFLICT = "conflict"
    FENCED = "fenced"
    FAILED = "failed"


@attrs.frozen
class PrefillHandle:
    """A KV cache that a prefill endpoint keeps for a short time, to be fetched for decoding."""

    endpoint: Endpoint
    name: str
    made_at: float
