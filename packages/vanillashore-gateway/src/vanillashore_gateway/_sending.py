"""One sending of a request to an endpoint, from a connection to the end of the answer."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs

from vanillashore_gateway._balancing import Balancer
from vanillashore_gateway._dialect import Dialect, SendOrder
from vanillashore_gateway._domain import AnswerHead, Endpoint
from vanillashore_gateway._http_client import HttpConnection, LinkError, LinkFailure
from vanillashore_gateway._pool import ConnectionPool


@attrs.define(eq=False)
class Sending:
    """A request that was sent, and the answer under way."""

    endpoint: Endpoint
    head: AnswerHead
    _conn: HttpConnection

    async def read(self, timeout_s: float | None = None) -> bytes:
        """Return the next bytes of the body, nothing at its end.

        Raises LinkError if the answer breaks off, and TimeoutError after ``timeout_s``.
        """
        async with asyncio.timeout(timeout_s):
            return await self._conn.read()

    async def read_whole(self) -> bytes:
        """Return the whole body; raise LinkError if it breaks off."""
        return await self._conn.read_whole()


class Sender:
    """Sends requests to endpoints, and notes what becomes of them."""

    def __init__(
        self,
        dialect: Dialect,
        pool: ConnectionPool,
        balancer: Balancer,
        clock: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._pool = pool
        self._balancer = balancer
        self._clock = clock

    @asynccontextmanager
    async def send(
        self, order: SendOrder, share: float, head_timeout_s: float, must_be_fresh: bool = False
    ) -> AsyncIterator[Sending]:
        """Send a request and wait for the head of its answer.

        The connection is kept if the answer was read whole, and closed otherwise, which makes the
        endpoint drop the request. Raises LinkError, and TimeoutError if no head comes in time.
        """
        endpoint = order.endpoint
        conn: HttpConnection | None = None
        self._balancer.begin(endpoint, share)
        try:
            conn = await self._connect(endpoint, must_be_fresh)
            request_id = order.req.request_id
            conn.send(
                self._dialect.encode_order(order),
                lambda head: self._dialect.answers_request(head, request_id),
            )
            async with asyncio.timeout(head_timeout_s):
                head = self._dialect.decode_answer(await conn.head())
            if 200 <= head.status < 300 and not head.is_sealed and not order.is_prefill:
                raise LinkError(LinkFailure.GARBLED, "a success that no endpoint has sealed")
            self._balancer.record_load(endpoint, head.load, self._clock())
            yield Sending(endpoint, head, conn)
            if conn.may_keep:
                self._pool.release_connection(endpoint, conn)
                conn = None
        finally:
            self._balancer.end(endpoint, share)
            if conn is not None:
                conn.abort()

    async def _connect(self, endpoint: Endpoint, must_be_fresh: bool) -> HttpConnection:
        try:
            return await self._pool.acquire_connection(endpoint, must_be_fresh)
        except LinkError as exc:
            if exc.failure is LinkFailure.NOT_SENT:
                self._balancer.record_unreachable(endpoint, self._clock())
            raise
