"""Prefix affinity by rendezvous hashing of a prompt's first piece, without an index."""

import xxhash

from vanillashore_placement._loads import EndpointLoads

PIECE_TOKENS = 1_000
LOAD_BOUND = 1.25
_CHARS_PER_TOKEN = 4
_PIECE_CHARS = PIECE_TOKENS * _CHARS_PER_TOKEN


def fills_piece(prompt: str) -> bool:
    """Return whether ``prompt`` fills a KV piece, which another prompt can reuse."""
    return len(prompt) >= _PIECE_CHARS


def leading_pieces(prompt: str, pieces: int = 1) -> str:
    """Return the prefix of ``prompt`` that determines its affinity."""
    return prompt[: pieces * _PIECE_CHARS]


def rank_by_affinity(workspace: str, prompt: str, names: list[str]) -> list[str]:
    """Order endpoint names by their rendezvous weight for this prompt, best first.

    The workspace is part of the hashed text, so equal prompts of two workspaces rank the endpoints
    independently, with no common preference for a cache.
    """
    salt = f"{workspace}\0{leading_pieces(prompt)}".encode()
    digest = xxhash.xxh64_intdigest(salt)
    return sorted(names, key=lambda name: _weight(name, digest), reverse=True)


def first_below_bound(ranked: list[str], loads: EndpointLoads) -> str:
    """Return the best-ranked endpoint whose load is not far above the mean of all ``ranked``.

    The bound is `LOAD_BOUND` times the mean plus one request, so that nearly idle pools keep their
    affinity.
    """
    work = [loads.work(name) for name in ranked]
    bound = 1 + LOAD_BOUND * sum(work) / len(work)
    return next(name for name, load in zip(ranked, work, strict=True) if load <= bound)


def _weight(name: str, digest: int) -> int:
    return xxhash.xxh64_intdigest(name.encode(), seed=digest)
