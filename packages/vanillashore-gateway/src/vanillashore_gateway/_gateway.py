"""The forwarding entry: admits callers' requests and hands them to their forwarders."""

import asyncio
import random

import attrs
from loguru import logger as log

from vanillashore_gateway._balancing import Balancer
from vanillashore_gateway._calls import CallForwarder
from vanillashore_gateway._clock import now
from vanillashore_gateway._crashes import CrashMonitor, fingerprint_of
from vanillashore_gateway._dialect import Dialect
from vanillashore_gateway._domain import (
    CallerRequest,
    Endpoint,
    EndpointRole,
    ServingConfig,
    Workspace,
)
from vanillashore_gateway._duty import DutyState
from vanillashore_gateway._engine_calls import EngineCalls
from vanillashore_gateway._errors import ErrorCode, RefusalError, Refused, refusal
from vanillashore_gateway._front import FrontSettings, Inbound, Responder
from vanillashore_gateway._generation import GenerationForwarder
from vanillashore_gateway._job import Job, RetryBudgets, Tools
from vanillashore_gateway._membership import Membership
from vanillashore_gateway._metrics import GatewayMetrics
from vanillashore_gateway._platform_store import (
    Change,
    ConfigWritten,
    DutyRemoved,
    DutyWritten,
    EndpointRemoved,
    EndpointWritten,
    EntryRemoved,
    EntryWritten,
    Snapshot,
)
from vanillashore_gateway._pool import ConnectionPool
from vanillashore_gateway._prefill_estimator import PrefillEstimator
from vanillashore_gateway._prefill_scheduler import PrefillScheduler
from vanillashore_gateway._quota import QuotaSettings
from vanillashore_gateway._quota_requests import Quotas
from vanillashore_gateway._routing import RouteTable, pick_service
from vanillashore_gateway._sending import Sender
from vanillashore_gateway._slot_finder import SlotFinder

GRACE_CHECK_S = 2.0  # A little more than the grace time of the list of endpoints.
START_RETRY_S = 0.5  # Until a process that has just started knows its configuration.
BUDGET_SHARE = 0.8  # Of the platform's bounds; the rest covers entries that restart.
RATE_PATIENCE_SHARE = 0.3  # Of the target: as long a request waits for tokens of its rate.
USUAL_ANSWERS = 1.3  # In usual answers: most take no longer, and the rest may still finish.
STOPPING_RETRY_S = 0.1  # Another try reaches another entry.
UNKNOWN_ROUTE = "none"


@attrs.frozen
class GatewaySettings:
    """Settings of one entry; bounds are those of the whole fleet.

    A stopping process still gets new connections for up to ``rotation_s``: the balancer asks once a
    second and needs two misses. It has ``grace_s`` before it is killed. A watch at the store waits
    for ``watch_s``, which bounds how long a connection that has gone silent stays unnoticed.
    """

    node: str
    data_centre: str
    front: tuple[str, int]
    ready: tuple[str, int]
    metrics: tuple[str, int]
    peers: tuple[str, int]
    grace_s: float = 8.0
    rotation_s: float = 3.0
    order_turn_s: float = 3.0
    watch_s: float = 2.0
    expected_entries: int = 1
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    quota: QuotaSettings = attrs.field(factory=QuotaSettings)


