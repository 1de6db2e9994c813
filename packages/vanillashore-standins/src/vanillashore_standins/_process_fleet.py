"""A fleet that runs each node as a separate process; stand-ins stay in this process."""

import asyncio
import os
import resource
import signal
import subprocess
import sys
import time
from pathlib import Path

import aiohttp
import attrs
import orjson

from vanillashore_schema import EndpointSettings, NodeRole, NodeSettings
from vanillashore_standins._fleet_base import KEY, MODEL, POLL_S, FleetBase
from vanillashore_standins._kept_output import KeptOutput
from vanillashore_standins._ports import free_port
from vanillashore_standins._process_log import last_line

START_WAIT_S = 30.0


@attrs.define
class NodeProcess:
    """The process of one node; signals are sent by process id and noted in the output."""

    cfg: NodeSettings
    address: str
    process: subprocess.Popen[bytes]
    log_path: Path
    output: KeptOutput

    @property
    def peak_memory_mib(self) -> float:
        """Largest resident memory of the process so far."""
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        (line,) = [line for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(line.split()[1]) / 1_024

    @property
    def open_fds(self) -> int:
        """How many descriptors the process has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def kill(self) -> None:
        """Kill the process at once, without any cleanup."""
        self._send(signal.SIGKILL)
        self.process.wait()

    def freeze(self) -> None:
        """Suspend the process, as when its VM is paused."""
        self._send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a frozen process."""
        self._send(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful stop with SIGTERM."""
        self._send(signal.SIGTERM)

    def _send(self, number: signal.Signals) -> None:
        self.output.note(f"{self.cfg.node.name} (process {self.process.pid}): {number.name}")
        self.process.send_signal(number)

    def ensure_ended(self) -> None:
        """Kill the process if it still runs."""
        if self.process.poll() is not None:
            return
        self.thaw()
        self.kill()


class ProcessFleet(FleetBase):
    """Runs each node as a process, keyed by VM name; an async context manager.

    With ``max_fds`` the kernel limits the descriptors of each node. Example::

        async with ProcessFleet(FleetPlan(entries=2)) as fleet:
            fleet.nodes["entry-0"].kill()
    """

    def __init__(self, *args: object, max_fds: int = 0) -> None:
        super().__init__(*args)
        self._max_fds = max_fds
        self.nodes: dict[str, NodeProcess] = {}
        self._output = KeptOutput()

    async def _start(self) -> None:
        self._stack.enter_context(self._output)
        await super()._start()

    async def start_sidecar(self, vm: str, endpoint: EndpointSettings) -> None:
        """Start a sidecar and add its VM to the VM list."""
        self._spawn(self._settings(vm, NodeRole.SIDECAR, endpoint, free_port()))

    async def start_entry(self, vm: str) -> None:
        """Start an entry and add its VM to the VM list."""
        self._spawn(self._settings(vm, NodeRole.ENTRY, None, free_port()))

    def restart(self, vm: str) -> None:
        """Start a killed node again with the same settings."""
        self._spawn(self.nodes[vm].cfg)

    async def wait_until_serving(self, revision: int) -> None:
        """Wait until every live node is ready, and each entry has served a probe."""
        for node in self.nodes.values():
            if node.process.poll() is None:
                await self._wait_until_ready(node.address + "/readyz")
        if self.plan.prefills and self.plan.decodes:
            for index in range(self.plan.entries):
                await self._wait_for_probe(index)

    def entry_address(self, entry: int) -> str:
        """Return the address of an entry."""
        return self.nodes[f"entry-{entry}"].address

    def _spawn(self, cfg: NodeSettings) -> None:
        name = cfg.node.name
        path = self._output.folder / f"{name}.toml"
        path.write_text(settings_to_toml(cfg))
        log_path = self._output.folder / f"{name}.log"
        command = [sys.executable, "-m", "vanillashore_node", "--settings", str(path)]
        with log_path.open("ab") as log_file:
            process = subprocess.Popen(
                command,
                stderr=log_file,
                stdin=subprocess.DEVNULL,
                preexec_fn=self._limit_fds if self._max_fds else None,
            )
        address = f"http://{cfg.node.host}:{cfg.node.port}"
        node = NodeProcess(cfg, address, process, log_path, self._output)
        self._output.note(f"{name} (process {process.pid}): started at {address}")
        self.nodes[name] = node
        self._stack.callback(node.ensure_ended)
        self._add_to_vm_list(cfg, address)

    def _limit_fds(self) -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (self._max_fds, self._max_fds))

    async def _wait_until_ready(self, url: str) -> None:
        deadline = time.monotonic() + START_WAIT_S
        while time.monotonic() < deadline:
            try:
                async with self.session.get(url) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(POLL_S)
        raise TimeoutError(
            f"{url} was not ready within {START_WAIT_S:g} s; ended: {self._last_lines_of_ended()}"
        )

    def _last_lines_of_ended(self) -> dict[str, str]:
        """Return the last log line of each process that has ended."""
        nodes = {n: node for n, node in self.nodes.items() if node.process.poll() is not None}
        return {name: last_line(node.log_path) for name, node in nodes.items()}

    async def _wait_for_probe(self, entry: int) -> None:
        body = {"model": MODEL, "prompt": "probe", "max_tokens": 1}
        deadline = time.monotonic() + START_WAIT_S
        while time.monotonic() < deadline:
            async with self.post(entry, "/v1/completions", body, key=KEY) as response:
                if response.status == 200:
                    return
            await asyncio.sleep(POLL_S)
        raise TimeoutError(f"entry {entry} served no probe within {START_WAIT_S:g} s")


def settings_to_toml(cfg: NodeSettings) -> str:
    """Return settings as TOML text."""
    lines: list[str] = []
    for section, values in attrs.asdict(cfg, filter=_is_set).items():
        lines.append(f"[{section}]")
        lines += [f"{name} = {orjson.dumps(value).decode()}" for name, value in values.items()]
    return "\n".join(lines)


def _is_set(attribute: object, value: object) -> bool:
    return value is not None
