"""The baselines of the placement bench, and what all policies share."""

import random
from typing import Protocol, TypeVar

import attrs

from _placement_fakes import EXPORT_KEPT_S, Clock, FakeDecode, FakePrefill, FakeService, Job
from _placement_load import Deployment, Request

MAX_ATTEMPTS = 3
LOAD_LAG_S = 1.0
VM_LIST_LAG_S = 2.0
T = TypeVar("T", FakePrefill, FakeDecode, FakeService)


@attrs.frozen
class World:
    """The endpoints of one run."""

    deployment: Deployment
    clock: Clock
    rng: random.Random
    prefills: list[FakePrefill]
    decodes: list[FakeDecode]
    services: list[FakeService]


def new_world(deployment: Deployment, seed: int) -> World:
    """Return idle endpoints."""
    clock = Clock()
    slots, step_s = deployment.slots, deployment.step_s
    return World(
        deployment,
        clock,
        random.Random(seed),
        [FakePrefill(clock, f"p{i}") for i in range(deployment.prefills)],
        [FakeDecode(clock, f"d{i}", slots, step_s) for i in range(deployment.decodes)],
        [FakeService(clock, f"s{i}", deployment.service_slots) for i in range(deployment.services)],
    )


class Policy(Protocol):
    """Places requests on endpoints."""

    name: str

    def start(self, req: Request) -> None:
        """Take in a request."""

    def cancel(self, req: Request) -> None:
        """Take in that the caller has left."""

    def freeze_entry(self, entry: int) -> None:
        """Take in that an entry does nothing any more."""

    def held(self) -> dict[str, int]:
        """Return the KV pieces held on engines, by request."""


class Unreserved:
    """Prefill at once, then decode, each where ``pick`` says; no reservations and no shedding."""

    name = ""

    def __init__(self, world: World) -> None:
        self.world = world
        self._decode_jobs: dict[Request, tuple[FakeDecode, Job]] = {}
        self._prefill_jobs: dict[Request, Job] = {}

    def pick(self, req: Request) -> tuple[FakePrefill, FakeDecode]:
        """Return where an answer is to be made."""
        raise NotImplementedError

    def pick_service(self, req: Request) -> FakeService:
        """Return where a call is to be run."""
        raise NotImplementedError

    def start(self, req: Request) -> None:
        """Take in a request."""
        if req.is_call:
            self.pick_service(req).submit(Job(req, lambda: self._done(req), lambda _: None))
            return
        if req.is_over:
            return
        req.attempt += 1
        if req.attempt > MAX_ATTEMPTS:
            req.refused = True
            return
        prefill, decode = self.pick(req)
        job = Job(req, lambda: self._decode(req, decode), lambda _: self.start(req))
        self._prefill_jobs[req] = job
        prefill.submit(job)

    def cancel(self, req: Request) -> None:
        """Take in that the caller has left: the connections close and the engines abort."""
        if req in self._prefill_jobs:
            self._prefill_jobs[req].aborted = True
        if req in self._decode_jobs:
            decode, job = self._decode_jobs[req]
            decode.abort(job)

    def freeze_entry(self, entry: int) -> None:
        """Nobody tells the engines."""

    def held(self) -> dict[str, int]:
        """Return the KV pieces held on engines, by request."""
        return held_on(self.world)

    def _decode(self, req: Request, decode: FakeDecode) -> None:
        if req.is_over:
            return
        evicted_at = self.world.clock.now + EXPORT_KEPT_S
        job = Job(
            req,
            lambda: self._done(req),
            lambda _: self.start(req),
            lambda: note_first(req, self.world.clock.now),
            evicted_at,
        )
        self._decode_jobs[req] = (decode, job)
        decode.submit(job)

    def _done(self, req: Request) -> None:
        if not req.is_over:
            req.done_at = self.world.clock.now


class RoundRobin(Unreserved):
    """Each pool in turn."""

    name = "round_robin"

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._turn = 0

    def pick(self, req: Request) -> tuple[FakePrefill, FakeDecode]:
        """Return the next of each pool."""
        self._turn += 1
        prefills, decodes = listed(self.world, self.world.prefills), self._decodes()
        return prefills[self._turn % len(prefills)], decodes[self._turn % len(decodes)]

    def _decodes(self) -> list[FakeDecode]:
        return listed(self.world, self.world.decodes)

    def pick_service(self, req: Request) -> FakeService:
        """Return the next service."""
        self._turn += 1
        return self.world.services[self._turn % len(self.world.services)]


class LeastLagged(Unreserved):
    """The least loaded by reports that lag; all entries see the same reports."""

    name = "least_lagged"

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._reports: dict[str, int] = {}
        self._report()

    def pick(self, req: Request) -> tuple[FakePrefill, FakeDecode]:
        """Return the least loaded of each pool."""
        prefills, decodes = self.world.prefills, self.world.decodes
        return self._least(listed(self.world, prefills)), self._least(listed(self.world, decodes))

    def pick_service(self, req: Request) -> FakeService:
        """Return the least loaded service."""
        return self._least(self.world.services)

    def _least(self, pool: list[T]) -> T:
        return min(pool, key=lambda e: (self._reports[e.name], self.world.rng.random()))

    def _report(self) -> None:
        world = self.world
        self._reports = {e.name: e.work for e in [*world.prefills, *world.decodes, *world.services]}
        world.clock.after(LOAD_LAG_S, self._report)


class StaticPairs(RoundRobin):
    """Each prefill engine feeds decode engines of its own."""

    name = "static_pairs"

    def pick(self, req: Request) -> tuple[FakePrefill, FakeDecode]:
        """Return the next decode endpoint and the prefill endpoint it belongs to."""
        self._turn += 1
        decodes = self._decodes()
        decode = self._turn % len(decodes)
        prefills = listed(self.world, self.world.prefills)
        return prefills[decode % len(prefills)], decodes[decode]


def listed(world: World, pool: list[T]) -> list[T]:
    """Return the endpoints that the lagging list of VMs still has."""
    return [e for e in pool if world.clock.now < e.died_at + VM_LIST_LAG_S]


def held_on(world: World) -> dict[str, int]:
    """Return the KV pieces held on decode engines, by request."""
    return {job.req.id: pieces for d in world.decodes for job, pieces in d.held.items()}


def note_first(req: Request, now: float) -> None:
    """Note the first token, once."""
    if req.first_at is None:
        req.first_at = now
