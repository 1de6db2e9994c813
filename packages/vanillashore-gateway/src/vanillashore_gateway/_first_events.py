"""When a generation that has brought no event is moved to another engine."""

from vanillashore_gateway._prefill_estimator import FIRST_EVENT_S

RESERVATION_S = 0.05  # For the second reservation: a round trip to each of a few engines.
# A sound engine may take this multiple of its expected time: its other prompts come first, and each
# move costs a retry and the work of the first engine.
PATIENCE = 2.0


def first_event_wait_s(left_s: float, read_s: float, second_read_s: float) -> float:
    """Return how long to wait for the first event before the generation is moved.

    ``left_s`` is the time until its target. The engine reads the prompt in ``read_s``, which is 0
    if it fetches the cache of a prefill engine, and a second one in ``second_read_s``.

    Example::

        first_event_wait_s(1.9, 0.0, 0.3)  # 1.45: the second engine can still meet the target
        first_event_wait_s(0.5, 0.0, 0.3)  # 0.2: it cannot; move once the first one is overdue
    """
    overdue_s = PATIENCE * (read_s + FIRST_EVENT_S)
    return max(overdue_s, left_s - second_read_s - FIRST_EVENT_S - RESERVATION_S)
