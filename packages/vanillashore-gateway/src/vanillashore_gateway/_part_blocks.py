"""The blocks that an entry knows: requests that are refused because of a part of their prompt."""

from collections.abc import Iterable, Iterator

import attrs
import xxhash

from vanillashore_gateway._part_messages import Block

FIRST_TRIAL_S = 20.0
TRIAL_FACTOR = 10.0  # Trials at 20, 220 and 2,220 s: two in the first half hour.
BLOCK_TTL_S = 3_600.0  # Since the last trial; longer than from the second to the third one.
ENDED_TTL_S = 60.0  # Until no entry can still announce an earlier version.
MAX_BLOCKS = 100


@attrs.define
class _Kept:
    """A block; ``since`` is the time of the last trial, or of the beginning if there was none."""

    block_id: str
    version: int
    service: str
    traits: frozenset[str]
    trials: int
    since: float

    def notice(self, now: float) -> Block:
        """Return the block as a message."""
        traits = tuple(sorted(self.traits))
        age_s = round(now - self.since, 3)
        return Block(self.block_id, self.version, self.service, traits, self.trials, age_s)


class PartBlocks:
    """The blocks by id; callers pass in the current time, and send the returned notices."""

    def __init__(self) -> None:
        self._blocks: dict[str, _Kept] = {}

    def __len__(self) -> int:
        return len(self._blocks)

    def refuses(self, traits: Iterable[str]) -> bool:
        """Whether a request with these traits is refused."""
        return bool(self._of(traits))

    def is_trial_due(self, traits: Iterable[str], now: float) -> bool:
        """Whether a request that is refused may be let through once."""
        return all(
            now - kept.since >= FIRST_TRIAL_S * TRIAL_FACTOR**kept.trials
            for kept in self._of(traits)
        )

    def begin_trial(self, traits: Iterable[str], now: float) -> list[Block]:
        """Let a request through; the next trial is due a multiple of the time later."""
        blocks = self._of(traits)
        for kept in blocks:
            kept.trials, kept.since, kept.version = kept.trials + 1, now, kept.version + 1
        return [kept.notice(now) for kept in blocks]

    def blocked_traits(self, traits: Iterable[str]) -> set[str]:
        """Return those of the traits that are part of any block."""
        traits = set(traits)
        return {trait for kept in self._blocks.values() for trait in kept.traits & traits}

    def block(self, service: str, traits: frozenset[str], now: float) -> list[Block]:
        """Block requests that have all of some traits; a wider block replaces narrower ones."""
        active = [k for k in self._blocks.values() if k.service == service and k.traits]
        covering = [kept for kept in active if kept.traits <= traits]
        if covering:
            return [kept.notice(now) for kept in covering]
        block_id = xxhash.xxh3_64_hexdigest(" ".join((service, *sorted(traits))).encode())
        ended = self._blocks.get(block_id)
        kept = _Kept(block_id, ended.version + 1 if ended else 1, service, traits, 0, now)
        narrower = [each for each in active if traits < each.traits]
        if narrower:
            kept.trials = max(each.trials for each in narrower)
            kept.since = max(each.since for each in narrower)
        notices = [self._reduce(each, each.traits, now) for each in narrower]
        self._put(kept)
        return [kept.notice(now), *notices]

    def clear(self, service: str, traits: Iterable[str], now: float) -> list[Block]:
        """Take traits that have brought an event out of all blocks; one without any has ended."""
        traits = frozenset(traits)
        affected = [
            kept
            for kept in self._blocks.values()
            if kept.service == service and kept.traits & traits
        ]
        return [self._reduce(kept, traits, now) for kept in affected]

    def adopt(self, block: Block, now: float) -> bool:
        """Take over what another entry knows; return whether it changes what is refused."""
        known = self._blocks.get(block.block_id)
        traits, trials = frozenset(block.traits), block.trials
        if known is not None:
            if block.version < known.version:
                return False
            if block.version == known.version:
                # Home and substitute have changed it at the same time.
                traits, trials = traits & known.traits, max(trials, known.trials)
        since = now - block.age_s
        kept = _Kept(block.block_id, block.version, block.service, traits, trials, since)
        self._put(kept)
        return traits != (known.traits if known is not None else frozenset())

    def notices(self, now: float) -> Iterator[Block]:
        """Drop blocks that have lapsed, and return the others."""
        for kept in list(self._blocks.values()):
            ttl_s = BLOCK_TTL_S if kept.traits else ENDED_TTL_S
            if now - kept.since >= ttl_s:
                del self._blocks[kept.block_id]
            else:
                yield kept.notice(now)

    def _reduce(self, kept: _Kept, traits: frozenset[str], now: float) -> Block:
        kept.traits, kept.version = kept.traits - traits, kept.version + 1
        if not kept.traits:
            kept.since = now
        return kept.notice(now)

    def _of(self, traits: Iterable[str]) -> list[_Kept]:
        if not self._blocks:
            return []
        traits = frozenset(traits)
        return [k for k in self._blocks.values() if k.traits and k.traits <= traits]

    def _put(self, kept: _Kept) -> None:
        self._blocks.pop(kept.block_id, None)
        self._blocks[kept.block_id] = kept
        while len(self._blocks) > MAX_BLOCKS:
            del self._blocks[next(iter(self._blocks))]
