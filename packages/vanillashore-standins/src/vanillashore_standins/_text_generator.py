"""Deterministic text of the stand-in model: each token depends on the full text before it.

Generation from a prompt plus part of its answer therefore gives the rest of the same answer, as
greedy decoding does, and a test can compute the expected answer itself.
"""

from collections.abc import Iterator

import xxhash

CHARS_PER_TOKEN = 4
VOCABULARY_WORDS = 10_000


def count_tokens(text: str) -> int:
    """Return the number of tokens of ``text``, at least 1."""
    return max(1, len(text) // CHARS_PER_TOKEN)


def continuation(context: str) -> Iterator[str]:
    """Yield the tokens that follow ``context``, endlessly."""
    digest = xxhash.xxh64(context.encode())
    while True:
        token = f" w{digest.intdigest() % VOCABULARY_WORDS}"
        digest.update(token.encode())
        yield token


def generate(prompt: str, max_tokens: int) -> str:
    """Return the answer of ``max_tokens`` tokens to ``prompt``."""
    tokens = continuation(prompt)
    return "".join(next(tokens) for _ in range(max_tokens))
