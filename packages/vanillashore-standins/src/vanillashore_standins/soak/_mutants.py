"""Starts an entry that breaks one guarantee on purpose, to show that the soak detects it.

Usage: ``python _mutants.py NAME entry --settings FILE``.
"""

import sys
from collections.abc import Callable

import attrs

from vanillashore_adapter import HttpStore, main
from vanillashore_gateway import (
    CallerRequest,
    HttpConnection,
    LinkError,
    LinkFailure,
    _calls,
    _gateway,
    _generation,
    _http_client,
    _slot_finder,
)
from vanillashore_gateway._cold_rates import ColdRates
from vanillashore_gateway._crashes import CrashMonitor
from vanillashore_gateway._job import Job
from vanillashore_gateway._limit_requests import RequestLimits
from vanillashore_gateway._membership import Membership
from vanillashore_gateway._resumption import Resumption
from vanillashore_gateway._shutdown import Shutdown


def _resend_unclear_calls() -> None:
    """Resend a payment after its response was lost."""
    _calls.CallForwarder._may_send_again = lambda self, result: self._job.sends < 3


def _rerun_broken_streams() -> None:
    """Resume every stream at another endpoint, even one that must run only once."""
    _generation.GenerationForwarder._may_move = lambda self: self._stream.runs < 3


def _complete_broken_answers() -> None:
    """Treat the end of a connection as the end of the response."""

    def lose(self: HttpConnection, exc: Exception | None) -> None:
        self._is_open = False
        if self._answer is not None and self._answer.head.done():
            self._answer.is_complete = True
            _http_client._wake(self._answer)
        self._fail(LinkError(LinkFailure.BROKEN, "closed"))

    HttpConnection.connection_lost = lose


def _ignore_leaving() -> None:
    """Keep sending new work to endpoints that are leaving."""
    put = Membership.put
    Membership.put = lambda self, endpoint, now: put(
        self, attrs.evolve(endpoint, is_leaving=False), now
    )


def _keep_old_keys() -> None:
    """Keep the first configuration and ignore all later ones."""
    install = _gateway.Gateway._install

    def install_first(self: _gateway.Gateway, config: object) -> None:
        if self.config_version == 0:
            install(self, config)

    _gateway.Gateway._install = install_first


def _refuse_after_run() -> None:
    """Refuse a request as not run although only its response was lost."""
    _calls.CallForwarder._give_up = lambda self, result: (_ for _ in ()).throw(
        _calls.refusal(_calls.ErrorCode.ENDPOINTS_FULL, "falsely refused as not run")
    )


def _pass_on_failures() -> None:
    """Pass on an endpoint's failure with any status, also after a run."""
    Job.may_pass_on = lambda self, head: True


def _ignore_request_limits() -> None:
    """Send to endpoints as if they named no limit."""

    async def permit(self: RequestLimits, endpoint: object, max_wait_s: float = 0.0) -> None:
        return None

    RequestLimits.acquire = permit


def _keep_limits_for_each_entry() -> None:
    """Let each entry use the whole limit of an endpoint."""

    async def permit(self: RequestLimits, start: object, max_wait_s: float) -> object:
        return self._permit(start, max_wait_s)

    RequestLimits._request_permit = permit
    RequestLimits._homes = lambda self, start: [self._node]


def _ignore_versions() -> None:
    """Let streams go on at engines of any version."""
    _slot_finder.SlotFinder._of_version = lambda self, request, endpoints: endpoints


def _forget_origins() -> None:
    """Guess the version of each stream that is taken up again."""

    async def guess(self: Resumption, req: object, route: object) -> None:
        return None

    Resumption.origin_of = guess


def _refuse_resumption() -> None:
    """Refuse each stream that is taken up again."""

    async def refuse(self: Resumption, req: CallerRequest, route: object) -> None:
        if req.last_event_id is not None:
            raise _calls.refusal(_calls.ErrorCode.ORIGIN_UNKNOWN, "refused")

    Resumption.origin_of = refuse


def _ignore_eras() -> None:
    """Go on after a restore of the store as if nothing had happened."""
    HttpStore._check_era = lambda self, head: None


def _forget_eras_at_reloads() -> None:
    """Take a reload of the settings for a restored store."""

    def set_address(self: HttpStore, address: tuple[str, int]) -> None:
        self._era = None

    HttpStore.set_address = set_address


def _accept_while_stopping() -> None:
    """Begin generations until the end of a process that stops."""
    Shutdown.check_generation = lambda self, *args, **kwargs: None


def _ignore_leaving_in_answers() -> None:
    """Believe only the list of endpoints that one is leaving."""
    Membership.record_leaving = lambda self, start: False


def _ignore_pauses() -> None:
    """Go on sending to endpoints that want nothing for a time."""
    RequestLimits.record_pause = lambda self, *args, **kwargs: None


def _ignore_crashes() -> None:
    """Never refuse a request, whatever crashes endpoints."""
    CrashMonitor.is_refused = lambda self, *args, **kwargs: False


def _ignore_evacuations() -> None:
    """Go on sending to evacuated data centres."""
    Membership.is_evacuated = lambda self, endpoint: False


def _ignore_cold_rates() -> None:
    """Send to cold endpoints as to warm ones."""
    ColdRates.rate_per_s = lambda self, start: None


def _reuse_ids() -> None:
    """Use a connection again for the same request and for calls."""
    HttpConnection.can_carry = lambda self, exchange_id: True


def _ask_for_keys_while_there_are_any() -> None:
    """Serve everybody once the last key is gone."""
    workspace = _gateway.RouteTable.workspace

    def check(self: _gateway.RouteTable, req: CallerRequest, route: object) -> object:
        return workspace(self, req, route) if self._by_key else None

    _gateway.RouteTable.workspace = check


MUTANTS: dict[str, Callable[[], None]] = {
    "resend-unclear-calls": _resend_unclear_calls,
    "rerun-broken-streams": _rerun_broken_streams,
    "complete-broken-answers": _complete_broken_answers,
    "ignore-leaving": _ignore_leaving,
    "keep-old-keys": _keep_old_keys,
    "refuse-after-run": _refuse_after_run,
    "pass-on-failures": _pass_on_failures,
    "ignore-request-limits": _ignore_request_limits,
    "keep-limits-for-each-entry": _keep_limits_for_each_entry,
    "ignore-versions": _ignore_versions,
    "forget-origins": _forget_origins,
    "refuse-resumption": _refuse_resumption,
    "ignore-eras": _ignore_eras,
    "forget-eras-at-reloads": _forget_eras_at_reloads,
    "accept-while-stopping": _accept_while_stopping,
    "ignore-crashes": _ignore_crashes,
    "ignore-leaving-in-answers": _ignore_leaving_in_answers,
    "ignore-pauses": _ignore_pauses,
    "ignore-evacuations": _ignore_evacuations,
    "ignore-cold-rates": _ignore_cold_rates,
    "reuse-ids": _reuse_ids,
    "open-without-keys": _ask_for_keys_while_there_are_any,
}

if __name__ == "__main__":
    MUTANTS[sys.argv[1]]()
    sys.exit(main(sys.argv[2:]))
