"""Seeded load of the placement bench: the cases of both deployments."""

import random

import attrs

from vanillashore_wire import RouteClass

WORKSPACE_SHARES = {
    "large-1": 0.35,
    "large-2": 0.25,
    "small-1": 0.2,
    "small-2": 0.12,
    "small-3": 0.08,
}
WORKSPACES = tuple(WORKSPACE_SHARES)
WORKSPACES_OVER_RATE = {"load_130": ("large-1", "large-2"), "noisy": ("small-2",)}
CASES = ("load_70", "load_95", "load_130", "noisy", "deaths", "prefixes")
MEAN_OUTPUT_TOKENS = 150
MAX_OUTPUT_TOKENS = 600
MEDIAN_PROMPT_TOKENS = 800
PROMPT_SIGMA = 1.35
MIN_PROMPT_TOKENS, MAX_PROMPT_TOKENS = 30, 30_000
PREFIXES_PER_WORKSPACE = 40
PIECE_TOKENS = 1_000


@attrs.frozen
class Deployment:
    """Sizes of one deployment, and the shares of its generations and calls that are batch."""

    name: str
    prefills: int = 4
    decodes: int = 6
    services: int = 3
    slots: int = 20
    service_slots: int = 4
    step_s: float = 0.02
    batch_share: float = 0.0
    interactive_call_s: float = 0.02
    batch_call_s: float = 0.2
    batch_call_share: float = 0.1

    @property
    def requests_per_s(self) -> float:
        """Generations per second with all decode slots busy."""
        return self.decodes * self.slots / (MEAN_OUTPUT_TOKENS * self.step_s)

    @property
    def calls_per_s(self) -> float:
        """Calls per second with all service slots busy."""
        share = self.batch_call_share
        mean_s = (1 - share) * self.interactive_call_s + share * self.batch_call_s
        return self.services * self.service_slots / mean_s


DEPLOYMENTS = (Deployment("sukkar"), Deployment("rugosa", batch_share=0.3))


@attrs.define(eq=False)
class Request:
    """One request and its outcome; times are in seconds of the simulated clock."""

    id: str
    workspace: str
    arrives_at: float
    route_class: RouteClass
    entry: int
    is_call: bool = False
    service_time_s: float = 0.0
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix: str = ""
    prefix_pieces: int = 0
    cancels_at: float | None = None
    generated_tokens: int = 0
    first_token_at: float | None = None
    completed_at: float | None = None
    refused: bool = False
    disconnected_at: float | None = None
    completed_prefills: int = 0
    attempt: int = 0
    avoided_endpoints: set[str] = attrs.field(factory=set)

    @property
    def is_finished(self) -> bool:
        """Whether it was answered or refused, or its caller has disconnected."""
        return self.refused or self.disconnected_at is not None or self.completed_at is not None

    @property
    def pieces(self) -> int:
        """KV pieces of the prompt and of the longest answer."""
        return -(-(self.prompt_tokens + MAX_OUTPUT_TOKENS) // PIECE_TOKENS)

    @property
    def prompt_pieces(self) -> int:
        """KV pieces of the prompt."""
        return -(-self.prompt_tokens // PIECE_TOKENS)


def load_factors(case: str) -> dict[str, float]:
    """Return each workspace's load in this case, divided by its share of the capacity."""
    level = {"load_70": 0.7, "load_95": 0.95, "load_130": 0.95, "noisy": 0.9}.get(case, 0.7)
    factors = dict.fromkeys(WORKSPACES, level)
    if case == "load_130":
        factors |= dict.fromkeys(WORKSPACES_OVER_RATE[case], 1.533)
    if case == "noisy":
        factors["small-2"] = 5.0
    return factors


def make_load(deployment: Deployment, case: str, seed: int, seconds: float) -> list[Request]:
    """Return all requests of a case in order of arrival."""
    rng = random.Random(f"{deployment.name}/{case}/{seed}")
    requests: list[Request] = []
    for workspace, factor in load_factors(case).items():
        share = WORKSPACE_SHARES[workspace] * factor
        for at in _arrivals(rng, share * deployment.requests_per_s, seconds):
            requests.append(_make_generation(rng, deployment, case, workspace, at))
        for at in _arrivals(
            rng, min(share, WORKSPACE_SHARES[workspace]) * deployment.calls_per_s, seconds
        ):
            requests.append(_make_call(rng, deployment, workspace, at))
    requests.sort(key=lambda req: req.arrives_at)
    for number, req in enumerate(requests):
        req.id = f"r{number}"
    return requests


def _arrivals(rng: random.Random, per_s: float, seconds: float) -> list[float]:
    at, times = 0.0, []
    while (at := at + rng.expovariate(per_s)) < seconds:
        times.append(at)
    return times


def _make_generation(
    rng: random.Random, deployment: Deployment, case: str, workspace: str, at: float
) -> Request:
    is_batch = rng.random() < deployment.batch_share
    route_class = RouteClass.BATCH if is_batch else RouteClass.INTERACTIVE
    tokens = int(MEDIAN_PROMPT_TOKENS * rng.lognormvariate(0, PROMPT_SIGMA))
    tokens = min(MAX_PROMPT_TOKENS, max(MIN_PROMPT_TOKENS, tokens))
    output_tokens = min(MAX_OUTPUT_TOKENS, 1 + int(rng.expovariate(1 / MEAN_OUTPUT_TOKENS)))
    req = Request("", workspace, at, route_class, rng.randrange(3), output_tokens=output_tokens)
    is_prefix_case = case == "prefixes"
    if rng.random() < (0.9 if is_prefix_case else 0.5):
        prefix_number = rng.randrange(PREFIXES_PER_WORKSPACE)
        req.prefix = f"{workspace}/{prefix_number}"
        req.prefix_pieces = 1 + prefix_number % (4 if is_prefix_case else 2)
    req.prompt_tokens = min(MAX_PROMPT_TOKENS, tokens + req.prefix_pieces * PIECE_TOKENS // 2)
    req.prompt_tokens = max(req.prompt_tokens, req.prefix_pieces * PIECE_TOKENS)
    if rng.random() < 0.02:
        req.cancels_at = at + rng.uniform(0.05, 3.0)
    return req


def _make_call(rng: random.Random, deployment: Deployment, workspace: str, at: float) -> Request:
    is_batch = rng.random() < deployment.batch_call_share
    route_class = RouteClass.BATCH if is_batch else RouteClass.INTERACTIVE
    service_time_s = deployment.batch_call_s if is_batch else deployment.interactive_call_s
    return Request(
        "",
        workspace,
        at,
        route_class,
        rng.randrange(3),
        is_call=True,
        service_time_s=rng.expovariate(1 / service_time_s),
    )
