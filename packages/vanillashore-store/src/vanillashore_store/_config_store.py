"""The configuration in the platform's store: immutable chunks and one small head."""

import asyncio
import secrets
from collections.abc import Iterable, Iterator

import attrs

from vanillashore_schema import Configuration
from vanillashore_store._config_chunks import (
    ChunkSet,
    check_chunk,
    current_chunk_count,
    decode_chunk,
    join,
    pack,
    parse_index,
    split,
    unpack,
    workspace_chunk_count,
)
from vanillashore_store._store import (
    CasResult,
    KeyValueStore,
    StoredValue,
    StoreUnavailableError,
)
from vanillashore_wire import (
    ConfigHead,
    EarlierHead,
    ErrorCode,
    VanillashoreError,
    Withdrawal,
    decode,
    encode,
)

HEAD_KEY = "vanillashore/config/head"
WITHDRAWAL_KEY = "vanillashore/config/withdrawal"
CHUNK_PREFIX = "vanillashore/config/chunk/"
MAX_EARLIER_HEADS = 4
MAX_CONCURRENT_CHUNK_CALLS = 8
MAX_CHUNK_TRIES = 3
MAX_HEAD_TRIES = 20
RETRY_PAUSE_S = 0.5
# Lets an announcement reach all processes: a watch notifies the relays within milliseconds, and
# they notify their followers.
ANNOUNCE_PAUSE_S = 0.4


@attrs.frozen
class ConfigSnapshot:
    """A configuration and its revision, which is 0 if none was applied yet."""

    revision: int
    configuration: Configuration


class ConflictError(VanillashoreError):
    """Another apply was faster; ``base`` and ``current`` show what it changed.

    ``base`` is ``None`` if the base revision is too old to be known.
    """

    def __init__(self, text: str, base: Configuration | None, current: ConfigSnapshot) -> None:
        super().__init__(ErrorCode.REVISION_CONFLICT, text)
        self.base = base
        self.current = current


