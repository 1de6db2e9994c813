"""Entries as separate processes, started with the command of the deploy file."""

import asyncio
import contextlib
import os
import signal
import socket
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NoReturn

from lib3.http import call

ROOT = Path(__file__).resolve().parents[2]

SETTINGS = """\
node_name={name}
role=entry
machine_class=edge
serves=edge
ip=127.0.0.1
zone={zone}
region=r
zones.{zone}=r
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
listen.control=127.0.0.1:{control}
internal_ports={peers},{metrics}
seeds=
bootstrap=true
limits.cpu_share=0.817
limits.cores=1
limits.memory_mb={memory_mb}
limits.max_fds=4100
limits.link_mbps=1000.0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,quota,platform
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_slack=52
bounds.quota_window_s=8
bounds.quota_overage=0.1
bounds.quota_slack=190000
bounds.recovery_s=12
bounds.fencing_required=true
bounds.lease_ms=3000
bounds.thaw_ms=300
platform.address={store}
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""


def free_ports(count: int) -> list[int]:
    """Return free loopback ports; the last two are neighbours."""
    socks = []
    with contextlib.ExitStack() as stack:
        for _ in range(count - 2):
            sock = stack.enter_context(socket.socket())
            sock.bind(("127.0.0.1", 0))
            socks.append(sock)
        while True:
            first = stack.enter_context(socket.socket())
            first.bind(("127.0.0.1", 0))
            port = first.getsockname()[1]
            second = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                second.bind(("127.0.0.1", port + 1))
                return [s.getsockname()[1] for s in socks] + [port, port + 1]


class Entry:
    """One entry process."""

    def __init__(
        self, name: str, store: str, folder: Path, zone: str = "z-1", memory_mb: int = 150
    ) -> None:
        self.name = name
        front, ready, control, peers, metrics = free_ports(5)
        self.front, self.ready = f"127.0.0.1:{front}", f"127.0.0.1:{ready}"
        self.metrics = f"127.0.0.1:{metrics}"
        self.settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        text = SETTINGS.format(
            name=name,
            zone=zone,
            front=front,
            ready=ready,
            control=control,
            peers=peers,
            metrics=metrics,
            memory_mb=memory_mb,
            store=store,
        )
        self.settings.write_text(text, encoding="utf-8")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and wait until it is ready."""
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["VANILLASHORE_CONFIG"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "deploy/entry.py", "entry", cwd=ROOT, env=env, stdout=log, stderr=log
            )
        for _ in range(200):
            outcome = await call(self.ready, "GET", "/-/readyz", {"Host": "x"}, b"", 1.0)
            if outcome.status == 200:
                return
            await asyncio.sleep(0.05)
        print(f"{self.name} did not become ready", file=sys.stderr)
        raise SystemExit(2)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


def run_case(main: Callable[[], Awaitable[int]]) -> NoReturn:
    """Play a case and exit with its code; 2 if it was ended or could not run."""

    def end(number: int, frame: object) -> NoReturn:
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, end)
    try:
        code = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
