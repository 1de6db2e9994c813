"""Reads the output of a process, to report why it ended."""

from pathlib import Path


def last_line(path: Path) -> str:
    """Return the last line of the log file ``path``, or an empty string if there is none."""
    lines = path.read_text(errors="replace").splitlines() if path.exists() else []
    return lines[-1] if lines else ""
