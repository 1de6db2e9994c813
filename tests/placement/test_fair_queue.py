from collections import Counter

from vanillashore_placement import ClassQueue, FairQueue, QueuedRequest
from vanillashore_wire import ReservationKind, ReserveRequest, RouteClass


def queued_request(
    workspace: str,
    number: int = 0,
    *,
    patience_ends_at: float = 10.0,
    weight: float = 1.0,
    route_class: RouteClass = RouteClass.INTERACTIVE,
) -> QueuedRequest:
    request = ReserveRequest(
        f"{workspace}-{number}",
        1,
        ReservationKind.DECODE,
        workspace,
        "model",
        1,
        route_class,
        patience_ends_at,
        patience_ends_at,
    )
    return QueuedRequest(request, "entry", float(number), patience_ends_at, 0.0, 1.0, weight)


def served(queue: FairQueue, count: int) -> list[str]:
    return [queue.take(queue.head()).request.workspace for _ in range(count)]


def test_a_long_queue_of_one_workspace_does_not_delay_another() -> None:
    queue = FairQueue()
    for i in range(50):
        queue.add(queued_request("loud", i))
    served(queue, 10)
    queue.add(queued_request("quiet"))
    assert queue.ahead_of(queued_request("quiet2")) <= 2
    assert "quiet" in served(queue, 2)


def test_service_follows_weights() -> None:
    queue = FairQueue()
    for i in range(60):
        queue.add(queued_request("one", i, weight=1.0))
        queue.add(queued_request("two", i, weight=2.0))
    served(queue, 8)
    counts = Counter(served(queue, 30))
    assert 19 <= counts["two"] <= 21


def test_an_idle_workspace_saves_up_only_a_short_burst() -> None:
    queue = FairQueue()
    for i in range(80):
        queue.add(queued_request("busy", i))
    served(queue, 40)
    for i in range(30):
        queue.add(queued_request("late", i))
    assert served(queue, 4).count("late") == 4
    assert 9 <= served(queue, 20).count("late") <= 11


def test_a_burst_of_a_small_workspace_is_served_quickly() -> None:
    queue = FairQueue()
    for i in range(100):
        queue.add(queued_request("large", i, weight=10.0))
    served(queue, 30)
    for i in range(3):
        queue.add(queued_request("small", i, weight=1.0))
    assert queue.ahead_of(queued_request("small", 4, weight=1.0)) <= 5
    assert served(queue, 5).count("small") == 3


def test_earliest_deadline_first_within_a_workspace() -> None:
    queue = FairQueue()
    queue.add(queued_request("a", 1, patience_ends_at=9.0))
    queue.add(queued_request("a", 2, patience_ends_at=3.0))
    assert queue.head().request.request_id == "a-2"


def test_withdrawn_requests_are_not_charged() -> None:
    queue = FairQueue()
    for i in range(20):
        item = queued_request("a", i)
        queue.add(item)
        queue.remove(item)
    queue.add(queued_request("a", 99))
    queue.add(queued_request("b", 99))
    queue.add(queued_request("b", 100))
    assert queue.ahead_of(queued_request("c")) <= 2
    assert set(served(queue, 2)) == {"a", "b"}


def test_batch_gets_only_its_floor_while_interactive_requests_are_queued() -> None:
    queue = ClassQueue()
    for i in range(200):
        queue.add(queued_request("a", i))
        queue.add(queued_request("b", i, route_class=RouteClass.BATCH))
    classes = Counter(queue.take(queue.head(True)).request.route_class for _ in range(100))
    assert 9 <= classes[RouteClass.BATCH] <= 11


def test_batch_is_served_when_nothing_else_is_queued() -> None:
    queue = ClassQueue()
    queue.add(queued_request("b", route_class=RouteClass.BATCH))
    assert queue.head(True) is not None
    assert queue.head(False) is None
