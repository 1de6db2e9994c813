"""Speeds of endpoints, from the paces that they report and from the times of their answers."""

from statistics import median_low

import attrs

from vanillashore_gateway._domain import Endpoint, EndpointRole

MIN_PACE, MAX_PACE = 0.1, 10.0  # A wrong report must not attract or repel all requests.
PACE_TTL_S = 1.0  # A report counts in full for this time,
PACE_HALF_LIFE_S = 0.5  # and loses half of its weight in each of these times afterwards.
# An endpoint that is avoided as slow brings no answers that could show that it is fast again.
LEARNED_HALF_LIFE_S = 10.0
SMOOTHING = 0.1
MIN_TIMES = 4  # Fewer answers say little; an entry gets one per engine in several seconds.
# Answers of even endpoints differ by chance and by distance; a smaller difference counts as none.
MIN_RATIO = 1.5
# Sound reports differ by less from what answers show, which also wait for slots: with 1.5, the
# correction made a quarter more requests to uneven engines late in the played load.
MIN_CORRECTION = 2.0
MIN_EVENTS = 10  # A shorter stream says little about the time of a step.
MAX_WRITE_SHARE = 0.1  # Of a stream's time; more means that its client reads slowly.


@attrs.define
class StepTimer:
    """Measures the time per event of one stream, from its first event on.

    Example::

        timer.record_events(1, now)
        timer.record_events(24, now + 0.24)
        timer.step_s  # 0.01
    """

    first_at: float | None = None
    last_at: float = 0.0
    events: int = 0
    write_s: float = 0.0

    def record_events(self, events: int, now: float) -> None:
        """Record that events have arrived; the first ones only start the measurement."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.events += events
        self.last_at = now

    @property
    def step_s(self) -> float | None:
        """The time per event; ``None`` for short streams and clients that read slowly."""
        if self.first_at is None or self.events < MIN_EVENTS:
            return None
        took_s = self.last_at - self.first_at
        return None if self.write_s > MAX_WRITE_SHARE * took_s else took_s / self.events


@attrs.define
class _Speed:
    group: tuple[str, EndpointRole]
    pace: float = 1.0
    paced_at: float | None = None
    mean_pace: float = 1.0
    paces: int = 0
    mean_s: float = 0.0
    times: int = 0
    timed_at: float = 0.0


class EndpointSpeeds:
    """Estimates how long work takes at each endpoint, as a multiple of the usual time.

    Times of answers are compared with the median of the endpoints of the same service and role.
    Only successful answers may be recorded: an endpoint that fails fast is not fast.

    Example::

        speeds.record_pace(endpoint, 2.5, now)
        speeds.slowness(endpoint, now)  # 2.5, and 1.0 some seconds later
    """

    def __init__(self) -> None:
        self._speeds: dict[str, _Speed] = {}

    def record_pace(self, endpoint: Endpoint, pace: float, now: float) -> None:
        """Record the pace that an endpoint reported."""
        speed = self._speed(endpoint)
        if pace == 1.0 and speed.paced_at is None:
            return  # The usual pace, and also that of endpoints that report none.
        speed.pace, speed.paced_at = min(MAX_PACE, max(MIN_PACE, pace)), now
        speed.paces += 1
        speed.mean_pace += max(SMOOTHING, 1 / speed.paces) * (speed.pace - speed.mean_pace)

    def record_time(self, endpoint: Endpoint, seconds: float, now: float) -> None:
        """Record the time that a successful answer, or a step of it, took."""
        speed = self._speed(endpoint)
        speed.times += 1
        speed.timed_at = now
        # The first answers count evenly.
        speed.mean_s += max(SMOOTHING, 1 / speed.times) * (seconds - speed.mean_s)

    def slowness(self, endpoint: Endpoint, now: float) -> float:
        """Return how long work takes at an endpoint; 1.0 is usual, or not known."""
        speed = self._speeds.get(endpoint.instance)
        return 1.0 if speed is None else self._slowness(speed, now)

    def _slowness(self, speed: _Speed, now: float) -> float:
        ratio = self._time_ratio(speed)
        slowness = _aged(ratio, MIN_RATIO, speed, now)
        if speed.paced_at is not None:
            # A pace that is wrong or stuck differs on average from what the answers show.
            pace = speed.pace * _aged(ratio / speed.mean_pace, MIN_CORRECTION, speed, now)
            age_s = max(0.0, now - speed.paced_at - PACE_TTL_S)
            slowness += (pace - slowness) * 0.5 ** (age_s / PACE_HALF_LIFE_S)
        return round(slowness, 1)  # A smaller difference would decide between idle endpoints.

    def slow_endpoints(self, now: float) -> int:
        """Return how many endpoints are slow at the moment, as far as is known."""
        return sum(self._slowness(speed, now) >= MIN_RATIO for speed in self._speeds.values())

    def forget(self, instance: str) -> None:
        """Drop what is recorded of an endpoint that has left."""
        self._speeds.pop(instance, None)

    def _speed(self, endpoint: Endpoint) -> _Speed:
        group = (endpoint.service, endpoint.role)
        speed = self._speeds.get(endpoint.instance)
        if speed is None or speed.group != group:
            speed = self._speeds[endpoint.instance] = _Speed(group)
        return speed

    def _time_ratio(self, speed: _Speed) -> float:
        """Return the time of an endpoint's answers relative to its group's median."""
        if speed.times < MIN_TIMES:
            return speed.mean_pace
        means = [
            other.mean_s
            for other in self._speeds.values()
            if other.group == speed.group and other.times >= MIN_TIMES
        ]
        return speed.mean_s / max(median_low(means), 1e-6)


def _aged(ratio: float, least: float, speed: _Speed, now: float) -> float:
    """Return what is left of a ratio learned from answers; one below ``least`` counts as none."""
    if speed.times < MIN_TIMES or 1 / least < ratio < least:
        return 1.0
    age_s = max(0.0, now - speed.timed_at)
    ratio = min(MAX_PACE, max(MIN_PACE, ratio))
    return 1.0 + (ratio - 1.0) * 0.5 ** (age_s / LEARNED_HALF_LIFE_S)