class ConfigStore:
    """Reads and applies complete configurations.

    ``retry_pause_s`` is the pause before repeating a write whose answer was lost, and
    ``announce_pause_s`` the pause between the announcement of withdrawn keys and the change itself.
    """

    def __init__(
        self,
        store: KeyValueStore,
        retry_pause_s: float = RETRY_PAUSE_S,
        announce_pause_s: float = ANNOUNCE_PAUSE_S,
    ) -> None:
        self._store = store
        self._retry_pause_s = retry_pause_s
        self._announce_pause_s = announce_pause_s

    async def read_head(self) -> ConfigHead | None:
        """Return the current head, or ``None`` before the first apply."""
        return _decode_head(await self._store.get(HEAD_KEY))

    async def read(self, head: ConfigHead) -> ConfigSnapshot:
        """Fetch the configuration of ``head``; raise VanillashoreError if a chunk is damaged."""
        return ConfigSnapshot(head.revision, await self._read_configuration(head.index))

    async def read_current(self) -> ConfigSnapshot:
        """Fetch the current configuration; it is empty at revision 0 before the first apply."""
        head = await self.read_head()
        return await self.read(head) if head else ConfigSnapshot(0, Configuration())

    async def read_chunks(self, names: Iterable[str]) -> dict[str, bytes]:
        """Fetch chunks; raise VanillashoreError if one is missing or does not match its name."""
        limit = asyncio.Semaphore(MAX_CONCURRENT_CHUNK_CALLS)

        async def fetch(name: str) -> tuple[str, bytes]:
            async with limit:
                return name, await self._read_chunk(name)

        return dict(await asyncio.gather(*(fetch(name) for name in names)))

    async def apply(self, config: Configuration, base_revision: int) -> ConfigHead:
        """Make ``config`` current if the current revision is still ``base_revision``.

        Raises ConflictError if another apply was faster, StoreUnavailableError if the store failed
        before anything was changed, and VanillashoreError (outcome_unknown) if the store fails for
        so long that it remains unknown whether the change was accepted.
        """
        stored = await self._store.get(HEAD_KEY)
        current = _decode_head(stored)
        if (current.revision if current else 0) != base_revision:
            raise await self._conflict_error(current, base_revision)
        names = await self._read_index_names(current.index) if current else ()
        count = workspace_chunk_count(len(config.workspace), current_chunk_count(names))
        chunk_set = split(config, count)
        await self._write_chunks(chunk_set, names)
        head = _next_head(current, chunk_set.index)
        version = stored.version if stored else 0
        await self._announce_withdrawal(
            head, await self._find_withdrawn_keys(names, chunk_set, config)
        )
        if not await self._swap_head(version, head):
            raise await self._conflict_error(await self.read_head(), base_revision)
        return head

    async def _find_withdrawn_keys(
        self, names: Iterable[str], chunk_set: ChunkSet, config: Configuration
    ) -> set[str]:
        """Return the hashes of keys that the chunks ``names`` contain and ``config`` does not."""
        replaced = await self.read_chunks(set(names) - set(chunk_set.chunks))
        before = {key for data in replaced.values() for key in _key_hashes(decode_chunk(data))}
        return before - set(_key_hashes(config)) if before else before

    async def _announce_withdrawal(self, head: ConfigHead, withdrawn: set[str]) -> None:
        """Announce to all processes the keys that ``head`` withdraws.

        They refuse these keys until they learn whether ``head`` was accepted, so that no withdrawn
        key stays in use if the store becomes unavailable right after the change.
        """
        if not withdrawn:
            return
        value = encode(Withdrawal(head.revision, head.apply_id, tuple(sorted(withdrawn))))
        stored = await self._store.get(WITHDRAWAL_KEY)
        await self._store.compare_and_swap(WITHDRAWAL_KEY, stored.version if stored else 0, value)
        await asyncio.sleep(self._announce_pause_s)

    async def _read_configuration(self, index: str) -> Configuration:
        names = await self._read_index_names(index)
        chunks = await self.read_chunks(names)
        return join(decode_chunk(chunks[name]) for name in names)

    async def _read_index_names(self, index: str) -> tuple[str, ...]:
        return parse_index(await self._read_chunk(index))

    async def _read_chunk(self, name: str) -> bytes:
        stored = await self._store.get(CHUNK_PREFIX + name)
        if stored is None:
            raise VanillashoreError(ErrorCode.CONFIG_INVALID, f"chunk {name} is missing")
        try:
            data = unpack(stored.value)
        except ValueError as exc:
            raise VanillashoreError(ErrorCode.CONFIG_INVALID, f"chunk {name}: {exc}") from exc
        check_chunk(name, data)
        return data

    async def _write_chunks(self, chunk_set: ChunkSet, present: Iterable[str]) -> None:
        """Write the chunks not stored yet; a chunk has no effect until a head refers to it."""
        limit = asyncio.Semaphore(MAX_CONCURRENT_CHUNK_CALLS)

        async def write(name: str) -> None:
            async with limit:
                await self._write_chunk(name, pack(chunk_set.chunks[name]))

        await asyncio.gather(*(write(name) for name in set(chunk_set.chunks) - set(present)))

    async def _write_chunk(self, name: str, data: bytes) -> None:
        """Write a chunk; repeating the write after a lost answer is harmless."""
        for tries_left in reversed(range(MAX_CHUNK_TRIES)):
            try:
                await self._store.compare_and_swap(CHUNK_PREFIX + name, 0, data)
            except StoreUnavailableError:
                if not tries_left:
                    raise
                await asyncio.sleep(self._retry_pause_s)
            else:
                return

    async def _swap_head(self, version: int, head: ConfigHead) -> bool:
        """Swap the head; after a lost answer, repeat the same swap until one is answered.

        Once one swap is answered, earlier ones without an answer can no longer take effect, since
        the version of the head is then above ``version``.
        """
        is_uncertain = False
        for _ in range(MAX_HEAD_TRIES):
            try:
                result = await self._store.compare_and_swap(HEAD_KEY, version, encode(head))
            except StoreUnavailableError:
                is_uncertain = True
                await asyncio.sleep(self._retry_pause_s)
                continue
            return result.applied or (is_uncertain and _was_accepted(result, head.apply_id))
        text = (
            f"the store did not answer: apply {head.apply_id} may or may not be accepted; "
            "see `vanillashore show` when the store is back"
        )
        raise VanillashoreError(ErrorCode.OUTCOME_UNKNOWN, text)

    async def _conflict_error(
        self, current: ConfigHead | None, base_revision: int
    ) -> ConflictError:
        revision = current.revision if current else 0
        text = f"planned from revision {base_revision}, but the current one is {revision}"
        if current is None:
            return ConflictError(text, None, ConfigSnapshot(0, Configuration()))
        base = None
        age = current.revision - base_revision
        if base_revision == 0:
            base = Configuration()
        elif 0 < age <= len(current.earlier):
            base = await self._read_configuration(current.earlier[age - 1].index)
        return ConflictError(text, base, await self.read(current))


def _key_hashes(config: Configuration) -> Iterator[str]:
    return (key.sha256 for workspace in config.workspace for key in workspace.key)


def _decode_head(stored: StoredValue | None) -> ConfigHead | None:
    return decode(stored.value, ConfigHead) if stored else None


def _next_head(current: ConfigHead | None, index: str) -> ConfigHead:
    apply_id = secrets.token_hex(8)
    if current is None:
        return ConfigHead(1, index, apply_id)
    last = EarlierHead(current.index, current.apply_id)
    return ConfigHead(
        current.revision + 1, index, apply_id, (last, *current.earlier)[:MAX_EARLIER_HEADS]
    )


def _was_accepted(result: CasResult, apply_id: str) -> bool:
    head = _decode_head(result.current)
    if head is None:
        return False
    return apply_id in (head.apply_id, *(earlier.apply_id for earlier in head.earlier))
