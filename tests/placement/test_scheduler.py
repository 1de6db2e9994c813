import pytest

from vanillashore_placement import (
    Granted,
    HoldExpired,
    Rejected,
    ReservationScheduler,
    SchedulerSettings,
)
from vanillashore_wire import (
    ErrorCode,
    HoldRenewal,
    ReservationKind,
    ReserveRequest,
    ReserveRequestRef,
    ReserveWithdraw,
    RouteClass,
)

SETTINGS = SchedulerSettings("k", slots=2, prefill_turns=1, pieces=10)


def request(
    request_id: str,
    *,
    kind: ReservationKind = ReservationKind.DECODE,
    workspace: str = "w",
    pieces: int = 1,
    patience_s: float = 5.0,
    deadline_s: float = 60.0,
    route_class: RouteClass = RouteClass.INTERACTIVE,
) -> ReserveRequest:
    return ReserveRequest(
        request_id, 1, kind, workspace, "m", pieces, route_class, patience_s, deadline_s
    )


def withdraw(request_id: str) -> ReserveWithdraw:
    return ReserveWithdraw(request_id, 1, ReservationKind.DECODE)


def grant(
    scheduler: ReservationScheduler, request_id: str, now: float = 0.0, **kwargs: object
) -> str:
    [outcome] = scheduler.ask(request(request_id, **kwargs), "entry", now)
    assert isinstance(outcome, Granted)
    return outcome.grant.reservation


def test_places_are_not_granted_beyond_the_capacity() -> None:
    scheduler = ReservationScheduler(SETTINGS)
    first = grant(scheduler, "r1")
    grant(scheduler, "r2")
    assert scheduler.ask(request("r3"), "entry", 0.0) == []
    scheduler.use(first, 0.1)
    [outcome] = scheduler.release(first, 1.0)
    assert outcome.request.request_id == "r3"


def test_pieces_are_not_granted_beyond_the_capacity() -> None:
    scheduler = ReservationScheduler(SETTINGS)
    first = grant(scheduler, "r1", pieces=8)
    assert scheduler.ask(request("r2", pieces=3), "entry", 0.0) == []
    assert len(scheduler.release(first, 1.0)) == 1
    [outcome] = scheduler.ask(request("r3", pieces=11), "entry", 1.0)
    assert outcome.refused.code is ErrorCode.CONTEXT_TOO_LONG


def test_a_resent_request_gets_the_same_place() -> None:
    scheduler = ReservationScheduler(SETTINGS)
    assert grant(scheduler, "r1") == grant(scheduler, "r1")
    assert scheduler.load.running == 1


@pytest.mark.parametrize("when", ["queued", "granted"])
def test_a_withdrawal_frees_the_place(when: str) -> None:
    scheduler = ReservationScheduler(SETTINGS)
    grant(scheduler, "r1")
    if when == "queued":
        grant(scheduler, "r2")
        scheduler.ask(request("r3"), "entry", 0.0)
    scheduler.withdraw(withdraw("r3" if when == "queued" else "r1"), 0.1)
    assert scheduler.load.waiting == 0
    assert scheduler.load.running == (2 if when == "queued" else 0)


def test_a_withdrawal_after_the_use_does_not_end_the_hold() -> None:
    scheduler = ReservationScheduler(SETTINGS)
    name = grant(scheduler, "r1")
    assert scheduler.use(name, 0.1)
    scheduler.withdraw(withdraw("r1"), 0.2)
    assert scheduler.load.running == 1


def test_a_grant_whose_reply_was_lost_expires() -> None:
    scheduler = ReservationScheduler(SETTINGS)
    name = grant(scheduler, "r1")
    assert scheduler.tick(2.9) == []
    [outcome] = scheduler.tick(3.0)
    assert isinstance(outcome, HoldExpired)
    assert scheduler.use(name, 3.0) is None
    assert scheduler.load.running == 0


@pytest.mark.parametrize("state", ["reserved", "in_use", "exported"])
def test_a_hold_expires_unless_renewed(state: str) -> None:
    scheduler = ReservationScheduler(SETTINGS)
    name = grant(scheduler, "r1")
    if state != "reserved":
        scheduler.use(name, 0.0)
    if state == "exported":
        scheduler.export(name, 0.0)
    for second in range(1, 20):
        assert scheduler.renew(HoldRenewal((name,)), "entry", float(second)) == ()
        assert scheduler.tick(second + 0.5) == []
    [outcome] = scheduler.tick(19 + 4.0)
    assert outcome.hold.reservation == name
    assert scheduler.load.free_pieces == 10
    assert scheduler.renew(HoldRenewal((name,)), "entry", 24.0) == (name,)


def test_renewal_does_not_extend_a_hold_past_the_deadline() -> None:
    scheduler = ReservationScheduler(SETTINGS)
    name = grant(scheduler, "r1", deadline_s=5.0)
    scheduler.use(name, 0.0)
    scheduler.renew(HoldRenewal((name,)), "entry", 3.0)
    assert scheduler.tick(4.9) == []
    assert len(scheduler.tick(5.0)) == 1


