"""Links between processes: a long-lived WebSocket per pair in use, carrying JSON batches."""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import attrs
from aiohttp import web
from loguru import logger as log

from vanillashore_node._tasks import TaskGroup
from vanillashore_schema import NodeSettings
from vanillashore_wire import (
    Batch,
    Envelope,
    ErrorCode,
    RefusalError,
    Refused,
    WasExecuted,
    decode_batch,
    encode_batch,
)

LINK_PATH = "/internal/link"
FLEET_HEADER = "X-Fleet-Secret"
MAX_FRAME_BYTES = 4_194_304
CLOSE_TIMEOUT_S = 0.5

Handler = Callable[[Any, str], Awaitable[Any]]


@attrs.define
class LinkStats:
    """Traffic of all links of a process; bytes are counted before WebSocket framing."""

    bytes_sent: int = 0
    bytes_received: int = 0
    frames_sent: int = 0
    messages_sent: int = 0
    messages_received: int = 0


@attrs.define
class _Peer:
    """The process at the other end of a link, which states its name in its first frame only."""

    name: str = ""


class _Outbox:
    """Owns the sending side of one WebSocket.

    A queued message is sent at once, unless less than ``coalesce_s`` has passed since the last
    frame; then it is coalesced with the messages that are queued in the meantime.
    """

    def __init__(self, hub: "LinkHub", socket: Any) -> None:
        self._hub = hub
        self._socket = socket
        self._queue: asyncio.Queue[Envelope] = asyncio.Queue()
        self._name = hub.name

    def put(self, envelope: Envelope) -> None:
        """Queue a message."""
        self._queue.put_nowait(envelope)

    async def run(self) -> None:
        """Send until cancelled or the socket is closed."""
        next_frame_at = 0.0
        while True:
            envelopes = [await self._queue.get()]
            pause_s = next_frame_at - time.monotonic()
            if pause_s > 0:
                await asyncio.sleep(pause_s)
            while not self._queue.empty():
                envelopes.append(self._queue.get_nowait())
            await self._send(tuple(envelopes))
            next_frame_at = time.monotonic() + self._hub.coalesce_s

    async def _send(self, envelopes: tuple[Envelope, ...]) -> None:
        data = encode_batch(Batch(self._name, self._hub.revision(), envelopes))
        self._name = ""
        stats = self._hub.stats
        stats.bytes_sent += len(data)
        stats.frames_sent += 1
        stats.messages_sent += len(envelopes)
        await self._socket.send_bytes(data)


