"""OpenTelemetry instruments of a gateway; loaded by `GatewayMetrics`."""

import resource
from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

REQUEST_DURATION = "http.server.request.duration"
DURATION_BOUNDS_S = (0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.9, 1.5, 3.0, 6.0, 14.0)


class Instruments:
    """Counters and histograms of one process; ``gauges`` are read at each scrape."""

    def __init__(self, node: str, data_centre: str, gauges: dict[str, Callable[[], float]]) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        resource_attributes = {"service.instance.id": node, "cloud.availability_zone": data_centre}
        bounds = ExplicitBucketHistogramAggregation(DURATION_BOUNDS_S)
        views = [View(instrument_name=REQUEST_DURATION, aggregation=bounds)]
        self._provider = MeterProvider([reader], Resource.create(resource_attributes), views=views)
        meter = self._provider.get_meter("vanillashore")
        self._duration = meter.create_histogram(REQUEST_DURATION, "s")
        self._refusals = meter.create_counter("vanillashore.refusals", "{request}")
        self._ignored_datagrams = meter.create_counter(
            "vanillashore.peer.datagrams.ignored", "{datagram}"
        )
        self._restores = meter.create_counter("vanillashore.store.restores", "{restore}")
        meter.create_observable_counter("process.cpu.time", [_cpu_time], "s")
        for name, read in gauges.items():
            meter.create_observable_gauge(name, [_observer(read)])

    def record_request(self, route: str, status: int, duration_s: float) -> None:
        """Record a completed request."""
        attributes = {"http.route": route, "http.response.status_code": status}
        self._duration.record(duration_s, attributes)

    def record_refusal(self, code: str, rank: int | None, workspace: str | None) -> None:
        """Count a refusal."""
        attributes: dict[str, str | int] = {"error.type": code}
        if rank is not None:
            attributes |= {"vanillashore.rank": rank, "vanillashore.workspace": workspace or ""}
        self._refusals.add(1, attributes)

    def record_ignored_datagram(self) -> None:
        """Count a datagram that was ignored."""
        self._ignored_datagrams.add(1)

    def record_restore(self) -> None:
        """Count that the store was restored."""
        self._restores.add(1)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self._registry)


def _observer(read: Callable[[], float]) -> Callable[[CallbackOptions], Iterable[Observation]]:
    return lambda options: [Observation(read())]


def _cpu_time(options: CallbackOptions) -> Iterable[Observation]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    yield Observation(usage.ru_utime, {"cpu.mode": "user"})
    yield Observation(usage.ru_stime, {"cpu.mode": "system"})