def test_a_queued_request_of_a_dead_entry_is_rejected() -> None:
    scheduler = ReservationScheduler(SETTINGS)
    grant(scheduler, "r1", deadline_s=60.0)
    grant(scheduler, "r2")
    for name in ("dead", "alive"):
        scheduler.ask(request(name, patience_s=60.0), f"entry-{name}", 0.0)
    held = tuple(hold.reservation for hold in scheduler.holds)
    refs = (ReserveRequestRef("alive", 1, ReservationKind.DECODE),)
    scheduler.renew(HoldRenewal(held, refs), "entry-alive", 2.0)
    [outcome] = scheduler.tick(4.5)
    assert isinstance(outcome, Rejected)
    assert outcome.request.request_id == "dead"


def test_an_exported_cache_frees_the_prefill_turn() -> None:
    scheduler = ReservationScheduler(SETTINGS)
    first = grant(scheduler, "r1", kind=ReservationKind.PREFILL)
    scheduler.use(first, 0.0)
    assert scheduler.ask(request("r2", kind=ReservationKind.PREFILL), "entry", 0.0) == []
    [outcome] = scheduler.export(first, 0.2)
    assert outcome.request.request_id == "r2"
    assert scheduler.load.free_pieces == 8


def test_draining_rejects_queued_and_new_requests_and_expires_unused_reservations() -> None:
    scheduler = ReservationScheduler(SETTINGS)
    used = grant(scheduler, "r1")
    unused = grant(scheduler, "r2")
    scheduler.use(used, 0.1)
    scheduler.ask(request("r3"), "entry", 0.1)
    codes = [outcome.refused.code for outcome in scheduler.leave(0.2)]
    assert codes == [ErrorCode.SHUTTING_DOWN]
    [outcome] = scheduler.ask(request("r4"), "entry", 0.3)
    assert outcome.refused.code is ErrorCode.SHUTTING_DOWN
    scheduler.renew(HoldRenewal((used, unused)), "entry", 1.0)
    scheduler.tick(1.8)
    assert scheduler.use(unused, 1.8) is None
    assert [hold.reservation for hold in scheduler.holds] == [used]


def test_a_request_that_would_outwait_its_patience_is_rejected_at_once_with_retry_after() -> None:
    scheduler = ReservationScheduler(SETTINGS)
    for number in range(5):
        name = grant(scheduler, f"warm-{number}", now=10.0 * number)
        scheduler.use(name, 10.0 * number)
        scheduler.release(name, 10.0 * number + 8.0)
    grant(scheduler, "r1", now=60.0)
    grant(scheduler, "r2", now=60.0)
    [outcome] = scheduler.ask(request("r3", patience_s=1.0), "entry", 60.0)
    assert outcome.refused.code is ErrorCode.OVERLOADED
    assert outcome.refused.retry_after_s == pytest.approx(3.0)


def test_batch_leaves_headroom_for_interactive_requests() -> None:
    scheduler = ReservationScheduler(SchedulerSettings("k", slots=10))
    grant(scheduler, "quick", kind=ReservationKind.CALL)
    batch = [
        scheduler.ask(
            request(f"b{i}", kind=ReservationKind.CALL, route_class=RouteClass.BATCH), "e", 0.0
        )
        for i in range(20)
    ]
    assert sum(map(len, batch)) == 8
    assert len(scheduler.ask(request("q2", kind=ReservationKind.CALL), "e", 0.0)) == 1


def test_batch_does_not_starve_under_constant_interactive_load() -> None:
    scheduler = ReservationScheduler(SchedulerSettings("k", slots=2))
    now, batch_served = 0.0, 0
    running = [grant(scheduler, f"i{n}") for n in range(2)]
    scheduler.ask(request("b", route_class=RouteClass.BATCH, patience_s=600.0), "e", now)
    for number in range(200):
        now += 0.01
        scheduler.ask(request(f"q{number}", patience_s=600.0), "e", now)
        scheduler.use(running[0], now)
        outcomes = scheduler.release(running.pop(0), now)
        batch_served += sum(o.request.route_class is RouteClass.BATCH for o in outcomes)
        running += [o.grant.reservation for o in outcomes]
    assert batch_served == 1


def test_queue_wait_leaves_time_for_prefill_and_transfer() -> None:
    scheduler = ReservationScheduler(SETTINGS)
    for number in range(20):
        name = grant(scheduler, f"warm-{number}", now=float(number))
        scheduler.use(name, number + 0.5)
        scheduler.release(name, number + 0.6)
    places = [grant(scheduler, f"r{i}", now=30.0, deadline_s=9.0) for i in range(2)]
    scheduler.ask(request("late", patience_s=1.6), "entry", 30.0)
    assert scheduler.tick(30.8) == []
    [outcome] = scheduler.release(places[0], 30.9)
    assert outcome.refused.code is ErrorCode.OVERLOADED