class _OutgoingLink:
    """A link that this process opens to ``address``."""

    def __init__(self, hub: "LinkHub", address: str) -> None:
        self._hub = hub
        self._address = address
        self._ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._unsent: list[Envelope] = []
        self._outbox: _Outbox | None = None

    async def ask(self, body: object, timeout_s: float) -> Any:
        """Send a message and wait for its reply."""
        envelope = Envelope(next(self._ids), 0, body)
        fut = asyncio.get_running_loop().create_future()
        self._pending[envelope.id] = fut
        try:
            self.put(envelope)
            async with asyncio.timeout(timeout_s):
                return await fut
        except TimeoutError as exc:
            raise unreachable(self._address, "no reply in time") from exc
        finally:
            self._pending.pop(envelope.id, None)

    def put(self, envelope: Envelope) -> None:
        """Send a message as soon as the link is open."""
        if self._outbox is None:
            self._unsent.append(envelope)
        else:
            self._outbox.put(envelope)

    async def run(self) -> None:
        """Open the link and read replies until it closes; then fail all pending requests."""
        try:
            async with self._hub.connect(self._address) as socket:
                self._outbox = _Outbox(self._hub, socket)
                for envelope in self._unsent:
                    self._outbox.put(envelope)
                sender = self._hub.tasks.start(self._outbox.run(), "link sender")
                try:
                    await self._read(socket)
                finally:
                    # Closing takes a round trip; new messages must not wait on this link.
                    self._hub.remove_link(self._address, self)
                    sender.cancel()
        except (aiohttp.ClientError, OSError, ValueError, TimeoutError) as exc:
            log.bind(address=self._address, error=repr(exc)).debug("a link failed")
        finally:
            self._hub.remove_link(self._address, self)
            self._fail_pending()

    async def _read(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        peer = _Peer()
        while True:
            try:
                ws_message = await socket.receive(self._hub.idle_s)
            except TimeoutError:
                if self._pending:
                    continue
                return
            if ws_message.type is not aiohttp.WSMsgType.BINARY:
                return
            for envelope in self._hub.receive_frame(ws_message.data, peer):
                fut = self._pending.get(envelope.reply_to)
                if fut is not None and not fut.done():
                    fut.set_result(envelope.body)

    def _fail_pending(self) -> None:
        for fut in self._pending.values():
            if not fut.done():
                fut.set_exception(unreachable(self._address, "the link closed"))


class LinkHub:
    """All links of a process.

    Example::

        hub.on(ReserveRequest, handle_reserve)
        grant = await hub.ask("http://10.0.0.7:7000", request, timeout_s=2.0)
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        cfg: NodeSettings,
        revision: Callable[[], int],
    ) -> None:
        self.name = cfg.node.name
        self.coalesce_s = cfg.timing.link_coalesce_ms / 1_000
        self.idle_s = cfg.timing.link_idle_s
        self.revision = revision
        self.stats = LinkStats()
        self.tasks = TaskGroup()
        self._session = session
        self._secret = cfg.node.fleet_secret
        self._links: dict[str, _OutgoingLink] = {}
        self._accepted: set[web.WebSocketResponse] = set()
        self._handlers: dict[type, Handler] = {}
        self._revision_listeners: list[Callable[[int, str], None]] = []

    def on(self, message_type: type, handler: Handler) -> None:
        """Handle messages of a type; what ``handler(message, sender)`` returns is the reply."""
        self._handlers[message_type] = handler

    def on_revision(self, listener: Callable[[int, str], None]) -> None:
        """Call ``listener(revision, sender)`` with the revision of each incoming batch."""
        self._revision_listeners.append(listener)

    async def ask(self, address: str, body: object, timeout_s: float) -> Any:
        """Send a message and return its reply.

        Raises RefusalError if the peer refuses or cannot be reached. If the peer did not answer, it
        may or may not have handled the message.
        """
        reply = await self._link(address).ask(body, timeout_s)
        if isinstance(reply, Refused):
            raise RefusalError(reply)
        return reply

    def send(self, address: str, body: object) -> None:
        """Send a message without a reply; it is lost if the peer cannot be reached."""
        self._link(address).put(Envelope(0, 0, body))

    async def accept(self, request: web.Request) -> web.WebSocketResponse:
        """Serve a link that a peer opened."""
        socket = web.WebSocketResponse(max_msg_size=MAX_FRAME_BYTES, timeout=CLOSE_TIMEOUT_S)
        await socket.prepare(request)
        self._accepted.add(socket)
        outbox = _Outbox(self, socket)
        peer = _Peer()
        sender = self.tasks.start(outbox.run(), "link sender")
        try:
            async for ws_message in socket:
                if ws_message.type is not aiohttp.WSMsgType.BINARY:
                    break
                self._dispatch(ws_message.data, peer, outbox)
        except ValueError as exc:
            log.bind(error=str(exc)).warning("a peer sent a malformed frame")
        finally:
            sender.cancel()
            self._accepted.discard(socket)
        return socket

    def connect(self, address: str) -> Any:
        """Open a WebSocket to a peer, as a context manager."""
        headers = {FLEET_HEADER: self._secret}
        url = address + LINK_PATH
        return self._session.ws_connect(url, headers=headers, max_msg_size=MAX_FRAME_BYTES)

    def receive_frame(self, data: bytes, peer: _Peer) -> tuple[Envelope, ...]:
        """Count a frame, report the sender's revision and return the frame's messages."""
        return self._receive_batch(data, peer).envelopes

    def remove_link(self, address: str, link: _OutgoingLink) -> None:
        """Remove a link that has closed."""
        if self._links.get(address) is link:
            del self._links[address]

    @property
    def open_links(self) -> int:
        """Number of links that this process opened."""
        return len(self._links)

    async def close(self) -> None:
        """Close every link, including those that peers opened."""
        await asyncio.gather(*(socket.close() for socket in list(self._accepted)))
        await self.tasks.close()

    def _link(self, address: str) -> _OutgoingLink:
        link = self._links.get(address)
        if link is None:
            link = _OutgoingLink(self, address)
            self._links[address] = link
            self.tasks.start(link.run(), "link")
        return link

    def _receive_batch(self, data: bytes, peer: _Peer) -> Batch:
        batch = decode_batch(data)
        peer.name = batch.sender or peer.name
        self.stats.bytes_received += len(data)
        self.stats.messages_received += len(batch.envelopes)
        for listener in self._revision_listeners:
            listener(batch.revision, peer.name)
        return batch

    def _dispatch(self, data: bytes, peer: _Peer, outbox: _Outbox) -> None:
        batch = self._receive_batch(data, peer)
        for envelope in batch.envelopes:
            self.tasks.start(self._handle(envelope, peer.name, outbox), "link handler")

    async def _handle(self, envelope: Envelope, sender: str, outbox: _Outbox) -> None:
        try:
            handler = self._handlers.get(type(envelope.body))
            if handler is None:
                text = f"no handler for {type(envelope.body).__name__}"
                raise RefusalError(Refused(ErrorCode.ROLE_MISMATCH, text))
            reply = await handler(envelope.body, sender)
        except RefusalError as exc:
            reply = exc.refused
        if envelope.id and reply is not None:
            outbox.put(Envelope(0, envelope.id, reply))


def unreachable(address: str, text: str) -> RefusalError:
    """Build the error for a peer that cannot be reached or did not answer."""
    refused = Refused(ErrorCode.PEER_UNREACHABLE, f"{address}: {text}", WasExecuted.UNKNOWN)
    return RefusalError(refused)
