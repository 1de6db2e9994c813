"""The entry: admits callers' requests and dispatches them to a forwarder."""

import asyncio
import random
from collections.abc import Callable, Iterable

import attrs
from loguru import logger as log

from vanillashore_gateway._balancing import Balancer
from vanillashore_gateway._calls import CallForwarder
from vanillashore_gateway._clock import now
from vanillashore_gateway._cold_rates import ColdBounds
from vanillashore_gateway._crash_evidence import traits_of
from vanillashore_gateway._crashes import CrashMonitor, fingerprint_of
from vanillashore_gateway._crashing_parts import CrashingParts
from vanillashore_gateway._dialect import Dialect
from vanillashore_gateway._domain import (
    CallerRequest,
    Endpoint,
    EndpointRole,
    EndpointStart,
    Route,
    ServingConfig,
    Workspace,
)
from vanillashore_gateway._duty import DutyState
from vanillashore_gateway._engine_calls import EngineCalls
from vanillashore_gateway._entry_list import EntryList
from vanillashore_gateway._errors import ErrorCode, RefusalError, Refused, refusal
from vanillashore_gateway._following import StoredRegistration
from vanillashore_gateway._front import ListenerState
from vanillashore_gateway._generation import GenerationForwarder
from vanillashore_gateway._job import Job, Tools, crash_refusal, give_up_at
from vanillashore_gateway._limit_requests import RequestLimits
from vanillashore_gateway._membership import Membership
from vanillashore_gateway._metrics import GatewayMetrics
from vanillashore_gateway._origin_store import OriginStore
from vanillashore_gateway._platform_store import (
    Change,
    ConfigWritten,
    DutyRemoved,
    DutyWritten,
    EndpointRemoved,
    EndpointWritten,
    EntryRemoved,
    EntryWritten,
    EvacuationRequested,
    EvacuationWithdrawn,
    Snapshot,
    VersionRemoved,
    VersionWritten,
)
from vanillashore_gateway._pool import ConnectionPool
from vanillashore_gateway._prefill_estimator import PrefillEstimator
from vanillashore_gateway._prefill_scheduler import PrefillScheduler
from vanillashore_gateway._quota import QuotaSettings
from vanillashore_gateway._quota_requests import Quotas
from vanillashore_gateway._registration_checks import RegistrationChecks
from vanillashore_gateway._responder import CallerDisconnectedError, Inbound, Responder
from vanillashore_gateway._resumption import Resumption
from vanillashore_gateway._retry_budget import RetryLimits
from vanillashore_gateway._retry_requests import RetryBudgets
from vanillashore_gateway._role_changes import RoleChanges
from vanillashore_gateway._rotation import Rotation
from vanillashore_gateway._routing import RouteTable, pick_service
from vanillashore_gateway._sending import Sender
from vanillashore_gateway._shutdown import Shutdown
from vanillashore_gateway._slot_finder import SlotFinder
from vanillashore_gateway._slot_requests import SlotRequests
from vanillashore_gateway._start_checks import StartChecks
from vanillashore_gateway._statements import EndpointStatements
from vanillashore_gateway._stream_origins import StreamOrigins
from vanillashore_gateway._version_record import ServiceVersion, VersionRecord
from vanillashore_ingress import HeldBytes, limits_for_memory, most_connections, socket_budget

# In this time the list tells that an endpoint leaves, or that another start of it does not.
CARRIED_LEAVING_S = 10.0
# What an endpoint has stated holds for its start, and a record may lapse and come back.
STATEMENTS_KEPT_S = 120.0
# Shorter interruptions, as by a cut watch, let no record expire: that takes three heartbeats.
MIN_OUTAGE_S = 1.0
STALE_LIST_S = 3.5  # A watch without changes returns sooner.
SNAPSHOTS_TO_SETTLE = 2  # After a restore: the first is merged, the second replaces the list.
STARTUP_RETRY_AFTER_S = 0.5  # Time for a new process to load its configuration.
# Share of the fleet-wide retry limits that the entries use; the rest covers the initial retries of
# entries that restart (`INITIAL_SHARE`).
BUDGET_SHARE = 0.8
QUOTA_WAIT_SHARE = 0.3  # Longest wait for rate-limit tokens, as a share of the target latency.
UNKNOWN_ROUTE = "none"


