"""Baseline policies of the placement bench, and helpers that all policies share."""

import random
from typing import Protocol, TypeVar

import attrs

from _placement_fakes import EXPORT_RETENTION_S, Clock, FakeDecode, FakePrefill, FakeService, Job
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
    """Return a world of idle endpoints."""
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
        """Place a request, for the first time or again."""

    def cancel(self, req: Request) -> None:
        """Handle the disconnection of the caller."""

    def freeze_entry(self, entry: int) -> None:
        """Handle an entry that stops responding."""

    def held_pieces(self) -> dict[str, int]:
        """Return the KV pieces held on engines, by request."""


class Unreserved:
    """Prefill at once, then decode; no reservations and no shedding.

    Subclasses choose the endpoints.
    """

    name = ""

    def __init__(self, world: World) -> None:
        self.world = world
        self._decode_jobs: dict[Request, tuple[FakeDecode, Job]] = {}
        self._prefill_jobs: dict[Request, Job] = {}

    def choose_engines(self, req: Request) -> tuple[FakePrefill, FakeDecode]:
        """Return the engines for a generation."""
        raise NotImplementedError

    def choose_service(self, req: Request) -> FakeService:
        """Return the service for a call."""
        raise NotImplementedError

    def start(self, req: Request) -> None:
        """Place a request, for the first time or again."""
        if req.is_call:
            self.choose_service(req).submit(Job(req, lambda: self._complete(req), lambda _: None))
            return
        if req.is_finished:
            return
        req.attempt += 1
        if req.attempt > MAX_ATTEMPTS:
            req.refused = True
            return
        prefill, decode = self.choose_engines(req)
        job = Job(req, lambda: self._decode(req, decode), lambda _: self.start(req))
        self._prefill_jobs[req] = job
        prefill.submit(job)

    def cancel(self, req: Request) -> None:
        """Abort the work at the engines, as their connections close."""
        if req in self._prefill_jobs:
            self._prefill_jobs[req].aborted = True
        if req in self._decode_jobs:
            decode, job = self._decode_jobs[req]
            decode.abort(job)

    def freeze_entry(self, entry: int) -> None:
        """Do nothing: the engines are not notified."""

    def held_pieces(self) -> dict[str, int]:
        """Return the KV pieces held on engines, by request."""
        return engine_held_pieces(self.world)

    def _decode(self, req: Request, decode: FakeDecode) -> None:
        if req.is_finished:
            return
        evicted_at = self.world.clock.now + EXPORT_RETENTION_S
        job = Job(
            req,
            lambda: self._complete(req),
            lambda _: self.start(req),
            lambda: record_first_token(req, self.world.clock.now),
            evicted_at,
        )
        self._decode_jobs[req] = (decode, job)
        decode.submit(job)

    def _complete(self, req: Request) -> None:
        if not req.is_finished:
            req.completed_at = self.world.clock.now


class RoundRobin(Unreserved):
    """Choose the endpoints of each pool in rotation."""

    name = "round_robin"

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._next_index = 0

    def choose_engines(self, req: Request) -> tuple[FakePrefill, FakeDecode]:
        """Return the next engine of each pool."""
        self._next_index += 1
        prefills, decodes = listed_endpoints(self.world, self.world.prefills), self._decodes()
        return prefills[self._next_index % len(prefills)], decodes[self._next_index % len(decodes)]

    def _decodes(self) -> list[FakeDecode]:
        return listed_endpoints(self.world, self.world.decodes)

    def choose_service(self, req: Request) -> FakeService:
        """Return the next service."""
        self._next_index += 1
        return self.world.services[self._next_index % len(self.world.services)]


class LaggedLeastLoaded(Unreserved):
    """Choose the least loaded endpoints by delayed load reports, which all entries share."""

    name = "least_lagged"

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._reports: dict[str, int] = {}
        self._refresh_reports()

    def choose_engines(self, req: Request) -> tuple[FakePrefill, FakeDecode]:
        """Return the least loaded engine of each pool."""
        prefills, decodes = self.world.prefills, self.world.decodes
        return self._least_loaded(listed_endpoints(self.world, prefills)), self._least_loaded(
            listed_endpoints(self.world, decodes)
        )

    def choose_service(self, req: Request) -> FakeService:
        """Return the least loaded service."""
        return self._least_loaded(self.world.services)

    def _least_loaded(self, pool: list[T]) -> T:
        return min(pool, key=lambda e: (self._reports[e.name], self.world.rng.random()))

    def _refresh_reports(self) -> None:
        world = self.world
        self._reports = {
            e.name: e.pending_count for e in [*world.prefills, *world.decodes, *world.services]
        }
        world.clock.call_later(LOAD_LAG_S, self._refresh_reports)


class StaticPairs(RoundRobin):
    """Each prefill engine serves a fixed set of decode engines."""

    name = "static_pairs"

    def choose_engines(self, req: Request) -> tuple[FakePrefill, FakeDecode]:
        """Return the next decode engine and its prefill engine."""
        self._next_index += 1
        decodes = self._decodes()
        decode = self._next_index % len(decodes)
        prefills = listed_endpoints(self.world, self.world.prefills)
        return prefills[decode % len(prefills)], decodes[decode]


def listed_endpoints(world: World, pool: list[T]) -> list[T]:
    """Return the endpoints in the list of VMs, which drops a failed one after a delay."""
    return [e for e in pool if world.clock.now < e.failed_at + VM_LIST_LAG_S]


def engine_held_pieces(world: World) -> dict[str, int]:
    """Return the KV pieces held on decode engines, by request."""
    return {job.req.id: pieces for d in world.decodes for job, pieces in d.held_pieces.items()}


def record_first_token(req: Request, now: float) -> None:
    """Record the time of the first token, once."""
    if req.first_token_at is None:
        req.first_token_at = now
