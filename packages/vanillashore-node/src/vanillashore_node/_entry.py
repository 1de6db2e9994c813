"""The entry process, which serves callers."""

import random

from aiohttp import web

from vanillashore_node._call_dispatch import CallDispatch
from vanillashore_node._callers import API_PATHS, CallerGuard
from vanillashore_node._calls import Calls
from vanillashore_node._claim_updater import ClaimUpdater
from vanillashore_node._completions import Completions
from vanillashore_node._config_revision import RevisionAwareSidecarClient
from vanillashore_node._core import NodeCore
from vanillashore_node._duplicates import DuplicateGate
from vanillashore_node._generation import Generation
from vanillashore_node._generation_request import GenerationRequest
from vanillashore_node._holds import HoldRegistry
from vanillashore_node._http_helpers import json_response, message_response, require_fleet_secret
from vanillashore_node._placer import Placer
from vanillashore_node._shares import Shares
from vanillashore_placement import EndpointLoads, EndpointSelector
from vanillashore_resilience import Breaker, RetryBudget
from vanillashore_schema import NodeSettings
from vanillashore_store import ClaimStore
from vanillashore_wire import unstructure


class EntryNode:
    """One entry process.

    Example::

        node = EntryNode(cfg)
        await node.start()
        await node.core.shut_down()
    """

    def __init__(self, cfg: NodeSettings) -> None:
        self.core = NodeCore(cfg)
        self._cfg = cfg

    async def start(self) -> None:
        """Listen and serve."""
        core = self.core
        await core.open()
        rng = random.Random()
        loads = EndpointLoads()
        breaker = Breaker()
        holds = HoldRegistry(core, loads)
        core.tasks.start(holds.run(), "hold renewals")
        self._budget = RetryBudget()
        self._duplicates = DuplicateGate()
        self._sidecars = RevisionAwareSidecarClient(core)
        self._placer = Placer(core, EndpointSelector(loads, rng, breaker), breaker, loads, holds)
        self.shares = Shares(core, rng)
        admission = self.shares.admission
        completions = Completions(core, admission, self._new_generation)
        updater = ClaimUpdater(ClaimStore(core.store))
        dispatch = CallDispatch(core, self._sidecars, updater, self._budget, self._placer)
        calls = Calls(core, admission, dispatch)
        app = web.Application(
            client_max_size=self._cfg.limits.body_bytes, middlewares=[CallerGuard(core).guard]
        )
        app.router.add_post("/v1/completions", completions.completions)
        app.router.add_post("/v1/chat/completions", completions.chat_completions)
        app.router.add_get("/v1/models", completions.models)
        for path in API_PATHS:
            app.router.add_route("*", path, completions.not_allowed)
        app.router.add_get("/internal/status", self._status)
        app.router.add_get("/internal/burn", self._burn)
        await core.start(app, calls.call)

    def _new_generation(self, req: GenerationRequest) -> Generation:
        return Generation(
            self.core, self._placer, self._sidecars, self._budget, self._duplicates, req
        )

    async def _burn(self, request: web.Request) -> web.Response:
        require_fleet_secret(request, self._cfg.node.fleet_secret)
        return message_response(self.core.burn.page())

    async def _status(self, request: web.Request) -> web.Response:
        require_fleet_secret(request, self._cfg.node.fleet_secret)
        return json_response(
            {
                "node": self._cfg.node.name,
                "role": self._cfg.node.role.value,
                "data_centre": self._cfg.node.data_centre,
                "revision": self.core.directory.revision,
                "relay": self.core.config_follower.is_relay,
                "active": self.core.state.active,
                "links": unstructure(self.core.hub.stats),
                "shares": unstructure(self.shares.status()),
            }
        )
