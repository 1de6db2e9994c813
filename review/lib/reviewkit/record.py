"""The record of a case: what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Lines with the seconds since the start; written to ``record.txt`` at the end."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._began = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def add(self, text: str) -> float:
        """Add a line; return its time."""
        at = self.now()
        self._lines.append(f"{at:8.3f} {text}")
        return at

    def save(self) -> None:
        """Write the record."""
        self._path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")
