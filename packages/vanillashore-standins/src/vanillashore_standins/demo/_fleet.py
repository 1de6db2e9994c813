"""Starts and stops the demo's processes, each by its id."""

import asyncio
import os
import secrets
import signal
import subprocess
import sys
import time
from pathlib import Path
from types import TracebackType

import aiohttp
import attrs
import orjson

from vanillashore_standins._ports import free_ports
from vanillashore_standins.demo._files import (
    DATA_CENTRES,
    MODEL,
    FleetShape,
    configuration_text,
    node_settings_text,
    operator_settings_text,
)

BIN = Path(sys.executable).parent
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.1
LOG_LINES_SHOWN = 12
PLATFORM_PORTS = 3


@attrs.frozen
class DemoNode:
    """One VM of the demo and the address of the process on it."""

    name: str
    data_centre: str
    port: int
    kind: str

    @property
    def address(self) -> str:
        """Address that the process listens on."""
        return f"http://127.0.0.1:{self.port}"


class DemoFleet:
    """All processes of the demo; a context manager that stops them on exit."""

    def __init__(self, folder: Path, shape: FleetShape | None = None) -> None:
        self.folder = folder
        self.shape = shape or FleetShape()
        self.fleet_secret = secrets.token_hex(16)
        self.key = f"vs-{secrets.token_urlsafe(24)}"
        self.left_running = 0
        self.operator_settings = folder / "operator.toml"
        self.configuration = folder / "fleet.toml"
        self.pids: dict[str, int] = {}
        self._nodes: list[subprocess.Popen[bytes]] = []
        self._stand_ins: list[subprocess.Popen[bytes]] = []
        endpoint_count = self.shape.prefills + self.shape.decodes + self.shape.services
        self._ports = free_ports(PLATFORM_PORTS + self.shape.entries + 2 * endpoint_count)
        self.store_address = self._next_address()
        self.vm_list_address = self._next_address()
        self.weights_address = self._next_address()
        self.entries = [self._create_node("entry", i) for i in range(self.shape.entries)]
        self.prefills = [self._create_node("prefill", i) for i in range(self.shape.prefills)]
        self.decodes = [self._create_node("decode", i) for i in range(self.shape.decodes)]
        self.services = [self._create_node("service", i) for i in range(self.shape.services)]

    def __enter__(self) -> "DemoFleet":
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, signal.default_int_handler)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stop()
        if exc_type is not None:
            self._print_logs()

    async def start(self) -> None:
        """Start everything, apply the configuration, and wait until all processes are ready."""
        self._start_platform()
        for node in [*self.prefills, *self.decodes]:
            self._start_endpoint(node, "engine")
        for node in self.services:
            self._start_endpoint(node, "service")
        for node in self.entries:
            self._start_node(node, "")
        print(f"started {len(self._nodes) + len(self._stand_ins)} processes")
        self._write_operator_files()
        async with aiohttp.ClientSession() as session:
            await self._fill_vm_list(session)
            await self._wait_until_ok(session, self.store_address + "/stats")
            await self.run_tool("apply", str(self.configuration), "--base", "0")
            for node in self.nodes:
                await self._wait_until_ok(session, node.address + "/readyz")
            await self._wait_for_endpoints(session)

    async def start_engine_without_sidecar(self, name: str) -> str:
        """Start an engine without a sidecar and return its address."""
        address = f"http://127.0.0.1:{free_ports(1)[0]}"
        self._start_stand_in("engine", address, *self._stand_in_args(name))
        async with aiohttp.ClientSession() as session:
            await self._wait_until_ok(session, address + "/v1/load")
        return address

    @property
    def nodes(self) -> list[DemoNode]:
        """All nodes of the fleet."""
        return [*self.entries, *self.prefills, *self.decodes, *self.services]

    async def run_tool(self, command: str, *args: str) -> str:
        """Run the operators' command-line tool, print its output and return it."""
        arguments = [str(BIN / "vanillashore"), command, "--settings", str(self.operator_settings)]
        process = await asyncio.create_subprocess_exec(
            *arguments, *args, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
        )
        output = (await process.communicate())[0].decode()
        print(f"$ vanillashore {command}\n{output}", end="")
        if process.returncode != 0:
            raise RuntimeError(f"vanillashore {command} failed")
        return output

    def wait_for_interrupt(self) -> None:
        """Print how to reach the fleet and wait for Ctrl-C."""
        for node in self.entries:
            print(f"{node.name}: {node.address}")
        print(f"key: {self.key}")
        body = f'{{"model": "{MODEL}", "prompt": "hello", "max_tokens": 8}}'
        print(
            f"curl {self.entries[0].address}/v1/completions "
            f"-H 'Authorization: Bearer {self.key}' -d '{body}'"
        )
        print(
            f"export ENTRY={self.entries[0].address} KEY={self.key} "
            f"SETTINGS={self.operator_settings} FLEET={self.configuration}"
        )
        print("Ctrl-C stops everything", flush=True)
        try:
            signal.pause()
        except KeyboardInterrupt:
            print()

    def _next_address(self) -> str:
        return f"http://127.0.0.1:{self._ports.pop()}"

    def _create_node(self, kind: str, index: int) -> DemoNode:
        data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
        return DemoNode(f"{kind}-{index + 1}", data_centre, self._ports.pop(), kind)

    def _start_platform(self) -> None:
        self._start_stand_in("kv", self.store_address)
        self._start_stand_in("vm-list", self.vm_list_address)
        self._start_stand_in("weights", self.weights_address)

    def _start_endpoint(self, node: DemoNode, kind: str) -> None:
        address = self._next_address()
        self._start_stand_in(kind, address, *self._stand_in_args(node.name))
        section = f'\n[endpoint]\naddress = "{address}"\nkind = "{kind}"\n'
        settings = self.shape.endpoint_options | {"slots": self.shape.slots}
        section += "".join(f"{name} = {value}\n" for name, value in settings.items())
        self._start_node(node, section)

    def _stand_in_args(self, name: str) -> list[str]:
        options = orjson.dumps(self.shape.engine_options | {"slots": self.shape.slots}).decode()
        return ["--name", name, "--model", MODEL, "--options", options]

    def _start_stand_in(self, kind: str, address: str, *args: str) -> None:
        port = address.rpartition(":")[2]
        command = [sys.executable, "-m", "vanillashore_standins", kind, "--port", port, *args]
        self._stand_ins.append(self._spawn(command, kind + port))

    def _start_node(self, node: DemoNode, endpoint_section: str) -> None:
        path = self.folder / f"{node.name}.toml"
        path.write_text(node_settings_text(self, node) + endpoint_section)
        command = [str(BIN / "vanillashore-node"), "--settings", str(path)]
        self._nodes.append(self._spawn(command, node.name))

    def _spawn(self, command: list[str], name: str) -> subprocess.Popen[bytes]:
        with (self.folder / f"{name}.log").open("wb") as log_file:
            process = subprocess.Popen(
                command,
                stdout=log_file,
                stderr=log_file,
                stdin=subprocess.DEVNULL,
                process_group=0,  # Keeps the terminal's Ctrl-C from the process.
            )
        self.pids[name] = process.pid
        return process

    def _write_operator_files(self) -> None:
        self.operator_settings.write_text(operator_settings_text(self))
        self.configuration.write_text(configuration_text(self))

    async def _fill_vm_list(self, session: aiohttp.ClientSession) -> None:
        await self._wait_until_ok(session, self.vm_list_address + "/v1/vms")
        vms = [
            {
                "name": node.name,
                "address": node.address,
                "data_centre": node.data_centre,
                "kind": "entry" if node.kind == "entry" else "endpoint",
                "state": "live",
            }
            for node in self.nodes
        ]
        await session.post(self.vm_list_address + "/v1/vms", json={"vms": vms})

    async def _wait_until_ok(self, session: aiohttp.ClientSession, url: str) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                async with session.get(url) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(POLL_S)
        raise RuntimeError(f"{url} did not answer within {START_TIMEOUT_S:g} s")

    async def _wait_for_endpoints(self, session: aiohttp.ClientSession) -> None:
        """Wait until each entry answers a completion, for which it needs the VM list.

        A request waits while the entry has no endpoint.
        """
        headers = {"Authorization": f"Bearer {self.key}"}
        body = {"model": MODEL, "prompt": "warm up", "max_tokens": 1}
        for entry in self.entries:
            url = entry.address + "/v1/completions"
            deadline = time.monotonic() + START_TIMEOUT_S
            answer = ""
            while time.monotonic() < deadline:
                async with session.post(url, json=body, headers=headers) as response:
                    answer = await response.text()
                    if response.status == 200:
                        break
                await asyncio.sleep(POLL_S)
            else:
                raise RuntimeError(f"{entry.name} finds no endpoint: {answer}")

    def _stop(self) -> None:
        _stop_all(self._nodes)
        _stop_all(self._stand_ins)
        processes = [*self._nodes, *self._stand_ins]
        self.left_running = sum(_is_running(process.pid) for process in processes)

    def _print_logs(self) -> None:
        for path in sorted(self.folder.glob("*.log")):
            lines = path.read_text().splitlines()
            for line in lines[-LOG_LINES_SHOWN:]:
                print(f"{path.stem}: {line}", file=sys.stderr)


def _stop_all(processes: list[subprocess.Popen[bytes]]) -> None:
    for process in processes:
        process.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + STOP_TIMEOUT_S
    for process in processes:
        try:
            process.wait(max(0.1, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def _is_running(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True
