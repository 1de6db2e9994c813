"""One run of the soak: a fleet, callers, faults that may overlap, and the checks."""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

import attrs

from vanillashore_standins._kept_output import KeptOutput
from vanillashore_standins._serving import ServedApp
from vanillashore_standins._waiting import wait_until
from vanillashore_standins.platform_endpoint import EndpointStandIn, EngineOptions, Fault
from vanillashore_standins.platform_rig import KEY, MODELS, ORDERS, configuration
from vanillashore_standins.platform_store import PlatformStoreStandIn
from vanillashore_standins.soak._callers import (
    NOT_RUN_STATUSES,
    REQUEST_KINDS,
    Address,
    CallerOptions,
    Ending,
    SoakCaller,
)
from vanillashore_standins.soak._copies import CopyFaults
from vanillashore_standins.soak._crowds import MAX_FDS, MEMORY_MB, CrowdFaults
from vanillashore_standins.soak._entries import SETTLE_S, EntryPool, EntryProcess, TimeSpan
from vanillashore_standins.soak._limits import LimitFaults
from vanillashore_standins.soak._parts import PartFaults, sound_prompt
from vanillashore_standins.soak._proxy import ProxyMode
from vanillashore_standins.soak._reloads import ReloadFaults
from vanillashore_standins.soak._restores import RestoreFaults
from vanillashore_standins.soak._statements import StatementFaults
from vanillashore_standins.soak._stops import StopFaults
from vanillashore_standins.soak._versions import VersionFaults
from vanillashore_standins.soak._zones import COLD_PER_S, ZoneFaults

EVENTS = 6
CHANGE_LIMIT_S = 2.0  # The platform's time limit for applying a change in small deployments.
PHASE_S = 7.0  # Disruptive and calm phases alternate; time limits are checked in calm ones.
RECOVERY_S = 20.0
SECOND_KEY = "second-key"
KEYLESS_EVERY_S = 10.0
RUNS_ONCE_PATHS = frozenset(kind.path for kind in REQUEST_KINDS if kind.runs_once)
# A success that is no stream is relayed as the endpoint's answer, as long as no stream has begun.
NO_STREAMS = (Fault.NO_STREAM, Fault.NO_STREAM_UNTYPED)
REQUEST_FAULTS = [fault for fault in Fault if fault not in (Fault.NONE, *NO_STREAMS)]
# A plain answer without end is passed on like any long one, so callers receive its bytes.
ENGINE_FAULTS = frozenset({Fault.ENDLESS_BODY, Fault.ENDLESS_EVENT})
# Of failures after a run; to callers all but the last say that the request has not run.
ERROR_STATUSES = (408, 429, 503, 500)


@attrs.frozen
class SoakPlan:
    """Size and length of a run; ``mutant`` names a guarantee that the entries break on purpose.

    With ``stops``, entries stop in series while long streams run. With ``parts``, engines crash on
    parts of prompts, or without a cause. With ``zones``, data centres are evacuated and endpoints
    turn cold. With ``crowds``, callers that don't behave come to entries with low limits.
    """

    seed: int
    seconds: float = 20.0
    entries: int = 3
    services: int = 3
    prefills: int = 2
    decodes: int = 4
    callers: int = 12
    mutant: str = ""
    stops: bool = False
    parts: bool = False
    zones: bool = False
    crowds: bool = False
    folder: Path | None = None


@attrs.frozen
class SoakReport:
    """Requests sent, their statuses, the faults injected, and the guarantees that were broken.

    ``mixed_streams`` have events of two software versions; the platform tolerates two.
    ``figures`` tell what became of requests sent to stopping entries, or beside crashes.
    """

    request_count: int
    statuses: Counter[int]
    faults: Counter[str]
    violations: tuple[str, ...]
    mixed_streams: tuple[str, ...]
    figures: tuple[str, ...]


