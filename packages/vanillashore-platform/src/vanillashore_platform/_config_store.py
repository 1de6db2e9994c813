"""The configuration in the platform's store: immutable chunks and one small head."""

import hashlib
import secrets

import attrs

from vanillashore_platform._store import KeyValueStore, StoreUnavailableError
from vanillashore_schema import Configuration
from vanillashore_wire import ErrorCode, VanillashoreError, decode, encode

HEAD_KEY = "vanillashore/config/head"
CHUNK_PREFIX = "vanillashore/config/chunk/"


@attrs.frozen
class ConfigHead:
    """The small value that makes a configuration current.

    ``apply_id`` lets a writer whose answer was lost find out whether its write won.
    """

    revision: int
    chunks: tuple[str, ...]
    apply_id: str


@attrs.frozen
class ConfigSnapshot:
    """A configuration together with the revision it came into force as; 0 is none yet."""

    revision: int
    configuration: Configuration


class ConfigStore:
    """Reads and applies configurations, each as a whole."""

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    async def read_head(self) -> ConfigHead | None:
        """Return the current head, or ``None`` before the first apply."""
        stored = await self._store.get(HEAD_KEY)
        return decode(stored.value, ConfigHead) if stored else None

    async def read(self, head: ConfigHead) -> ConfigSnapshot:
        """Fetch the chunks of ``head`` and check each against its name.

        Raises VanillashoreError if a chunk is absent or damaged.
        """
        parts = []
        for name in head.chunks:
            stored = await self._store.get(CHUNK_PREFIX + name)
            if stored is None or hashlib.sha256(stored.value).hexdigest() != name:
                raise VanillashoreError(ErrorCode.CONFIG_INVALID, f"chunk {name} is damaged")
            parts.append(stored.value)
        return ConfigSnapshot(head.revision, decode(b"".join(parts), Configuration))

    async def apply(self, config: Configuration, base_revision: int) -> ConfigHead:
        """Make ``config`` current if the current revision is still ``base_revision``.

        Raises VanillashoreError (revision_conflict) if another operator was faster.
        """
        stored = await self._store.get(HEAD_KEY)
        current = decode(stored.value, ConfigHead) if stored else None
        if (current.revision if current else 0) != base_revision:
            raise _conflict(current, base_revision)
        data = encode(config)
        name = hashlib.sha256(data).hexdigest()
        await self._store.compare_and_swap(CHUNK_PREFIX + name, 0, data)
        head = ConfigHead(base_revision + 1, (name,), secrets.token_hex(16))
        version = stored.version if stored else 0
        if not await self._swap_head(version, head):
            raise _conflict(await self.read_head(), base_revision)
        return head

    async def _swap_head(self, version: int, head: ConfigHead) -> bool:
        try:
            result = await self._store.compare_and_swap(HEAD_KEY, version, encode(head))
        except StoreUnavailableError:
            current = await self.read_head()
            return current is not None and current.apply_id == head.apply_id
        return result.applied


def _conflict(current: ConfigHead | None, base_revision: int) -> VanillashoreError:
    revision = current.revision if current else 0
    text = f"planned from revision {base_revision}, but the current one is {revision}"
    return VanillashoreError(ErrorCode.REVISION_CONFLICT, text)
