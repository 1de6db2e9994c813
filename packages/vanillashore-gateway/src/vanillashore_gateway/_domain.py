"""What a gateway knows of its world: routes, workspaces, endpoints, and a caller's request."""

from enum import StrEnum

import attrs


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    STREAMING = "streaming"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class EndpointRole(StrEnum):
    """What an endpoint does with a request."""

    PREFILL = "prefill"
    DECODE = "decode"
    SERVICE = "service"


@attrs.frozen
class Target:
    """A service that a route leads to, and its share of the route's requests."""

    service: str
    weight: int = 1


@attrs.frozen
class Route:
    """Requests of one host under one path prefix.

    ``timeout_s`` is how long a caller may be kept waiting, ``target_s`` the aim for the answer or
    its first event. ``is_open`` routes need no key. ``is_resumable`` streams may go on at another
    endpoint after the last event that the caller has.
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

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


@attrs.frozen
class Service:
    """A group of endpoints that answer alike; ``kv_tokens`` is an engine's memory, 0 for none.

    An engine keeps a prefilled cache for ``kv_hold_s``, and a reservation for ``hold_s`` at most.
    """

    name: str
    kv_tokens: int = 0
    kv_hold_s: float = 0.0
    hold_s: float = 0.0


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Workspace:
    """A customer: its keys, and its rate over all entries. A rate of 0 is no limit.

    A request that does not say how many tokens it takes counts as ``plain_tokens``.
    """

    name: str
    keys: frozenset[str]
    tokens_per_s: float = 0.0
    burst_tokens: float = 0.0
    plain_tokens: int = 0


@attrs.frozen
class ServingConfig:
    """A configuration, in force as a whole."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...]
    limits: CallerLimits


@attrs.frozen
class Endpoint:
    """A process that runs requests; each start of it has an instance name of its own."""

    instance: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    role: EndpointRole = EndpointRole.SERVICE
    is_leaving: bool = False

    @property
    def address(self) -> str:
        """Address as HOST:PORT."""
        return f"{self.host}:{self.port}"


@attrs.frozen
class GenerationSize:
    """Size of a generation: tokens of its prompt, and the most that its answer may have.

    ``expected_output_tokens`` is the caller's estimate of the answer, which is often far off.
    """

    input_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None = None

    @property
    def total(self) -> int:
        """Tokens that the request may take in all."""
        return self.input_tokens + self.max_output_tokens


Header = tuple[bytes, bytes]


@attrs.frozen
class CallerRequest:
    """A whole request of a caller, decoded.

    ``headers`` are those that an endpoint gets as the caller sent them. ``deadline`` and
    ``arrived`` are in seconds of `vanillashore_gateway.now`.
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
    prompt: GenerationSize | None = None
    last_event_id: int | None = None

    @property
    def log_id(self) -> str:
        """The request's id as text."""
        return self.request_id.decode("latin-1")


@attrs.frozen
class Load:
    """What an endpoint says of itself on an answer."""

    running: int
    waiting: int
    slots: int


@attrs.frozen
class AnswerHead:
    """Status and headers of an endpoint's answer, decoded.

    ``is_sealed`` marks an answer that the endpoint's application gave. ``was_not_run`` is the
    endpoint's word that it did not and will not run the request.
    """

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    is_sealed: bool
    was_not_run: bool
    load: Load | None = None


@attrs.frozen
class Hold:
    """A slot and memory that are reserved at an endpoint for one request, for a short while."""

    endpoint: Endpoint
    name: str
    taken_at: float


@attrs.frozen
class RoleOrder:
    """An order to an engine to change its role.

    ``fence`` rises with each holder of the duty to give orders; ``orders_taken`` is the count of
    orders that the engine must have taken, so that an order carried out late changes nothing.
    """

    endpoint: Endpoint
    role: EndpointRole
    holder: str
    fence: int
    orders_taken: int


class OrderAnswer(StrEnum):
    """What an engine says to an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    CONFLICT = "conflict"
    FENCED = "fenced"
    FAILED = "failed"


@attrs.frozen
class PrefillHandle:
    """A KV cache that waits at a prefill endpoint, free to be fetched for a short while."""

    endpoint: Endpoint
    name: str
    made_at: float
