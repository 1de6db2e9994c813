"""Calls of the gateway itself to engines: reservations and orders."""

import asyncio

import attrs
from loguru import logger as log

from vanillashore_gateway._dialect import Dialect
from vanillashore_gateway._domain import Endpoint, Hold, OrderAnswer, RoleOrder
from vanillashore_gateway._http_client import NO_ID, LinkError
from vanillashore_gateway._pool import ConnectionPool
from vanillashore_gateway._statements import EndpointStatements, WithheldError

CALL_TIMEOUT_S = 0.3  # Engines answer such a call without a slot, within some milliseconds.
MAX_ANSWER_BYTES = 262_144  # A report names each run of its engine.
ORDER_TIMEOUT_S = 2.0  # After this an order counts as lost, but may still be carried out.


class EngineUnreachableError(Exception):
    """Raised when an engine does not answer a call; ``is_withheld`` if it was not to get one."""

    def __init__(self, text: str, is_withheld: bool = False) -> None:
        super().__init__(text)
        self.is_withheld = is_withheld


@attrs.frozen
class _Answer:
    """An answer to a call; it ``may_be_copy`` if the same one has come over its connection."""

    status: int
    body: bytes
    may_be_copy: bool = False


class EngineCalls:
    """Makes calls over the pool's connections.

    Answers to calls bear no id, so a late copy of one can be taken for the answer to another. The
    frequent calls allow that where it does no harm: a refused reservation is asked for again, and
    a granted one is recognised by its name. For the others the answer is certain.
    """

    def __init__(
        self, dialect: Dialect, pool: ConnectionPool, statements: EndpointStatements
    ) -> None:
        self._dialect = dialect
        self._pool = pool
        self._statements = statements

    async def request_hold(
        self, endpoint: Endpoint, tokens: int, ttl_s: float, now: float
    ) -> Hold | None:
        """Reserve a slot and memory for ``tokens``; ``None`` if there is no room.

        Raises EngineUnreachableError.
        """
        data = self._dialect.encode_hold(endpoint, tokens, ttl_s)
        answer = await self._call(endpoint, data, CALL_TIMEOUT_S, must_be_certain=False)
        if answer.may_be_copy:
            log.bind(endpoint=endpoint.instance).info("asked again, as a reservation came twice")
            answer = await self._call(endpoint, data, CALL_TIMEOUT_S)
        try:
            name = self._dialect.decode_hold(answer.status, answer.body)
        except ValueError as exc:
            raise EngineUnreachableError(str(exc)) from exc
        return None if name is None else Hold(endpoint, name, now)

    async def release_hold(self, hold: Hold) -> None:
        """Release a reservation; one that cannot be released expires by itself."""
        data = self._dialect.encode_hold_drop(hold.endpoint, hold.name)
        try:
            await self._call(hold.endpoint, data, CALL_TIMEOUT_S, must_be_certain=False)
        except EngineUnreachableError as exc:
            log.bind(endpoint=hold.endpoint.instance, reason=str(exc)).info(
                "could not release a reservation; it will expire"
            )

    async def order_role(self, order: RoleOrder) -> OrderAnswer:
        """Order a role change; raise EngineUnreachableError if the outcome is unknown."""
        data = self._dialect.encode_role_order(order)
        answer = await self._call(order.endpoint, data, ORDER_TIMEOUT_S)
        return self._dialect.decode_order_answer(answer.status)

    async def orders_taken(self, endpoint: Endpoint) -> int:
        """Return how many orders an engine has accepted; raise EngineUnreachableError."""
        data = self._dialect.encode_report_request(endpoint)
        answer = await self._call(endpoint, data, CALL_TIMEOUT_S)
        try:
            return self._dialect.decode_orders_taken(answer.body)
        except ValueError as exc:
            raise EngineUnreachableError(str(exc)) from exc

    async def started_ms(self, endpoint: Endpoint) -> int | None:
        """Return when an engine started by its own clock, ``None`` if it does not state it.

        Raises EngineUnreachableError.
        """
        data = self._dialect.encode_report_request(endpoint)
        answer = await self._call(endpoint, data, CALL_TIMEOUT_S)
        return self._dialect.decode_started_ms(answer.body)

    async def _call(
        self, endpoint: Endpoint, data: bytes, timeout_s: float, must_be_certain: bool = True
    ) -> _Answer:
        conn = None
        try:
            async with asyncio.timeout(timeout_s):
                self._statements.check(endpoint)
                conn = await self._pool.acquire_connection(
                    endpoint, NO_ID, must_be_certain=must_be_certain
                )
                self._statements.check(endpoint)
                conn.send(data, NO_ID)
                head = await conn.head()
                self._statements.record_call(endpoint, self._dialect.decode_answer(head))
                body = await conn.read_to_end(MAX_ANSWER_BYTES)
            may_be_copy = body in conn.call_answers
            if may_be_copy:
                return _Answer(head.status, body, may_be_copy)
            if head.status == 200 and body:
                conn.call_answers.add(body)
            self._pool.release_connection(endpoint, conn)
            conn = None
            return _Answer(head.status, body)
        except TimeoutError as exc:
            raise EngineUnreachableError(f"no answer within {timeout_s:g} s") from exc
        except LinkError as exc:
            raise EngineUnreachableError(str(exc), isinstance(exc, WithheldError)) from exc
        finally:
            if conn is not None:
                conn.abort()
