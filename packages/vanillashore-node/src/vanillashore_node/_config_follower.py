"""The task that keeps a process's configuration current, from the store, a relay or a peer."""

import asyncio
import random
import time
from collections.abc import Callable

import attrs
from loguru import logger as log

from vanillashore_node._config_relays import rank_relays, relays_of
from vanillashore_node._directory import Directory
from vanillashore_node._link import LinkHub
from vanillashore_node._tasks import TaskGroup
from vanillashore_schema import NodeSettings
from vanillashore_store import (
    HEAD_KEY,
    WITHDRAWAL_KEY,
    ConfigReplica,
    ConfigStore,
    KeyValueStore,
    PendingWithdrawals,
    StoreUnavailableError,
    VmEntry,
    VmState,
)
from vanillashore_wire import (
    ConfigChunkRequest,
    ConfigChunks,
    ConfigHead,
    ConfigRequest,
    ConfigUpdate,
    ErrorCode,
    RefusalError,
    Refused,
    VanillashoreError,
    Withdrawal,
    decode,
)

RETRY_PAUSE_S = 0.2
CATCH_UP_PAUSE_S = 0.1
MAX_PEERS_TRIED = 3
CHUNKS_PER_REQUEST = 48
MAX_WAIT_S = 30.0
CUT_OFF_RETRY_S = 2.0
DOUBT_RETRY_S = 1.0  # By then a change is accepted or superseded, if the store is available.
_FAILURES = (VanillashoreError, ValueError)


