"""Sends one request to an endpoint, from choosing the connection to the end of the answer."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs
from loguru import logger as log

from vanillashore_gateway._balancing import Balancer
from vanillashore_gateway._dialect import Dialect, OutboundRequest
from vanillashore_gateway._domain import AnswerHead, Endpoint
from vanillashore_gateway._http_client import HttpConnection, LinkError, LinkFailure
from vanillashore_gateway._pool import ConnectionPool
from vanillashore_gateway._statements import EndpointStatements

WAKE_S = 0.02  # For the event loop to read what waits in the sockets.
UNUSED_BODY_TIMEOUT_S = 0.1
MAX_HELD_BYTES = 65_536  # Of a body that is held until it is complete.


@attrs.define(eq=False)
class Sending:
    """A request that was sent, and its answer in progress."""

    endpoint: Endpoint
    head: AnswerHead
    _conn: HttpConnection

    @property
    def is_framed(self) -> bool:
        """Whether the answer states where it ends."""
        return not self._conn.ends_with_answer

    async def read(self, timeout_s: float | None = None) -> bytes:
        """Return the next bytes of the body, or ``b""`` at its end.

        Raises LinkError if the answer is cut off, and TimeoutError after ``timeout_s``.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                return await self._conn.read()
        # A process that was frozen gets what has arrived and the time-out at the same moment.
        async with asyncio.timeout(WAKE_S):
            return await self._conn.read()

    async def read_to_end(self) -> bytes:
        """Return a short body; raise LinkError if it is cut off or exceeds `MAX_HELD_BYTES`."""
        return await self._conn.read_to_end(MAX_HELD_BYTES)

    async def skip_body(self) -> None:
        """Read a body that is not used, so that the connection can be; it may break off."""
        with contextlib.suppress(LinkError):
            await self.drain_body()

    async def drain_body(self) -> None:
        """Read the beginning of a body that is not used; raise LinkError if it is cut off."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(UNUSED_BODY_TIMEOUT_S):
                await self._conn.read_start(MAX_HELD_BYTES)

    async def read_start(self) -> tuple[bytes, bool]:
        """Return the body and true, or its beginning and false if it exceeds `MAX_HELD_BYTES`."""
        return await self._conn.read_start(MAX_HELD_BYTES)


class Sender:
    """Sends requests to endpoints, and reports load and failures to the balancer."""

    def __init__(
        self,
        dialect: Dialect,
        pool: ConnectionPool,
        balancer: Balancer,
        statements: EndpointStatements,
        clock: Callable[[], float],
        is_patient: bool = False,
    ) -> None:
        """Prepare to send; with ``is_patient``, an endpoint may read slowly until the time-out."""
        self._dialect = dialect
        self._pool = pool
        self._balancer = balancer
        self._statements = statements
        self._clock = clock
        self._is_patient = is_patient

    @asynccontextmanager
    async def send(
        self,
        outbound: OutboundRequest,
        share: float,
        head_timeout_s: float,
        must_be_fresh: bool = False,
    ) -> AsyncIterator[Sending]:
        """Send a request and wait for the head of its answer.

        The connection is reused if the answer was read to its end, and closed otherwise, which
        makes the endpoint cancel the request. Raises LinkError, WithheldError if the endpoint is
        not to get a request now, and TimeoutError if no head arrives in time.
        """
        endpoint = outbound.endpoint
        conn: HttpConnection | None = None
        known_limit = self._statements.known_limit(endpoint)
        self._balancer.begin(endpoint, share)
        try:
            self._statements.check(endpoint)
            conn = await self._connect(endpoint, outbound.req.request_id, must_be_fresh)
            self._statements.check(endpoint)
            conn.send(
                self._dialect.encode_outbound(outbound),
                outbound.req.request_id,
                head_timeout_s if self._is_patient else None,
            )
            async with asyncio.timeout(head_timeout_s):
                head = self._dialect.decode_answer(await conn.head())
            self._statements.record_answer(endpoint, head, known_limit, outbound.req.log_id)
            if head.was_not_run:
                _log_not_run(outbound, head, conn)
            if 200 <= head.status < 300 and not head.is_sealed and not outbound.is_prefill:
                raise LinkError(
                    LinkFailure.GARBLED, "the successful answer does not carry an endpoint's seal"
                )
            self._balancer.record_load(endpoint, head.load, self._clock())
            yield Sending(endpoint, head, conn)
            if conn.is_reusable:
                self._pool.release_connection(endpoint, conn)
                conn = None
        finally:
            self._balancer.end(endpoint, share)
            if conn is not None:
                conn.abort()

    async def _connect(
        self, endpoint: Endpoint, request_id: bytes, must_be_fresh: bool
    ) -> HttpConnection:
        try:
            return await self._pool.acquire_connection(endpoint, request_id, must_be_fresh)
        except LinkError as exc:
            if exc.failure is LinkFailure.NOT_SENT:
                self._balancer.record_unreachable(endpoint, self._clock())
            raise


def _log_not_run(outbound: OutboundRequest, head: AnswerHead, conn: HttpConnection) -> None:
    log.bind(request=outbound.req.log_id, endpoint=outbound.endpoint.instance).bind(
        status=head.status, link=conn.number, use=conn.uses
    ).info("an endpoint states that it has not run the request")
