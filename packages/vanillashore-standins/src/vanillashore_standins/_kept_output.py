"""Folders for what processes write, kept if the run that started them fails."""

import os
import re
import shutil
import sys
import time
from pathlib import Path
from types import TracebackType
from typing import Self

ROOT = Path(__file__).resolve().parents[4] / "target" / "failed-runs"
CURRENT_TEST = "PYTEST_CURRENT_TEST"  # Set by pytest.


class KeptOutput:
    """A folder that is removed at the end of a block, and kept and named if the block fails.

    Example::

        with KeptOutput() as output:
            start_process(log_path=output.folder / "entry-0.log")
            output.note("entry-0: SIGKILL")
    """

    def __init__(self, root: Path = ROOT) -> None:
        label = os.environ.get(CURRENT_TEST, "run").rpartition("::")[2].partition(" ")[0]
        safe_label = re.sub(r"[^\w.-]+", "-", label)
        self.folder = root / f"{safe_label}-{os.getpid()}-{time.time_ns()}"
        self._is_kept = False

    def __enter__(self) -> Self:
        """Create the folder."""
        self.folder.mkdir(parents=True)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Remove the folder, or print its name after a failure."""
        if exc_type is not None or self._is_kept:
            print(f"the output of the processes is kept in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder)

    def keep(self) -> None:
        """Keep the folder, although no exception ends the block."""
        self._is_kept = True

    def note(self, text: str) -> None:
        """Add a line with the time to the folder's notes, as of a signal that is sent."""
        with (self.folder / "notes.txt").open("a") as notes:
            notes.write(f"{time.time():.3f} {text}\n")