class ConfigFollower:
    """Follows the configuration and installs each newer revision in the directory.

    A relay watches the head in the store. Any other process long-polls the relays of its data
    centre, one after the other; if none answers, it reads the store, or asks a peer if the store
    is unavailable. ``clock`` returns monotonic seconds.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        store: KeyValueStore,
        hub: LinkHub,
        directory: Directory,
        tasks: TaskGroup,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.replica = ConfigReplica()
        self._cfg = cfg
        self._store = store
        self._config_store = ConfigStore(store)
        self._hub = hub
        self._directory = directory
        self._tasks = tasks
        self._clock = clock
        self._contact_at = clock()
        self._withdrawals = PendingWithdrawals()
        self._install_lock = asyncio.Lock()
        self._changed = asyncio.Event()
        self._is_catching_up = False
        hub.on(ConfigRequest, self._handle_config_request)
        hub.on(ConfigChunkRequest, self._handle_chunk_request)
        hub.on_revision(self._record_revision)

    @property
    def is_relay(self) -> bool:
        """Whether this process watches the store itself."""
        relays = self._relays()
        return not relays or any(vm.name == self._cfg.node.name for vm in relays)

    def check_contact(self) -> None:
        """Raise RefusalError if neither the store nor any peer was reached for too long.

        A contact counts from when its request was sent, not from when its reply was read, so that a
        process loses contact while it is paused.
        """
        no_contact_s = self._clock() - self._contact_at
        if no_contact_s > self._cfg.timing.cut_off_s:
            text = f"neither the store nor any peer was reached for {no_contact_s:.0f} s"
            raise RefusalError(Refused(ErrorCode.CUT_OFF, text, retry_after_s=CUT_OFF_RETRY_S))

    def check_key(self, key_hash: str) -> None:
        """Raise RefusalError if a pending change, whose outcome is unknown, withdraws the key."""
        withdrawal = self._withdrawals.find(key_hash)
        if withdrawal is not None:
            text = f"the key may have been withdrawn by revision {withdrawal.revision}"
            raise RefusalError(Refused(ErrorCode.KEY_IN_DOUBT, text, retry_after_s=DOUBT_RETRY_S))

    async def catch_up(self, address: str) -> None:
        """Fetch and install the configuration of the peer at ``address`` if it is newer.

        Raises RefusalError if the peer cannot be reached.
        """
        await self._fetch(address, 0.0)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                if self.is_relay:
                    await self._follow_store()
                else:
                    await self._follow_peers()
            except _FAILURES as exc:
                log.bind(error=str(exc)).warning("following the configuration was interrupted")
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _follow_store(self) -> None:
        """Watch the head, and read it periodically in case the watch has failed silently."""
        version = await self._read_store()
        watch = self._tasks.start(self._watch(version), "configuration watch")
        withdrawals = self._tasks.start(self._watch_withdrawals(), "withdrawal watch")
        try:
            while self.is_relay and not watch.done():
                await asyncio.wait([watch], timeout=self._cfg.timing.config_probe_s)
                await self._read_store()
        finally:
            watch.cancel()
            withdrawals.cancel()

    async def _watch_withdrawals(self) -> None:
        try:
            stored = await self._store.get(WITHDRAWAL_KEY)
            if stored is not None:
                self._apply_withdrawal(decode(stored.value, Withdrawal))
            version = stored.version if stored is not None else 0
            async for value in self._store.watch(WITHDRAWAL_KEY, version):
                self._apply_withdrawal(decode(value.value, Withdrawal))
        except _FAILURES as exc:
            log.bind(error=str(exc)).info("the watch on withdrawals ended")

    def _apply_withdrawal(self, withdrawal: Withdrawal) -> None:
        if not self._withdrawals.handle_announcement(
            withdrawal, self.replica.revision, self._clock()
        ):
            return
        bound = log.bind(revision=withdrawal.revision, keys=len(withdrawal.key_hashes))
        bound.info("a withdrawal of keys was announced")
        self._wake_waiting()

    def _drop_expired_withdrawals(self) -> None:
        for withdrawal in self._withdrawals.drop_expired(self._clock()):
            log.bind(revision=withdrawal.revision).warning("a withdrawal was not carried out")
            self._wake_waiting()

    async def _watch(self, version: int) -> None:
        try:
            async for value in self._store.watch(HEAD_KEY, version):
                await self._install_from_store(decode(value.value, ConfigHead))
        except _FAILURES as exc:
            log.bind(error=str(exc)).info("the watch on the configuration ended")

    async def _read_store(self) -> int:
        """Read the head and install it; return its store version.

        If the store is unavailable, fetch the configuration from a peer before raising the error.
        """
        sent_at = self._clock()
        try:
            stored = await self._store.get(HEAD_KEY)
        except StoreUnavailableError:
            await self._fetch_from_any_peer()
            raise
        self._record_contact(sent_at)
        if stored is None:
            return 0
        await self._install_from_store(decode(stored.value, ConfigHead))
        self._drop_expired_withdrawals()
        return stored.version

    async def _install_from_store(self, head: ConfigHead) -> None:
        async with self._install_lock:
            while self.replica.is_newer(head) and (missing := self.replica.missing(head)):
                self.replica.stage(await self._config_store.read_chunks(missing))
            self._install(head)

    async def _follow_peers(self) -> None:
        """Long-poll the relays one after the other; if none answers, read the store."""
        for relay in rank_relays(self._cfg.node.name, self._relays()):
            try:
                await self._fetch(relay.address, self._cfg.timing.config_wait_s)
            except _FAILURES as exc:
                log.bind(relay=relay.name, error=str(exc)).info("a relay did not answer")
            else:
                return
        await self._read_store()
        await asyncio.sleep(RETRY_PAUSE_S)

    async def _fetch_from_any_peer(self) -> None:
        peers = [vm for vm in self._live_vms() if vm.name != self._cfg.node.name]
        for peer in random.sample(peers, min(MAX_PEERS_TRIED, len(peers))):
            try:
                await self._fetch(peer.address, 0.0)
            except _FAILURES as exc:
                log.bind(peer=peer.name, error=str(exc)).info("a peer did not answer")
            else:
                return

    async def _fetch(self, address: str, wait_s: float) -> None:
        sent_at = self._clock()
        timeout_s = wait_s + self._cfg.timing.ask_timeout_s
        request = ConfigRequest(self.replica.revision, wait_s, self._withdrawals.state_labels())
        update = await self._hub.ask(address, request, timeout_s)
        self._record_contact(sent_at)
        for withdrawal in update.withdrawals:
            self._apply_withdrawal(withdrawal)
        if update.head is not None:
            await self._install_from_peer(address, update, update.head)

    async def _install_from_peer(
        self, address: str, update: ConfigUpdate, head: ConfigHead
    ) -> None:
        async with self._install_lock:
            if not self.replica.is_newer(head):
                return
            missing = self.replica.stage_update(update)
            while missing:
                request = ConfigChunkRequest(missing[:CHUNKS_PER_REQUEST])
                answer = await self._hub.ask(address, request, self._cfg.timing.ask_timeout_s)
                for chunk in answer.chunks:
                    self.replica.stage_chunk(chunk)
                still_missing = self.replica.missing(head)
                if still_missing == missing:
                    raise VanillashoreError(ErrorCode.CONFIG_INVALID, "the peer lacks chunks")
                missing = still_missing
            self._install(head)

    def _install(self, head: ConfigHead) -> None:
        snapshot = self.replica.install(head)
        if snapshot is None:
            return
        self._directory.apply_snapshot(snapshot)
        self._withdrawals.remove_decided(head.revision)
        log.bind(revision=head.revision).info("a configuration was installed")
        self._wake_waiting()

    def _wake_waiting(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle_config_request(self, request: ConfigRequest, sender: str) -> ConfigUpdate:
        wait_s = min(request.wait_s, MAX_WAIT_S)
        is_same = request.withdrawals == self._withdrawals.state_labels()
        if wait_s and is_same and self.replica.revision <= request.revision:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        update = self.replica.update_since(request.revision)
        return attrs.evolve(update, withdrawals=self._withdrawals.current())

    async def _handle_chunk_request(self, request: ConfigChunkRequest, sender: str) -> ConfigChunks:
        return ConfigChunks(self.replica.chunks_for(request.names))

    def _record_revision(self, revision: int, sender: str) -> None:
        if revision <= self.replica.revision or self._is_catching_up:
            return
        self._is_catching_up = True
        self._tasks.start(self._catch_up_from(revision, sender), "configuration catch-up")

    async def _catch_up_from(self, revision: int, sender: str) -> None:
        """Fetch the revision that ``sender`` reported, unless it arrives during a short pause."""
        try:
            await asyncio.sleep(CATCH_UP_PAUSE_S)
            vm = next((vm for vm in self._live_vms() if vm.name == sender), None)
            if vm is not None and revision > self.replica.revision:
                await self._fetch(vm.address, 0.0)
        except _FAILURES as exc:
            log.bind(peer=sender, error=str(exc)).info("catching up from a peer failed")
        finally:
            self._is_catching_up = False

    def _record_contact(self, at: float) -> None:
        self._contact_at = max(self._contact_at, at)

    def _relays(self) -> list[VmEntry]:
        return relays_of(self._directory.vms, self._cfg.node.data_centre)

    def _live_vms(self) -> list[VmEntry]:
        return [vm for vm in self._directory.vms if vm.state is VmState.LIVE]