class Gateway:
    """State and request handling of one entry."""

    def __init__(self, cfg: GatewaySettings, dialect: Dialect, rng: random.Random) -> None:
        self.cfg = cfg
        self.front = FrontSettings(self.handle, now)
        self.membership = Membership()
        self.pool = ConnectionPool()
        self.balancer = Balancer(cfg.data_centre, rng)
        self.calls = EngineCalls(dialect, self.pool)
        self.duty = DutyState()
        self.stops_at: float | None = None
        self.out_of_rotation_at = 0.0
        self.active = 0
        self._rng = rng
        self._dialect = dialect
        self._table: RouteTable | None = None
        self.quotas = Quotas(cfg.node, cfg.quota, now)
        self.crashes = CrashMonitor(cfg.node, now)
        self._entries: dict[str, tuple[str, int]] = {}
        self._has_list = False
        self._read_at = now()
        self._budgets = RetryBudgets(cfg.retry_ratio * BUDGET_SHARE, cfg.retry_slack * BUDGET_SHARE)
        sender = Sender(dialect, self.pool, self.balancer, now)
        self.prefill_estimator = PrefillEstimator(rng)
        self.prefills = PrefillScheduler(
            cfg.node, self.prefill_estimator, self._prefill_engines, now
        )
        self.slot_finder = SlotFinder(
            self.calls, self.balancer, self.prefill_estimator, self.membership, now, rng
        )
        self._tools = Tools(
            dialect,
            sender,
            self.slot_finder,
            self.balancer,
            self.prefill_estimator,
            self.prefills,
            self.crashes,
            self.membership,
            self._budgets,
            now,
            rng,
        )
        self._count_entries()
        gauges = {
            "vanillashore.active_requests": lambda: self.active,
            "vanillashore.endpoints": lambda: len(self.membership),
            "vanillashore.config_version": lambda: self.config_version,
        }
        self.metrics = GatewayMetrics(cfg.node, cfg.data_centre, gauges)

    @property
    def config_version(self) -> int:
        """Version of the configuration in force here; 0 is none yet."""
        return self._table.config.version if self._table else 0

    @property
    def is_ready(self) -> bool:
        """Whether the entry takes new callers."""
        return self._table is not None and self._has_list and self.stops_at is None

    async def handle(self, inbound: Inbound, responder: Responder) -> None:
        """Answer one request of a caller."""
        self.active += 1
        status = 0
        route_name = UNKNOWN_ROUTE
        log_id = ""
        try:
            try:
                req = self._dialect.decode_request(inbound.head, inbound.body, inbound.arrived)
                log_id = req.log_id
                job = await self._admit(req)
                route_name = job.route.name
                await self._forwarder(job).run(responder)
                status = 200
            except RefusalError as exc:
                status = exc.refused.status
                self._refuse(inbound, responder, log_id, exc.refused)
        except BaseException:
            log.bind(request=log_id, route=route_name, begun=responder.has_begun).info(
                "the caller left before its answer was whole"
            )
            raise
        finally:
            self.active -= 1
            self.metrics.note_request(route_name, status, now() - inbound.arrived)

    def take_snapshot(self, snapshot: Snapshot) -> None:
        """Take everything that the store holds."""
        endpoints = [c.endpoint for c in snapshot.items if isinstance(c, EndpointWritten)]
        for gone in self.membership.replace_all(endpoints, now()):
            self._forget_endpoint(gone)
        written = [c for c in snapshot.items if isinstance(c, EntryWritten)]
        self._entries = {c.name: c.address for c in written}
        self._has_list = True
        self.duty.clear_holder()
        for change in snapshot.items:
            if isinstance(change, ConfigWritten | DutyWritten):
                self.take_change(change)
        self._count_entries()
        log.bind(
            revision=snapshot.revision, endpoints=len(endpoints), entries=len(self._entries)
        ).info("the platform's state was read")

    def take_change(self, change: Change) -> None:
        """Take one change of what the store holds."""
        match change:
            case ConfigWritten(config):
                self._install(config)
            case EndpointWritten(endpoint):
                self._log_endpoint(change)
                self.membership.put(endpoint)
                if endpoint.is_leaving:
                    self.pool.forget(endpoint.instance)
            case EndpointRemoved(instance):
                if self.membership.remove(instance, now()):
                    self._forget_endpoint(instance)
            case DutyWritten(_, holder, fence):
                self.duty.set_holder(holder, fence)
            case DutyRemoved():
                self.duty.clear_holder()
            case EntryWritten(name, address):
                self._entries[name] = address
                self._count_entries()
            case EntryRemoved(name):
                self._entries.pop(name, None)
                self._count_entries()

    def note_read(self) -> None:
        """Note that the store has just told all that is new."""
        self._read_at = now()

    def note_store(self, is_reached: bool) -> None:
        """Keep endpoints whose entries lapsed while the store was away for a little longer."""
        if is_reached:
            self.membership.record_store_return(now())
            asyncio.get_running_loop().call_later(GRACE_CHECK_S, self._expire_endpoints)

    async def _admit(self, req: CallerRequest) -> Job:
        table = self._table
        if table is None:
            text = "this entry has no configuration yet"
            raise refusal(ErrorCode.NO_CONFIGURATION, text, START_RETRY_S)
        route = table.route(req.host, req.path)
        workspace = table.workspace(req, route)
        name = workspace.name if workspace is not None else ""
        fingerprint = fingerprint_of(name, req.target, req.body)
        if self.crashes.is_refused(fingerprint):
            text = "endpoints crash when they run this request"
            raise refusal(ErrorCode.CRASHES_ENDPOINTS, text)
        if workspace is not None:
            await self._take_quota(req, workspace, route.target_s * RATE_PATIENCE_SHARE)
        service = table.service(pick_service(route, self._rng))
        job = Job(req, route, service, name, table.config.version, fingerprint)
        self._check_stop(job)
        job.log_decision(
            "admitted",
            route=route.name,
            service=service.name,
            workspace=name,
            state_age_s=round(now() - self._read_at, 2),
        )
        return job

    def _check_stop(self, job: Job) -> None:
        """Refuse what would not end before a stopping process does.

        Callers still come while no other entry is in rotation, as in a quick rolling restart. Calls
        that come in the first seconds have all of the grace time, far more than they usually take.
        """
        if self.stops_at is None:
            return
        ends_at = job.give_up_at
        if job.route.is_generation:
            usual_s = self.slot_finder.queue(job.service.name).answer_s * USUAL_ANSWERS
            ends_at = min(ends_at, now() + usual_s)
        elif now() < self.out_of_rotation_at:
            return
        if ends_at > self.stops_at:
            raise refusal(ErrorCode.STOPPING, "this entry stops", STOPPING_RETRY_S)

    async def _take_quota(
        self, req: CallerRequest, workspace: Workspace, patience_s: float
    ) -> None:
        tokens = req.prompt.total if req.prompt is not None else workspace.plain_tokens
        wait_s = await self.quotas.take(workspace, tokens, patience_s)
        if wait_s is not None:
            bound = log.bind(request=req.log_id, workspace=workspace.name, tokens=tokens)
            bound.bind(entries=len(self._entries), wait_s=round(wait_s, 3)).info("over its rate")
            text = f"workspace {workspace.name} is over its rate"
            raise refusal(ErrorCode.RATE_LIMITED, text, wait_s)

    def _forwarder(self, job: Job) -> CallForwarder | GenerationForwarder:
        if job.route.is_generation:
            return GenerationForwarder(self._tools, job)
        return CallForwarder(self._tools, job)

    def _refuse(
        self, inbound: Inbound, responder: Responder, log_id: str, refused: Refused
    ) -> None:
        log.bind(
            request=log_id,
            code=refused.code.value,
            reason=refused.text,
            retry_after_s=refused.retry_after_s,
            config=self.config_version,
            held_s=round(now() - inbound.arrived, 4),
            begun=responder.has_begun,
        ).info("refused")
        self.metrics.note_refusal(refused.code.value)
        if responder.has_begun:
            responder.break_off()
            return
        own = self._dialect.own_headers(log_id.encode("latin-1"))
        responder.answer(refused.status, refused.headers(own), refused.body(log_id))

    def _install(self, config: ServingConfig) -> None:
        if config.version <= self.config_version:
            return
        before = self.config_version
        self._table = RouteTable(config)
        self.front.limits = config.limits
        self.quotas.update_workspaces(
            {workspace.name: workspace for workspace in config.workspaces}
        )
        log.bind(
            config=config.version,
            before=before,
            routes=len(config.routes),
            workspaces=len(config.workspaces),
        ).info("a configuration is in force")

    def _count_entries(self) -> None:
        count = max(self.cfg.expected_entries, len(self._entries))
        self.quotas.update_entries(self._entries)
        self.crashes.update_entries(self._entries)
        self.prefills.update_entries(self._entries)
        self._budgets.resize(self.cfg.retry_slack * BUDGET_SHARE / count)

    def _prefill_engines(self, service: str) -> list[Endpoint]:
        engines = self.membership.usable(service, EndpointRole.PREFILL)
        return self.balancer.healthy(engines, now())

    def _expire_endpoints(self) -> None:
        for gone in self.membership.expire(now()):
            self._forget_endpoint(gone)

    def _forget_endpoint(self, instance: str) -> None:
        log.bind(endpoint=instance).info("an endpoint is gone")
        self.pool.forget(instance)
        self.balancer.forget(instance)
        self.prefill_estimator.forget(instance)

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
                is_new=known is None,
            ).info("an endpoint has changed")