@attrs.frozen
class GatewaySettings:
    """Settings of one entry; the retry limits apply to the whole fleet.

    A stopping process counts as in rotation for ``rotation_s`` after it has handled the signal. The
    load balancer probes once a second and removes a process after two failed probes; the platform
    excuses broken answers to requests sent up to 3 s after the signal, which may be handled late.
    The process is killed after ``grace_s``. A long poll of the store waits up to ``watch_s``, which
    limits how long a silent connection stays undetected. A new holder of the duty to give role
    orders waits for ``order_handover_s`` before its first order. With ``memory_mb``, the bytes held
    for callers are bounded so that the process stays below it; 0 is no bound. It opens at most
    ``max_sockets`` sockets; with 0, as many as the kernel allows.
    """

    node: str
    data_centre: str
    front: tuple[str, int]
    ready: tuple[str, int]
    metrics: tuple[str, int]
    peers: tuple[str, int]
    grace_s: float = 8.0
    rotation_s: float = 2.7
    order_handover_s: float = 3.0
    watch_s: float = 2.0
    expected_entries: int = 1
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    quota: QuotaSettings = attrs.field(factory=QuotaSettings)
    cold: ColdBounds = attrs.field(factory=ColdBounds)
    memory_mb: float = 0.0
    max_sockets: int = 0


