"""Prefix affinity without an index: rendezvous hashing of a prompt's leading pieces."""

import xxhash

PIECE_TOKENS = 1_000
_CHARS_PER_TOKEN = 4
_PIECE_CHARS = PIECE_TOKENS * _CHARS_PER_TOKEN


def leading_pieces(prompt: str, pieces: int = 1) -> str:
    """Return the part of ``prompt`` that decides its affinity."""
    return prompt[: pieces * _PIECE_CHARS]


def rank_by_affinity(workspace: str, prompt: str, names: list[str]) -> list[str]:
    """Order endpoint names by their rendezvous weight for this prompt, best first.

    The hash is salted with the workspace, so that prompts of two workspaces never meet in a cache
    on purpose.
    """
    salt = f"{workspace}\0{leading_pieces(prompt)}".encode()
    digest = xxhash.xxh64_intdigest(salt)
    return sorted(names, key=lambda name: _weight(name, digest), reverse=True)


def _weight(name: str, digest: int) -> int:
    return xxhash.xxh64_intdigest(name.encode(), seed=digest)
