"""OpenTelemetry metrics of an entry's shares."""

from collections.abc import Callable, Iterable

from opentelemetry.metrics import CallbackOptions, Meter, Observation

from vanillashore_share import HolderStatus

StatusOf = Callable[[], HolderStatus]


def observe_shares(meter: Meter, node: str, status: StatusOf) -> None:
    """Register the metrics of one entry; each collection calls ``status``."""
    attributes = {"service.instance.id": node}

    def gauge(name: str, text: str, value: Callable[[HolderStatus], float]) -> None:
        def observe(options: CallbackOptions) -> Iterable[Observation]:
            yield Observation(value(status()), attributes)

        meter.create_observable_gauge(name, [observe], description=text)

    gauge("vanillashore.share.owned", "Shares owned", lambda s: s.owned)
    gauge("vanillashore.share.lent", "Shares lent to others", lambda s: s.lent)
    gauge("vanillashore.share.borrowed", "Shares borrowed from others", lambda s: s.borrowed)
    gauge("vanillashore.share.fenced", "1 if shares may not be used", lambda s: int(s.fenced))
    gauge("vanillashore.grant.unsettled", "Grants not refunded", lambda s: s.grants_unsettled)

    def observe_refused(options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(status().refused_short, attributes)

    meter.create_observable_counter(
        "vanillashore.grant.refused_short",
        [observe_refused],
        description="Refusals while shares were unreachable",
    )
