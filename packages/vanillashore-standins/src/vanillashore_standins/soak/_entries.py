"""Entry processes of the soak, the signals sent to them, and when they were disrupted."""

import asyncio
import contextlib
import os
import resource
import signal
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Self

import attrs

from vanillashore_standins._ports import free_ports
from vanillashore_standins._process_log import last_line
from vanillashore_standins._waiting import wait_until
from vanillashore_standins.soak._proxy import FaultProxy

ROOT = Path(__file__).resolve().parents[5]
LAUNCHER = ROOT / "deploy" / "entry.py"
MUTANTS = Path(__file__).with_name("_mutants.py")
GRACE_S = 8.0
SETTLE_S = 3.0  # Time limits are not checked for this long after a disruption.


class EntryProcess:
    """One entry as a separate process that reaches the store through a proxy.

    With ``memory_mb`` or ``max_fds`` its settings state a limit on its memory or descriptors;
    ``kernel_fds`` is a limit on its descriptors that the kernel enforces.
    """

    def __init__(
        self,
        name: str,
        store_address: str,
        folder: Path,
        mutant: str,
        memory_mb: int = 0,
        max_fds: int = 0,
        kernel_fds: int = 0,
    ) -> None:
        self.name = name
        self.store_proxy = FaultProxy(store_address)
        self.address = self.ready_address = self.metrics_address = ("127.0.0.1", 0)
        self.unasked_exits: list[str] = []
        self._folder = folder
        self._log_path = folder / f"{name}.log"
        self._mutant = mutant
        self._memory_mb = memory_mb
        self._max_fds = max_fds
        self._kernel_fds = kernel_fds
        self._interruptions: list[TimeSpan] = []
        self._process: asyncio.subprocess.Process | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self._process.returncode is not None

    @property
    def peak_memory_mib(self) -> float:
        """Largest resident memory of the process so far."""
        status = Path(f"/proc/{self._process.pid}/status").read_text(encoding="utf-8")
        (line,) = [line for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(line.split()[1]) / 1_024

    @property
    def open_fds(self) -> int:
        """How many descriptors the process has open."""
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    @property
    def last_line(self) -> str:
        """Last line of the process's log."""
        return last_line(self._log_path)

    async def __aenter__(self) -> Self:
        """Start the process."""
        await self.store_proxy.__aenter__()
        front, ready, peers, metrics = free_ports(4)
        self.address = ("127.0.0.1", front)
        self.ready_address = ("127.0.0.1", ready)
        self.metrics_address = ("127.0.0.1", metrics)
        settings = (
            f"node_name={self.name}\nzone=dc-a\nlisten.front=127.0.0.1:{front}\n"
            f"listen.ready=127.0.0.1:{ready}\ninternal_ports={peers},{metrics}\n"
            f"platform.address={self.store_proxy.address}\nbounds.grace_s={GRACE_S}\n"
            "bounds.retry_slack=1000\nbounds.quota_slack=190000\n"
        )
        if self._memory_mb:
            settings += f"limits.memory_mb={self._memory_mb}\n"
        if self._max_fds:
            settings += f"limits.max_fds={self._max_fds}\n"
        (self._folder / f"{self.name}.conf").write_text(settings)
        await self.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Kill the process by its id if it still runs."""
        self._check_runs()
        if self._process.returncode is None:
            self.signal(signal.SIGCONT)
            self._process.kill()
            await self._process.wait()
        await self.store_proxy.__aexit__()

    async def start(self) -> None:
        """Start the process (again), and wait until it handles SIGTERM.

        Before its first instruction the interpreter ends with an error on that signal.
        """
        script = [str(MUTANTS), self._mutant] if self._mutant else [str(LAUNCHER)]
        settings = str(self._folder / f"{self.name}.conf")
        with self._log_path.open("ab") as log_file:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *script,
                "entry",
                "--settings",
                settings,
                stdout=log_file,
                stderr=log_file,
                preexec_fn=self._limit_fds if self._kernel_fds else None,
            )
        await wait_until(lambda: self.has_ended or _handles_sigterm(self._process.pid), 30.0)

    def _limit_fds(self) -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (self._kernel_fds, self._kernel_fds))

    async def kill(self, pause_s: float) -> None:
        """Kill the process and start it again after a pause."""
        self._check_runs()
        with self._interruption():
            self.signal(signal.SIGKILL)
            await self._process.wait()
            await asyncio.sleep(pause_s)
            await self.start()

    async def stop(self) -> int:
        """Stop the process with SIGTERM, start it again and return the exit code."""
        self._check_runs()
        self.signal(signal.SIGTERM)
        code = await asyncio.wait_for(self._process.wait(), GRACE_S + 4.0)
        with self._interruption():
            await self.start()
        return code

    async def freeze(self, pause_s: float) -> None:
        """Suspend the process for a while with SIGSTOP."""
        with self._interruption():
            self.signal(signal.SIGSTOP)
            await asyncio.sleep(pause_s)
            self.signal(signal.SIGCONT)

    def was_interrupted(self, since: float, until: float) -> bool:
        """Whether the process was started again or frozen between two times."""
        return any(span.start < until and span.end > since for span in self._interruptions)

    @contextlib.contextmanager
    def _interruption(self) -> Iterator[None]:
        span = TimeSpan(asyncio.get_running_loop().time())
        self._interruptions.append(span)
        try:
            yield
        finally:
            span.end = asyncio.get_running_loop().time()

    def signal(self, number: int) -> None:
        """Send a signal to the process, unless it has ended by itself."""
        if not self.has_ended:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    def _check_runs(self) -> None:
        if self.has_ended:
            code = self._process.returncode
            self.unasked_exits.append(f"{self.name} ended unasked with code {code}")


def _handles_sigterm(pid: int) -> bool:
    try:
        status = Path(f"/proc/{pid}/status").read_text(encoding="ascii", errors="replace")
    except OSError:
        return False
    caught = next((line for line in status.splitlines() if line.startswith("SigCgt:")), "SigCgt: 0")
    return bool(int(caught.split()[1], 16) >> (signal.SIGTERM - 1) & 1)


@attrs.define
class TimeSpan:
    """A time span; it is open until ``end`` is set."""

    start: float
    end: float = float("inf")


class EntryPool:
    """The entries, and those that no fault affects at the moment.

    Example::

        for entry in pool.take():
            with pool.disruption_of(entry):
                await entry.kill(0.5)
            pool.give_back(entry)
    """

    def __init__(self) -> None:
        self.entries: list[EntryProcess] = []
        self.unaffected: list[EntryProcess] = []
        self._disruptions: list[tuple[tuple[str, int], TimeSpan]] = []

    def add(self, entry: EntryProcess) -> None:
        """Add an entry that has started."""
        self.entries.append(entry)
        self.unaffected.append(entry)

    def take(self, with_first: bool = False) -> list[EntryProcess]:
        """Take all unaffected entries, the first one only on demand."""
        taken = [e for e in self.unaffected if with_first or e is not self.entries[0]]
        self.unaffected = [e for e in self.unaffected if e not in taken]
        return taken

    def give_back(self, entry: EntryProcess) -> None:
        """Let other faults affect an entry again."""
        if entry is self.entries[0]:
            self.unaffected.insert(0, entry)
        else:
            self.unaffected.append(entry)

    def addresses(self) -> list[tuple[str, int]]:
        """Return the addresses of the unaffected entries, or of all if there are none."""
        return [entry.address for entry in self.unaffected or self.entries]

    def was_interrupted(self, address: tuple[str, int], since: float, until: float) -> bool:
        """Whether an entry was started again or frozen between two times."""
        return any(e.was_interrupted(since, until) for e in self.entries if e.address == address)

    @contextlib.contextmanager
    def disruption_of(self, entry: EntryProcess) -> Iterator[None]:
        """Record that an entry is disrupted."""
        span = TimeSpan(asyncio.get_running_loop().time())
        self._disruptions.append((entry.address, span))
        try:
            yield
        finally:
            span.end = asyncio.get_running_loop().time()

    def was_disrupted(self, entry: tuple[str, int], since: float, until: float) -> bool:
        """Whether an entry was disrupted, up to ``SETTLE_S`` before ``since``."""
        return any(
            address == entry and span.start < until and span.end > since - SETTLE_S
            for address, span in self._disruptions
        )
