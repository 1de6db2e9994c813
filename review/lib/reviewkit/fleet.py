"""Entries as separate processes, started as the deploy file says."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

from reviewkit.wire import read_message

ROOT = Path(__file__).resolve().parents[3]
START_S = 20.0
BOUNDS = {
    "seed_lag_s": "3",
    "reuse_after_s": "2",
    "contact_ms": "3000",
    "ack_ms": "4000",
    "catch_up_s": "4",
    "drain_ms": "2000",
    "grace_s": "8",
    "loss_slack_ms": "200",
    "config_apply_ms": "2000",
    "rollback_slack_ms": "250",
    "max_skew_ms": "5000",
    "strict_revoke": "false",
    "revoke_ms": "5000",
    "retry_budget_ratio": "0.2",
    "budget_window_s": "10",
    "retry_slack": "52",
    "quota_window_s": "8",
    "quota_overage": "0.1",
    "quota_slack": "190000",
    "recovery_s": "12",
    "transit_ms": "120",
    "retry_after_s": "8.2",
    "fencing_required": "true",
    "lease_ms": "3000",
    "thaw_ms": "300",
}


class Entry:
    """One entry; its ports are free ones on a loopback address of its own."""

    def __init__(self, number: int, store: str, folder: Path, memory_mb: int = 150) -> None:
        self.name = f"edge-{number}"
        self.host = f"127.0.7.{number}"
        self.folder = folder
        self.process: subprocess.Popen[bytes] | None = None
        ports = _free_ports(self.host, 3)
        self.front = (self.host, ports[0])
        self.ready = (self.host, ports[1])
        self._path = folder / f"{self.name}.conf"
        self._log = folder / f"{self.name}.log"
        lines = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "edge",
            "serves": "edge",
            "ip": self.host,
            "zone": "zone-a",
            "region": "region",
            "zones.zone-a": "region",
            "listen.front": f"{self.host}:{ports[0]}",
            "listen.ready": f"{self.host}:{ports[1]}",
            "internal_ports": f"{ports[2]},{ports[2] + 1}",
            "seeds": "",
            "bootstrap": "true",
            "limits.cpu_share": "0.817",
            "limits.cores": "1",
            "limits.memory_mb": str(memory_mb),
            "limits.max_fds": "4100",
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": "1200",
            "fault_tolerance.machines": "1",
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
            "platform.address": store,
            "platform.form": "kv",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            "platform.history_s": "20",
            "platform.value_bytes": "1048576",
            "platform.ttl_min_ms": "1000",
        }
        self._path.write_text("".join(f"{k}={v}\n" for k, v in lines.items()), encoding="utf-8")

    def start(self) -> None:
        """Start the process with the deploy file's command."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        (role,) = deploy["roles"].values()
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env = kept | {
            "VANILLASHORE_CONFIG": str(self._path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def wait_ready(self) -> None:
        """Wait until the entry says that it is ready; raise RuntimeError if it never does."""
        until = time.monotonic() + START_S
        while time.monotonic() < until:
            if self.process.poll() is not None:
                break
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} did not get ready: {self.log_tail()}")

    async def is_ready(self) -> bool:
        """Ask the entry whether it is ready, as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                return answer.status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def log_text(self) -> str:
        """Return what the process has logged."""
        return self._log.read_text(encoding="utf-8", errors="replace")

    def log_tail(self) -> str:
        """Return the end of the log."""
        return self.log_text()[-800:]

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def _free_ports(host: str, count: int) -> list[int]:
    """Return free ports; after the last one, the next number is free too."""
    while True:
        socks = [socket.socket() for _ in range(count)]
        extra = socket.socket()
        try:
            for sock in socks:
                sock.bind((host, 0))
            ports = [sock.getsockname()[1] for sock in socks]
            try:
                extra.bind((host, ports[-1] + 1))
            except (OSError, OverflowError):
                continue
            return ports
        finally:
            for sock in (*socks, extra):
                sock.close()


def run_case(main: "asyncio._CoroutineLike[int]") -> None:
    """Run a case; exit with 2 if it fails to run."""
    try:
        code = asyncio.run(main)
    except Exception as exc:
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