class Gateway:
    """State and request handling of one entry."""

    def __init__(self, cfg: GatewaySettings, dialect: Dialect, rng: random.Random) -> None:
        self.cfg = cfg
        self.held = HeldBytes(limits_for_memory(cfg.memory_mb), now)
        sockets = socket_budget(cfg.max_sockets)
        most = most_connections(sockets, cfg.memory_mb)
        self.front = ListenerState(self.handle, now, held=self.held, max_connections=most)
        self.membership = Membership()
        self.pool = ConnectionPool(
            self.membership.record_connection_lost,
            self.membership.record_unobserved,
            dialect.answer_id,
            sockets.idle,
        )
        self.balancer = Balancer(cfg.data_centre, rng)
        self.limits = RequestLimits(cfg.node, now, cfg.cold)
        self.balancer.is_cold = self._is_cold
        statements = EndpointStatements(self.membership, self.limits, now)
        self.membership.on_new_start = self._carry_statements
        self.role_changes = RoleChanges(cfg.node, now)
        self.membership.is_changing = self.role_changes.is_changing
        self.calls = EngineCalls(dialect, self.pool, statements)
        self.duty = DutyState()
        self.rotation = Rotation(cfg.node, now)
        self.shutdown = Shutdown(self.rotation, now, rng)
        self.active = 0
        self._rng = rng
        self._dialect = dialect
        self._table: RouteTable | None = None
        self.registration_checks = RegistrationChecks(cfg.node, now, rng)
        self.registration_checks.is_fresh = lambda: not self._is_list_stale()
        self.quotas = Quotas(cfg.node, cfg.quota, now)
        self.quotas.is_listed = lambda: self.registration_checks.is_listed
        self.parts = CrashingParts(cfg.node, now)
        self.crashes = CrashMonitor(cfg.node, now, parts=self.parts)
        self.origins = StreamOrigins(cfg.node, now)
        self.origin_store = OriginStore(
            cfg.node,
            self.origins,
            lambda rank_of: VersionRecord(self.membership, rank_of),
            now,
            rng,
        )
        self.resumption = Resumption(self.origins, self.origin_store, now)
        self._entries = EntryList(now)
        self._entries_expiry: asyncio.TimerHandle | None = None
        self._has_snapshot = False
        self._has_store_contact = False
        self._snapshots_to_settle = 0
        self._expiry: asyncio.TimerHandle | None = None
        self.restore_listeners: list[Callable[[], None]] = []
        self.on_own_registration: Callable[[StoredRegistration], None] = lambda _: None
        self._synced_at = now()
        retries = RetryLimits(cfg.retry_ratio * BUDGET_SHARE, cfg.retry_slack * BUDGET_SHARE)
        self.budgets = RetryBudgets(cfg.node, retries, cfg.expected_entries, now)
        self.budgets.fleet.is_list_fresh = self.registration_checks.is_fresh
        has_limits = self.held.limits is not None
        sender = Sender(dialect, self.pool, self.balancer, statements, now, has_limits)
        self.prefill_estimator = PrefillEstimator(rng)
        self.prefill_estimator.is_cold = self._is_cold
        self.prefills = PrefillScheduler(
            cfg.node,
            self.prefill_estimator,
            self._prefill_engines,
            self._closed_prefill_engines,
            now,
        )
        self.start_checks = StartChecks(self.calls, self.membership, self._is_list_stale, now)
        self.slot_requests = SlotRequests(cfg.node, self._decode_engines, now, rng)
        self.slot_finder = SlotFinder(
            self.calls,
            self.balancer,
            self.limits,
            self.start_checks,
            self.prefill_estimator,
            self.membership,
            self.slot_requests,
            cfg.data_centre,
            now,
            rng,
        )
        self._tools = Tools(
            dialect,
            sender,
            self.slot_finder,
            self.start_checks,
            self.balancer,
            self.limits,
            self.origins,
            self.origin_store,
            self.prefill_estimator,
            self.prefills,
            self.crashes,
            self.parts,
            self.membership,
            self.budgets,
            self.shutdown,
            now,
            rng,
        )
        self.peer_handlers = (
            self.registration_checks,
            self.quotas,
            self.crashes,
            self.parts,
            self.prefills,
            self.slot_requests,
            self.rotation,
            self.limits,
            self.origins,
            self.role_changes,
            self.budgets,
        )
        self._update_entries()
        gauges = {
            "vanillashore.active_requests": lambda: self.active,
            "vanillashore.endpoints": lambda: len(self.membership),
            "vanillashore.endpoints.limited": lambda: self.limits.limited_endpoints,
            "vanillashore.endpoints.paused": lambda: self.limits.paused_endpoints,
            "vanillashore.endpoints.slow": lambda: self.balancer.speeds.slow_endpoints(now()),
            "vanillashore.endpoints.leaving": lambda: self.membership.stated_leaving,
            "vanillashore.retries.granted": lambda: self.budgets.granted,
            "vanillashore.retries.saved": lambda: self.budgets.saved,
            "vanillashore.retries.borrowed": lambda: self.budgets.borrowed,
            "vanillashore.retries.denied": lambda: self.budgets.denied,
            "vanillashore.endpoints.extra_answers": lambda: self.pool.extra_answers,
            "vanillashore.endpoints.cold": lambda: self.limits.cold.cold_endpoints,
            "vanillashore.endpoints.evacuated": lambda: self.membership.evacuated_endpoints,
            "vanillashore.data_centres.evacuated": lambda: len(self.membership.evacuated),
            "vanillashore.entries": lambda: self.known_entries,
            "vanillashore.slots.waiting": lambda: self.slot_requests.waiting,
            "vanillashore.slots.granted": lambda: self.slot_requests.granted,
            "vanillashore.origins.unwritten": lambda: len(self.origin_store),
            "vanillashore.held_bytes": lambda: self.held.held,
            "vanillashore.held_bytes.waiting": lambda: self.held.waiting,
            "vanillashore.held_bytes.gave_way": lambda: self.held.gave_way,
            "vanillashore.callers.connections": lambda: len(self.front.connections),
            "vanillashore.callers.gave_way": lambda: self.front.table.gave_way,
            "vanillashore.callers.turned_away": lambda: self.front.table.turned_away,
            "vanillashore.held_bytes.refused": lambda: self.held.refused,
            "vanillashore.held_bytes.unread_aborts": lambda: self.held.unread_aborts,
            "vanillashore.config_version": lambda: self.config_version,
        }
        self.metrics = GatewayMetrics(cfg.node, cfg.data_centre, gauges)

    @property
    def config_version(self) -> int:
        """Version of the active configuration; 0 before the first one."""
        return self._table.config.version if self._table else 0

    @property
    def known_entries(self) -> int:
        """How many entries are registered, this one included."""
        return len(self._entries)

    @property
    def is_ready(self) -> bool:
        """Whether the entry accepts new callers."""
        return self._table is not None and self._has_snapshot and self.shutdown.ends_at is None

    async def handle(self, inbound: Inbound, responder: Responder) -> None:
        """Answer one request of a caller."""
        self.active += 1
        status = 0
        route_name = UNKNOWN_ROUTE
        log_id = ""
        job: Job | None = None
        try:
            try:
                req = self._dialect.decode_request(inbound.head, inbound.body, inbound.arrived)
                log_id = req.log_id
                responder.set_deadline(req.deadline)
                async with self.shutdown.refuse_at_end() as release:
                    responder.on_begin = release
                    job = await self._admit(req, inbound.received)
                    route_name = job.route.name
                    await self._forwarder(job).run(responder)
                status = 200
            except RefusalError as exc:
                refused = exc.refused if job is None else job.state_run(exc.refused)
                status = refused.status
                self._refuse(inbound, responder, log_id, refused, job)
            except CallerDisconnectedError:
                raise
            except Exception as exc:
                log.bind(request=log_id, error=repr(exc)).exception("a request failed unexpectedly")
                refused = Refused(ErrorCode.INTERNAL, "the entry failed to handle the request")
                status = refused.status
                self._refuse(inbound, responder, log_id, refused, job)
        except BaseException:
            bound = log.bind(request=log_id, route=route_name, begun=responder.has_begun)
            if self.shutdown.has_ended:
                bound.warning("the process ended before the answer was complete")
            else:
                bound.info("the caller disconnected before its answer was complete")
            raise
        finally:
            self.active -= 1
            self.metrics.record_request(route_name, status, now() - inbound.arrived)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state with a full snapshot of the store."""
        endpoints = [c.endpoint for c in snapshot.items if isinstance(c, EndpointWritten)]
        registrations = [c for c in snapshot.items if isinstance(c, EntryWritten)]
        entries = {c.name: c.address for c in registrations}
        own = [c for c in registrations if c.name == self.cfg.node]
        stored = StoredRegistration(own[0].lease, own[0].revision) if own else None
        self.on_own_registration(stored or StoredRegistration(0, snapshot.revision))
        known = set(self._entries.addresses)
        evacuated = {c.data_centre for c in snapshot.items if isinstance(c, EvacuationRequested)}
        if self._snapshots_to_settle == SNAPSHOTS_TO_SETTLE and self._has_snapshot:
            self.membership.merge_restored(endpoints, now())
            for name, address in entries.items():
                self._entries.put(name, address)
            # An evacuation that was requested after the copy is in force until the store settles.
            evacuated |= self.membership.evacuated
        else:
            for removed in self.membership.replace_all(endpoints, now()):
                self._forget_endpoint(removed)
            self._entries.replace_all(entries)
        self._expire_later()
        self._expire_entries_later()
        self._snapshots_to_settle = max(0, self._snapshots_to_settle - 1)
        for endpoint in endpoints:
            self.limits.cold.record_listed(endpoint)
        self._set_evacuated(evacuated)
        self._has_snapshot = True
        self.duty.clear_holder()
        versions = [c for c in snapshot.items if isinstance(c, VersionWritten)]
        self.origin_store.versions.replace_all(
            (ServiceVersion(c.service, c.software) for c in versions), now()
        )
        for change in snapshot.items:
            if isinstance(change, ConfigWritten | DutyWritten):
                self.apply_change(change)
        self.origin_store.record_change()
        self._update_entries()
        for name in set(entries) - known:
            self._greet(name)
        log.bind(
            revision=snapshot.revision, endpoints=len(endpoints), entries=len(self._entries)
        ).info("loaded the snapshot of the store")

    def apply_change(self, change: Change) -> None:
        """Apply one change from the store."""
        match change:
            case ConfigWritten(config):
                self._install(config)
            case EndpointWritten(endpoint):
                self._log_endpoint(change)
                self.membership.put(endpoint, now())
                self._record_cold(endpoint)
                if endpoint.is_leaving:
                    self.pool.forget(endpoint.instance)
            case EndpointRemoved(instance):
                if self.membership.remove(instance, now()):
                    self._forget_endpoint(instance)
                else:
                    self._expire_later()
            case DutyWritten(_, holder, fence):
                self.duty.set_holder(holder, fence)
            case DutyRemoved():
                self.duty.clear_holder()
            case EntryWritten(name, address, lease, revision):
                if name == self.cfg.node:
                    self.on_own_registration(StoredRegistration(lease, revision))
                self._entries.put(name, address)
                self._update_entries()
                self._greet(name)
            case EntryRemoved(name, revision):
                if name == self.cfg.node:
                    self.on_own_registration(StoredRegistration(0, revision))
                if self._entries.remove(name):
                    self._record_entries_removed([name])
                else:
                    self._expire_entries_later()
            case VersionWritten(service, software):
                self.origin_store.versions.put(ServiceVersion(service, software), now())
            case VersionRemoved(service, software):
                self.origin_store.versions.remove(ServiceVersion(service, software))
            case EvacuationRequested(data_centre):
                self._set_evacuated(self.membership.evacuated | {data_centre})
            case EvacuationWithdrawn(data_centre):
                self._set_evacuated(self.membership.evacuated - {data_centre})
        self.origin_store.record_change()

    def record_sync(self) -> None:
        """Record that the state is up to date with the store."""
        self._synced_at = now()
        # Runs once the changes that came with the answer are applied.
        self._expire_entries_later()

    def record_store_contact(self, is_reached: bool, lost_s: float = 0.0) -> None:
        """Keep endpoints whose registrations expired during a store outage for a grace period."""
        self._has_store_contact = is_reached
        if not is_reached:
            return
        if lost_s >= MIN_OUTAGE_S:
            self.membership.record_store_return(now())
            self._entries.record_store_return()
        else:
            self._entries.record_short_loss(lost_s)
        self._expire_entries_later()

    def record_restore(self) -> None:
        """Expect a snapshot that may be older than the state, and another some seconds later."""
        self._snapshots_to_settle = SNAPSHOTS_TO_SETTLE
        self.metrics.record_restore()
        for listener in self.restore_listeners:
            listener()

    async def _admit(self, req: CallerRequest, received: float) -> Job:
        table = self._table
        if table is None:
            text = "this entry has not loaded its configuration yet"
            raise refusal(ErrorCode.NO_CONFIGURATION, text, STARTUP_RETRY_AFTER_S)
        route = table.route(req.host, req.path)
        workspace = table.workspace(req, route)
        name = workspace.name if workspace is not None else ""
        fingerprint = fingerprint_of(name, req.target, req.body, req.prompt_parts)
        # Before the workspace's rate is charged; `Job.check_crashes` follows at each endpoint.
        if self._crashes_endpoints(req, route, name, fingerprint):
            raise crash_refusal()
        self.shutdown.check_arrival(received, give_up_at(req, route))
        if workspace is not None:
            await self._acquire_quota(req, workspace, route.target_s * QUOTA_WAIT_SHARE)
        origin = await self.resumption.origin_of(req, route)
        service = table.service(origin.service if origin else pick_service(route, self._rng))
        traits = _traits(req, route, service.name, name)
        version = table.config.version
        job = Job(
            req,
            route,
            service,
            name,
            version,
            fingerprint,
            traits,
            received,
            origin,
            rank=table.rank(route, workspace),
            is_scheduled=service.name in table.ranked_services,
        )
        job.check_shutdown(self.shutdown, self._expected_wait_s(job))
        job.log_decision(
            "admitted",
            route=route.name,
            service=service.name,
            workspace=name,
            rank=job.rank,
            state_age_s=round(now() - self._synced_at, 2),
            resumes=req.resumes,
            last_event_id=req.last_event_id,
        )
        return job

    def _crashes_endpoints(
        self, req: CallerRequest, route: Route, workspace: str, fingerprint: str
    ) -> bool:
        """Whether a request is refused at each service of its route, and no trial is due."""
        if self.crashes.is_refused(fingerprint):
            return True
        for target in route.targets:
            traits = _traits(req, route, target.service, workspace)
            if not self.parts.refuses(traits) or self.parts.is_trial_due(target.service, traits):
                return False
        return True

    def _expected_wait_s(self, job: Job) -> float:
        if not job.route.is_generation:
            return 0.0
        return self.slot_finder.queue(job.service.name).expected_wait_s()

    async def _acquire_quota(
        self, req: CallerRequest, workspace: Workspace, max_wait_s: float
    ) -> None:
        tokens = (
            req.generation_size.total if req.generation_size is not None else workspace.plain_tokens
        )
        wait_s = await self.quotas.take(workspace, tokens, max_wait_s)
        if wait_s is not None:
            bound = log.bind(request=req.log_id, workspace=workspace.name, tokens=tokens)
            bound.bind(entries=len(self._entries), wait_s=round(wait_s, 3)).info(
                "the workspace exceeds its rate limit"
            )
            text = f"workspace {workspace.name} exceeds its rate limit"
            raise refusal(ErrorCode.RATE_LIMITED, text, wait_s)

    def _forwarder(self, job: Job) -> CallForwarder | GenerationForwarder:
        if job.route.is_generation:
            return GenerationForwarder(self._tools, job)
        return CallForwarder(self._tools, job)

    def _refuse(
        self,
        inbound: Inbound,
        responder: Responder,
        log_id: str,
        refused: Refused,
        job: Job | None,
    ) -> None:
        rank = None if job is None else job.rank
        workspace = None if job is None else job.workspace
        log.bind(
            request=log_id,
            code=refused.code.value,
            reason=refused.text,
            retry_after_s=refused.retry_after_s,
            config=self.config_version,
            held_s=round(now() - inbound.arrived, 4),
            begun=responder.has_begun,
            rank=rank,
            workspace=workspace,
        ).info("refused")
        self.metrics.record_refusal(refused.code.value, rank, workspace)
        if responder.has_begun:
            responder.abort()
            return
        own = self._dialect.own_headers(log_id.encode("latin-1"))
        responder.answer(refused.status, refused.headers(own), refused.body(log_id))

    def _install(self, config: ServingConfig) -> None:
        if config.version <= self.config_version:
            return
        before = self.config_version
        self._table = RouteTable(config)
        self.origin_store.services = frozenset(
            target.service for r in config.routes if r.is_resumable for target in r.targets
        )
        self.front.limits = config.limits
        self.limits.cold.update_services(config.services)
        self.quotas.update_workspaces(
            {workspace.name: workspace for workspace in config.workspaces}
        )
        log.bind(
            config=config.version,
            before=before,
            routes=len(config.routes),
            workspaces=len(config.workspaces),
            ranked_services=sorted(self._table.ranked_services),
        ).info("activated a new configuration")

    def _update_entries(self) -> None:
        for handler in self.peer_handlers:
            handler.update_entries(self._entries.addresses)
        self.origin_store.update_entries(self._entries.addresses)

    def _record_entries_removed(self, names: list[str]) -> None:
        log.bind(removed=names, entries=len(self._entries)).info("entries removed")
        self._update_entries()

    def _expire_entries_later(self) -> None:
        """Drop entries that stay lapsed as soon as their grace time is over."""
        if self._entries.next_expiry is None or self._entries_expiry is not None:
            return
        delay_s = max(0.0, self._entries.next_expiry - now())
        loop = asyncio.get_running_loop()
        self._entries_expiry = loop.call_later(delay_s, self._expire_entries)

    def _expire_entries(self) -> None:
        self._entries_expiry = None
        expires_at = self._entries.next_expiry
        # Only an answer of the store after that time tells which of them have come back.
        if expires_at is None or self._synced_at < expires_at:
            return
        if removed := self._entries.expire():
            self._record_entries_removed(removed)

    def _greet(self, entry: str) -> None:
        """Tell an entry that has registered what it cannot know."""
        for handler in (
            self.budgets,
            self.limits,
            self.origins,
            self.crashes,
            self.parts,
            self.role_changes,
        ):
            handler.greet(entry)

    def _prefill_engines(self, service: str) -> list[Endpoint]:
        engines = self.membership.usable(service, EndpointRole.PREFILL)
        return self.balancer.healthy(self.limits.open_endpoints(engines), now())

    def _decode_engines(self, service: str) -> list[Endpoint]:
        engines = self.membership.usable(service, EndpointRole.DECODE)
        return self.balancer.healthy(self.limits.open_endpoints(engines), now())

    def _closed_prefill_engines(self, service: str) -> list[str]:
        """Return the names of the engines that this entry cannot use now."""
        usable = {engine.instance for engine in self._prefill_engines(service)}
        listed = self.membership.listed(service, EndpointRole.PREFILL)
        return [engine.instance for engine in listed if engine.instance not in usable]

    def _is_list_stale(self) -> bool:
        """Whether changes of the list of endpoints may not have arrived."""
        is_settled = self._has_store_contact and self._snapshots_to_settle == 0
        return not is_settled or now() - self._synced_at > STALE_LIST_S

    def _is_cold(self, endpoint: Endpoint) -> bool:
        return self.limits.cold.rate_per_s(endpoint.start) is not None

    def _record_cold(self, endpoint: Endpoint) -> None:
        was_cold = self._is_cold(endpoint)
        self.limits.cold.record_written(endpoint)
        if self._is_cold(endpoint) != was_cold:
            log.bind(
                endpoint=endpoint.instance,
                service=endpoint.service,
                is_cold=not was_cold,
                cold_s=endpoint.cold_s,
                per_s=self.limits.cold.rate_per_s(endpoint.start),
            ).info("an endpoint has turned cold or warm")

    def _set_evacuated(self, data_centres: Iterable[str]) -> None:
        before = self.membership.evacuated
        self.membership.set_evacuated(data_centres)
        after = self.membership.evacuated
        if after == before:
            return
        log.bind(
            added=sorted(after - before),
            withdrawn=sorted(before - after),
            evacuated=sorted(after),
            endpoints=self.membership.evacuated_endpoints,
        ).warning("the evacuated data centres have changed")

    def _expire_later(self) -> None:
        """Drop endpoints that stay missing as soon as their grace times are over."""
        expires_at = self.membership.next_expiry
        if expires_at is None or self._expiry is not None:
            return
        delay_s = max(0.0, expires_at - now())
        self._expiry = asyncio.get_running_loop().call_later(delay_s, self._expire_endpoints)

    def _expire_endpoints(self) -> None:
        self._expiry = None
        for removed in self.membership.expire(now()):
            self._forget_endpoint(removed)
        self._expire_later()

    def _forget_endpoint(self, instance: str) -> None:
        log.bind(endpoint=instance).info("endpoint removed")
        self.pool.forget(instance)
        self.balancer.forget(instance)
        self.prefill_estimator.forget(instance)
        self.start_checks.forget(instance)
        loop = asyncio.get_running_loop()
        loop.call_later(STATEMENTS_KEPT_S, self._forget_statements, instance)

    def _forget_statements(self, instance: str) -> None:
        """Drop what an endpoint has stated of itself, unless it is listed again."""
        if self.membership.get(instance) is None:
            self.limits.forget(instance)

    def _carry_statements(self, old: EndpointStart, new: EndpointStart) -> None:
        """Let what an endpoint has just said hold for its new start, which may have said it."""
        self.limits.carry_pause(old, new)
        if self.membership.carry_leaving(old, new, now()):
            loop = asyncio.get_running_loop()
            loop.call_later(CARRIED_LEAVING_S, self.membership.end_carried, new)

    def _log_endpoint(self, change: EndpointWritten) -> None:
        endpoint = change.endpoint
        known = self.membership.get(endpoint.instance)
        if known != endpoint:
            log.bind(
                endpoint=endpoint.instance,
                service=endpoint.service,
                role=endpoint.role.value,
                address=endpoint.address,
                leaving=endpoint.is_leaving,
                software=endpoint.software,
                is_new=known is None,
            ).info("endpoint added or changed")


def _traits(req: CallerRequest, route: Route, service: str, workspace: str) -> tuple[str, ...]:
    if not route.is_generation:
        return ()
    # The last part may be new each time that a caller sends the same request.
    fingerprint = fingerprint_of(workspace, req.target, req.body, req.prompt_parts[:-1])
    return traits_of(service, fingerprint, req.prompt_parts)
