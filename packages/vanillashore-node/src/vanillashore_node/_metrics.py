"""OpenTelemetry metrics of a process, exported in the Prometheus format."""

import hmac
import resource
from collections.abc import Iterable

import attrs
from aiohttp import web
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from vanillashore_node._link import LinkStats
from vanillashore_schema import NodeSettings

METRICS_PATH = "/metrics"
SERVICE_NAME = "vanillashore-node"
REQUEST_DURATION = "http.server.request.duration"
ACTIVE_REQUESTS = "http.server.active_requests"
FIRST_TOKEN = "gen_ai.server.time_to_first_token"
PER_TOKEN = "gen_ai.server.time_per_output_token"
CPU_TIME = "process.cpu.time"
LINK_BYTES = "vanillashore.link.io"
REQUEST_BOUNDS_S = (0.01, 0.05, 0.1, 0.25, 0.4, 0.8, 1.6, 3.2, 10.0, 60.0, 600.0)
TOKEN_BOUNDS_S = (0.002, 0.005, 0.01, 0.016, 0.024, 0.032, 0.048, 0.064, 0.128, 0.5)
OTHER_ROUTE = "other"


@attrs.frozen
class AnswerTimes:
    """Times of one generated answer; ``rest_s`` is the time of the ``tokens`` after the first."""

    model: str
    first_token_s: float
    rest_s: float
    tokens: int


class NodeMetrics:
    """The instruments of one process.

    Example::

        metrics = NodeMetrics(cfg, hub.stats)
        metrics.record_request("POST", "/v1/completions", 200, 1.25)
    """

    def __init__(self, cfg: NodeSettings, links: LinkStats) -> None:
        self._token = cfg.node.metrics_token
        self._links = links
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        resource_attributes = {
            "service.name": SERVICE_NAME,
            "service.instance.id": cfg.node.name,
            "cloud.availability_zone": cfg.node.data_centre,
        }
        views = [
            _bounds_view(REQUEST_DURATION, REQUEST_BOUNDS_S),
            _bounds_view(FIRST_TOKEN, REQUEST_BOUNDS_S),
        ]
        views.append(_bounds_view(PER_TOKEN, TOKEN_BOUNDS_S))
        self._provider = MeterProvider([reader], Resource.create(resource_attributes), views=views)
        meter = self._provider.get_meter("vanillashore")
        self._duration = meter.create_histogram(REQUEST_DURATION, "s")
        self._active = meter.create_up_down_counter(ACTIVE_REQUESTS, "{request}")
        self._first_token = meter.create_histogram(FIRST_TOKEN, "s")
        self._per_token = meter.create_histogram(PER_TOKEN, "s")
        meter.create_observable_counter(CPU_TIME, [_cpu_time], "s")
        meter.create_observable_counter(LINK_BYTES, [self._link_bytes], "By")

    def record_active_change(self, change: int) -> None:
        """Count a request that has begun (1) or ended (-1)."""
        self._active.add(change)

    def record_request(self, method: str, route: str, status: int, duration_s: float) -> None:
        """Record a finished request; ``route`` must have few distinct values."""
        attributes = {
            "http.request.method": method,
            "http.route": route,
            "http.response.status_code": status,
        }
        self._duration.record(duration_s, attributes)

    def record_answer(self, times: AnswerTimes) -> None:
        """Record the times of a generated answer."""
        attributes = {"gen_ai.request.model": times.model}
        self._first_token.record(times.first_token_s, attributes)
        if times.tokens:
            self._per_token.record(times.rest_s / times.tokens, attributes)

    async def handle(self, request: web.Request) -> web.Response:
        """Serve ``GET /metrics`` to a scraper that sends the configured token."""
        given = request.headers.get("Authorization", "").removeprefix("Bearer ")
        if not self._token or not hmac.compare_digest(given.encode(), self._token.encode()):
            return web.Response(status=404, text="not found")
        body = generate_latest(self._registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    def close(self) -> None:
        """Stop collecting."""
        self._provider.shutdown()

    def _link_bytes(self, options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(self._links.bytes_sent, {"network.io.direction": "transmit"})
        yield Observation(self._links.bytes_received, {"network.io.direction": "receive"})


def _bounds_view(name: str, bounds_s: tuple[float, ...]) -> View:
    aggregation = ExplicitBucketHistogramAggregation(bounds_s)
    return View(instrument_name=name, aggregation=aggregation)


def _cpu_time(options: CallbackOptions) -> Iterable[Observation]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    yield Observation(usage.ru_utime, {"cpu.mode": "user"})
    yield Observation(usage.ru_stime, {"cpu.mode": "system"})