class _Soak:
    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.store = PlatformStoreStandIn()
        self.faults: Counter[str] = Counter()
        self.violations: list[str] = []
        self.pool = EntryPool()
        self.endpoints = [
            *(EndpointStandIn(f"s{i}", ORDERS) for i in range(plan.services)),
            *(self._engine(f"p{i}", "prefill") for i in range(plan.prefills)),
            *(self._engine(f"d{i}", "decode") for i in range(plan.decodes)),
        ]
        statuses = random.Random(f"{plan.seed}-errors")
        for endpoint in self.endpoints:
            endpoint.error_status = statuses.choice(ERROR_STATUSES)
        self._folder = folder
        self._published: dict[str, dict[str, object]] = {}
        self._restores = RestoreFaults(
            self.store, self._write_again, random.Random(f"{plan.seed}-restores")
        )
        self._version = 1
        self._has_second_key = True
        self._has_any_key = True
        self._is_recovering = False
        self._disruptions: list[TimeSpan] = []
        self._outages: list[TimeSpan] = []
        self._key_withdrawals: list[TimeSpan] = []
        self._times_without_keys: list[TimeSpan] = []
        self._drains: list[tuple[str, TimeSpan]] = []
        kinds = [[e for e in self.endpoints if e.instance.startswith(letter)] for letter in "spd"]
        self._decodes = kinds[2]
        self._limits = LimitFaults(kinds, random.Random(f"{plan.seed}-limits"))
        self._versions = VersionFaults(
            kinds[1] + kinds[2],
            lambda engine, state: self._put_endpoint(engine, state=state),
            random.Random(f"{plan.seed}-versions"),
        )
        self._statements = StatementFaults(
            kinds,
            self._restart_endpoint,
            lambda endpoint, state: self._put_endpoint(endpoint, state=state),
            self._versions.note,
            random.Random(f"{plan.seed}-statements"),
        )
        self._stops = StopFaults(
            self.pool, self._decodes, random.Random(f"{plan.seed}-stops"), self._new_caller
        )
        self._parts = PartFaults(
            kinds[1] + kinds[2],
            random.Random(f"{plan.seed}-parts"),
            lambda name, options: self._new_caller(name, self.pool.addresses, options),
        )
        self._reloads = ReloadFaults(self.pool, random.Random(f"{plan.seed}-reloads"))
        self._crowds = CrowdFaults(self.pool, random.Random(f"{plan.seed}-crowds"))
        self._removals = random.Random(f"{plan.seed}-removals")
        self._removed: set[str] = set()
        self._copies = CopyFaults(kinds, random.Random(f"{plan.seed}-copies"))
        self._zones = ZoneFaults(
            self.endpoints,
            self.store.put,
            self.store.remove,
            self._put_endpoint_again,
            self._versions.note,
            random.Random(f"{plan.seed}-zones"),
        )
        for endpoint in self.endpoints:
            endpoint.on_restart = self._put_endpoint_again
        self._callers = [
            self._new_caller(f"c{i}", self.pool.addresses) for i in range(plan.callers)
        ]

    async def run(self) -> SoakReport:
        async with AsyncExitStack() as stack:
            for endpoint in self.endpoints:
                await stack.enter_async_context(endpoint)
                self._put_endpoint(endpoint)
            self.store.put("op/config", self._config())
            served = await stack.enter_async_context(ServedApp(self.store.app()))
            store = served.address.removeprefix("http://")
            for number in range(self.plan.entries):
                limits = (MEMORY_MB, MAX_FDS) if self.plan.crowds else ()
                name, mutant = f"entry-{number}", self.plan.mutant
                entry = EntryProcess(name, store, self._folder, mutant, *limits)
                self.pool.add(await stack.enter_async_context(entry))
            await self._wait_for_entries()
            callers = [asyncio.ensure_future(caller.run()) for caller in self._callers]
            background = [
                asyncio.ensure_future(f.run())
                for f in (
                    self._limits,
                    self._versions,
                    self._statements,
                    self._copies,
                    self._reloads,
                )
            ]
            # Restores come so often that hardly any evacuation would be certain to be known.
            if not self.plan.zones:
                background.append(asyncio.ensure_future(self._restores.run()))
            if self.plan.parts:
                background.append(asyncio.ensure_future(self._parts.run()))
            if self.plan.zones:
                background.append(asyncio.ensure_future(self._zones.run()))
            if self.plan.crowds:
                background.append(asyncio.ensure_future(self._crowds.run()))
            end = _now() + self.plan.seconds
            stops = asyncio.ensure_future(self._stops.run(end)) if self.plan.stops else None
            await self._inject_faults(end)
            if stops is not None:
                await stops
            await _cancel(*background)
            await self._check_recovery()
            await _cancel(*callers)
            await asyncio.sleep(0.5)
        self._check_guarantees()
        records = [r for caller in self._all_callers() for r in caller.records]
        statuses = Counter(r.status for r in records)
        self.faults["name_limit"] = self._limits.count
        self.faults["change_version"] = self._versions.count
        self.faults["leave_or_pause"] = self._statements.count
        self.faults["copy_answer"] = self._copies.count
        self.faults["reload"] = self._reloads.count
        self.faults["crowd"] = self._crowds.count
        self.faults["restore_store"] = self._restores.count
        self.faults["close_zone_or_chill"] = self._zones.count
        self.faults["stop"] = self._stops.count
        self.faults["crash"] = self._parts.count
        violations = tuple(sorted(set(self.violations)))
        mixed = tuple(self._versions.mixed_streams)
        figures = (
            f"sent to stopping entries: {dict(self._stops.outcomes())}",
            *self._parts.figures,
        )
        return SoakReport(len(records), statuses, self.faults, violations, mixed, figures)

    async def _wait_for_entries(self) -> None:
        try:
            await wait_until(self._are_all_registered, 60.0)
        except TimeoutError:
            ended = {e.name: e.last_line for e in self.pool.entries if e.has_ended}
            raise RuntimeError(f"not all entries have started; ended: {ended}") from None

    async def _inject_faults(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        disruptive = [
            self._kill_entry,
            self._freeze_entry,
            self._stop_entry,
            self._disturb_store,
            self._disturb_path,
            self._drop_history,
        ]
        harmless = 2 * [self._fail_requests, self._leave] + [self._change_keys, self._take_all_keys]
        began = loop.time()
        running: set[asyncio.Task[None]] = set()
        while loop.time() < end:
            is_calm = int((loop.time() - began) / PHASE_S) % 2 == 1
            fault = self.rng.choice(harmless if is_calm else harmless + 2 * disruptive)
            self.faults[fault.__name__.strip("_")] += 1
            work = fault() if fault in harmless else self._disrupt(fault)
            running.add(asyncio.ensure_future(work))
            await asyncio.sleep(self.rng.random() * 1.5)
        await asyncio.gather(*running)

    async def _disrupt(self, fault: Callable[[], Awaitable[None]]) -> None:
        span = TimeSpan(_now())
        self._disruptions.append(span)
        await fault()
        span.end = _now()

    async def _kill_entry(self) -> None:
        await self._with_unaffected_entry(lambda entry: entry.kill(self.rng.random()))

    async def _freeze_entry(self) -> None:
        await self._with_unaffected_entry(lambda entry: entry.freeze(0.2 + self.rng.random() * 2))

    async def _stop_entry(self) -> None:
        await self._with_unaffected_entry(self._stops.stop, is_disrupted=False)

    async def _with_unaffected_entry(
        self, work: Callable[[EntryProcess], Awaitable[None]], is_disrupted: bool = True
    ) -> None:
        """Apply a fault to an entry that has no other fault; the first entry is never affected."""
        if len(self.pool.unaffected) < 2:
            return
        entry = self.pool.unaffected.pop(self.rng.randrange(1, len(self.pool.unaffected)))
        try:
            with self.pool.disruption_of(entry) if is_disrupted else contextlib.nullcontext():
                await work(entry)
        finally:
            self.pool.give_back(entry)

    def _was_disrupted(self, entry: Address, since: float, until: float) -> bool:
        """Whether an entry was disrupted or stopped, up to ``SETTLE_S`` before ``since``."""
        return self.pool.was_disrupted(entry, since, until) or self._stops.was_stopped(
            entry, since - SETTLE_S, until
        )

    async def _disturb_store(self) -> None:
        faults = self.store.faults
        kind = self.rng.choice(["down", "busy", "silent", "lost"])
        faults.status = {"down": 503, "busy": 429}.get(kind, 0)
        faults.is_silent, faults.loses_answers = kind == "silent", kind == "lost"
        self._outages.append(TimeSpan(_now()))
        await asyncio.sleep(self.rng.random() * 3)
        self._outages[-1].end = _now()
        faults.status, faults.is_silent, faults.loses_answers = 0, False, False

    async def _disturb_path(self) -> None:
        entry = self.rng.choice(self.pool.unaffected or self.pool.entries)
        with self.pool.disruption_of(entry):
            modes = [mode for mode in ProxyMode if mode is not ProxyMode.PASS]
            entry.store_proxy.mode = self.rng.choice(modes)
            await asyncio.sleep(self.rng.random() * 3)
            entry.store_proxy.mode = ProxyMode.PASS
            entry.store_proxy.reset()

    async def _drop_history(self) -> None:
        self.store.drop_history()

    async def _fail_requests(self) -> None:
        for endpoint in self.rng.sample(self.endpoints, 3):
            faults = [f for f in REQUEST_FAULTS if endpoint.engine or f not in ENGINE_FAULTS]
            endpoint.faults.extend(self.rng.choices(faults, k=self.rng.randrange(3, 12)))

    async def _change_keys(self) -> None:
        self._has_second_key = not self._has_second_key
        self._write_config()
        if self._has_second_key:
            self._key_withdrawals[-1].end = _now()
        else:
            self._key_withdrawals.append(TimeSpan(_now()))

    async def _take_all_keys(self) -> None:
        """Write a configuration that has a workspace, but no key, at most once in a while."""
        earlier = self._times_without_keys
        if not self._has_any_key or (earlier and _now() < earlier[-1].start + KEYLESS_EVERY_S):
            return
        self._has_any_key = False
        self._write_config()
        span = TimeSpan(_now())
        self._times_without_keys.append(span)
        await asyncio.sleep(CHANGE_LIMIT_S + self.rng.random())
        span.end = _now()
        self._has_any_key = True
        self._write_config()

    def _write_config(self) -> None:
        self._version += self.rng.randrange(1, 4)
        self.store.put("op/config", self._config())

    async def _leave(self) -> None:
        services = [e for e in self.endpoints if e.service == ORDERS]
        leaving = {name for name, span in self._drains if span.end > _now()}
        if len(leaving) >= len(services) - 1:
            return
        endpoint = self.rng.choice([e for e in services if e.instance not in leaving])
        # Some endpoints never report that they are leaving; their records are removed.
        if self._removals.random() < 0.5:
            self._removed.add(endpoint.instance)
            self._write_endpoint(endpoint.instance)
        else:
            self._put_endpoint(endpoint, state="draining")
        span = TimeSpan(_now())
        self._drains.append((endpoint.instance, span))
        await asyncio.sleep(CHANGE_LIMIT_S + SETTLE_S)
        span.end = _now()
        self._removed.discard(endpoint.instance)
        self._put_endpoint(endpoint)

    def _was_calm(self, since: float, until: float) -> bool:
        """Whether no disruption occurred between ``SETTLE_S`` before ``since`` and ``until``."""
        return not any(d.start < until and d.end > since - SETTLE_S for d in self._disruptions)

    def _was_store_sound(self, since: float, until: float) -> bool:
        """Whether the store had no fault between ``SETTLE_S`` before ``since`` and ``until``."""
        return not any(o.start < until and o.end > since - SETTLE_S for o in self._outages)

    def _check_time_limits(self) -> None:
        """Check that changes took effect within their time limit, outside of disruptions."""
        endpoints = {endpoint.instance: endpoint for endpoint in self.endpoints}
        for name, span in self._drains:
            if self._restores.may_have_lost(span.start):
                continue
            for arrival in endpoints[name].arrivals:
                is_late = span.start + CHANGE_LIMIT_S < arrival.at < span.end
                if is_late and self._was_calm(span.start, arrival.at):
                    self.violations.append(f"{arrival.request_id}: reached a leaving endpoint")
        withdrawals = [(span, {SECOND_KEY}) for span in self._key_withdrawals]
        withdrawals += [(span, {KEY, SECOND_KEY}) for span in self._times_without_keys]
        for caller in self._callers:
            for record in caller.records:
                if record.status != 200:
                    continue
                for span, keys in withdrawals:
                    is_late = (
                        span.start + CHANGE_LIMIT_S < record.sent_at and record.ended_at < span.end
                    )
                    if (
                        is_late
                        and record.key in keys
                        and not self._restores.may_have_lost(span.start)
                        and self._was_calm(span.start, record.ended_at)
                    ):
                        self.violations.append(f"{record.request_id}: served with a withdrawn key")

    async def _check_recovery(self) -> None:
        """End all faults and check that callers are served again."""
        self._is_recovering = True
        for endpoint in self.endpoints:
            endpoint.faults.clear()
        before = sum(len(caller.records) for caller in self._callers)

        def is_served() -> bool:
            # Callers that leave a stream by themselves have been served.
            stayed = [[r for r in c.records if r.ending is not Ending.LEFT] for c in self._callers]
            recent = [r for records in stayed for r in records[-3:]]
            count = sum(len(caller.records) for caller in self._callers)
            return count > before + 50 and all(r.status == 200 for r in recent)

        if not self._has_second_key:
            await self._change_keys()
        try:
            await wait_until(is_served, RECOVERY_S)
        except TimeoutError:
            self.violations.append("callers are not served again after the faults")

    def _check_guarantees(self) -> None:
        """Check the guarantees that hold under all faults."""
        self._check_time_limits()
        runs = Counter(a.request_id for e in self.endpoints for a in e.runs)
        callers = self._all_callers()
        records = {r.request_id: r for caller in callers for r in caller.records}
        crashing = {r.request_id for caller in self._parts.callers for r in caller.records}
        sound = [r for r in records.values() if r.request_id not in crashing]
        self.violations += self._limits.violations(records.values(), self._was_disrupted)
        self.violations += self._versions.violations(sound, self._was_disrupted)
        self.violations += self._parts.violations(
            sound, self._was_disrupted, self._were_decodes_restricted
        )
        self.violations += self._statements.violations(records.values(), self.pool.was_interrupted)
        self.violations += self._zones.violations(
            records.values(),
            self._was_disrupted,
            self._was_store_sound,
            self._restores.may_have_lost,
        )
        self.violations += self._stops.violations(
            records.values(), self.pool.was_disrupted, self.endpoints
        )
        self.violations += self._crowds.violations
        for entry in self.pool.entries:
            self.violations += entry.unasked_exits
        for caller in callers:
            self.violations += caller.violations
        for request_id, count in runs.items():
            record = records.get(request_id)
            if record is not None and record.path in RUNS_ONCE_PATHS and count > 1:
                self.violations.append(f"{request_id}: ran {count} times")
        for record in records.values():
            # An endpoint's own failure reaches the caller of a request that may run again.
            is_own = bool(record.code) or record.path in RUNS_ONCE_PATHS
            if record.status in NOT_RUN_STATUSES and is_own and runs[record.request_id]:
                self.violations.append(
                    f"{record.request_id}: refused with {record.status}, but it ran"
                )
        for endpoint in self.endpoints:
            for arrival in endpoint.arrivals:
                if (
                    "authorization" in arrival.headers
                    or arrival.headers.get("x-tenant") != "counter"
                ):
                    self.violations.append(
                        f"{arrival.request_id}: received a key or a wrong workspace"
                    )

    def _were_decodes_restricted(self, at: float) -> bool:
        """Whether all decode engines named limits, left or paused at a time."""
        return self._limits.were_named(self._decodes, at) or self._statements.were_unusable(
            self._decodes, at
        )

    def _engine(self, name: str, stage: str) -> EndpointStandIn:
        return EndpointStandIn(
            name, MODELS, EngineOptions(stage, EVENTS, pause_s=0.1 if self.plan.stops else 0.01)
        )

    def _new_caller(
        self,
        name: str,
        addresses: Callable[[], list[Address]],
        options: CallerOptions | None = None,
    ) -> SoakCaller:
        options = options or CallerOptions()
        if self.plan.parts and options.prompt is None:
            options = attrs.evolve(options, prompt=sound_prompt)
        rng = random.Random(f"{self.plan.seed}-{name.removeprefix('c')}")
        return SoakCaller(name, rng, addresses, self._key, EVENTS, options)

    def _all_callers(self) -> list[SoakCaller]:
        return self._callers + self._stops.callers + self._parts.callers

    def _put_endpoint(self, endpoint: EndpointStandIn, **changes: str) -> None:
        self._published[endpoint.instance] = endpoint.entry(**changes)
        self._write_endpoint(endpoint.instance)

    def _write_endpoint(self, instance: str) -> None:
        if instance in self._removed:
            self.store.remove(f"servers/{instance}")
        else:
            self.store.put(f"servers/{instance}", self._published[instance])

    def _put_endpoint_again(self, endpoint: EndpointStandIn) -> None:
        self._put_endpoint(endpoint, state=self._published[endpoint.instance]["state"])

    def _restart_endpoint(self, endpoint: EndpointStandIn) -> None:
        """Start an endpoint again, which is ready then unless the list is to say it leaves."""
        endpoint.restart(endpoint.version)
        leaves = any(name == endpoint.instance and s.end > _now() for name, s in self._drains)
        self._put_endpoint(endpoint, state="draining" if leaves else "ready")

    def _write_again(self) -> None:
        """Write what the operator and the endpoints had written, in its newest state."""
        self.store.put("op/config", self._config())
        for instance in self._published:
            self._write_endpoint(instance)
        if self.plan.zones:
            self._zones.write_again()

    def _config(self) -> dict[str, object]:
        keys = [KEY, SECOND_KEY] if self._has_second_key else [KEY]
        in_force = keys if self._has_any_key else []
        tenant = {"name": "counter", "api_keys": in_force, "unit": "token_stream"}
        config = configuration(self._version, tenants=[tenant])
        if self.plan.zones:
            for service in config["services"]:
                service["cold_per_s"] = COLD_PER_S
        return config

    def _are_all_registered(self) -> bool:
        count = sum(key.startswith("vanillashore/entries/") for key in self.store.items)
        return count == len(self.pool.entries)

    def _key(self) -> str:
        is_second = self.rng.random() < 0.2 and not self._is_recovering
        return SECOND_KEY if is_second else KEY


async def _cancel(*tasks: "asyncio.Future[None]") -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _now() -> float:
    return asyncio.get_running_loop().time()


async def run_soak(plan: SoakPlan) -> SoakReport:
    """Run the soak; keep the entries' logs in ``plan.folder``, or somewhere if it is broken."""
    if plan.folder is not None:
        plan.folder.mkdir(parents=True, exist_ok=True)
        return await _Soak(plan, plan.folder).run()
    with KeptOutput() as output:
        report = await _Soak(plan, output.folder).run()
        if report.violations:
            output.note(f"{plan}")
            for violation in report.violations:
                output.note(violation)
            output.keep()
        return report
