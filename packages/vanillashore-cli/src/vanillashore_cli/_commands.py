"""The operators' commands as plain functions that return lines to print."""

import asyncio
import secrets
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp

from vanillashore_platform import ConfigStore, EtcdStore, HttpVmList, VmEntry
from vanillashore_schema import (
    OperatorSettings,
    hash_key,
    load_configuration,
    load_operator_settings,
)

FLEET_HEADER = "X-Fleet-Secret"
NODE_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
KEY_BYTES = 24


def check(file: Path) -> list[str]:
    """Check a configuration file; raise FindingsError if it is wrong."""
    _, warnings = load_configuration(file)
    return [str(warning) for warning in warnings] + [f"{file}: ok"]


def new_key() -> list[str]:
    """Make a key, and the entry that a configuration needs for it."""
    key = f"vs-{secrets.token_urlsafe(KEY_BYTES)}"
    granted = time.strftime("%Y-%m-%d")
    entry = f'{{ id = "new", sha256 = "{hash_key(key)}", granted = "{granted}" }}'
    return [f"key: {key}", f"entry: {entry}"]


async def apply(settings: Path, file: Path, base: int) -> list[str]:
    """Put a configuration into force; raise VanillashoreError on a conflict."""
    cfg = load_operator_settings(settings)
    config, _ = load_configuration(file)
    async with aiohttp.ClientSession() as session:
        platform = cfg.platform
        store = EtcdStore(session, platform.store_address, platform.store_timeout_s)
        head = await ConfigStore(store).apply(config, base)
    return [f"revision {head.revision} is accepted"]


async def status(settings: Path) -> list[str]:
    """Show each process of the fleet in a line."""
    async with _Fleet.open(settings) as fleet:
        answers = await fleet.ask_all("/internal/status")
    return [_status_line(vm, answer) for vm, answer in answers]


async def explain(settings: Path, request: str) -> list[str]:
    """Show the decisions that a request met on all processes, in the order of their time."""
    async with _Fleet.open(settings) as fleet:
        answers = await fleet.ask_all(f"/internal/explain/{request}")
    decisions = [d for _, answer in answers if answer for d in answer["decisions"]]
    decisions.sort(key=lambda decision: decision["at"])
    return [f"{d['at']:.3f} {d['node']}: {d['step']}: {d['text']}" for d in decisions]


class _Fleet:
    """Asks the processes of the fleet what they know."""

    def __init__(
        self, session: aiohttp.ClientSession, cfg: OperatorSettings, vms: tuple[VmEntry, ...]
    ) -> None:
        self._session = session
        self._headers = {FLEET_HEADER: cfg.fleet_secret}
        self._vms = vms

    @staticmethod
    @asynccontextmanager
    async def open(settings: Path) -> "AsyncIterator[_Fleet]":
        """Read the VM list, and hold a session open."""
        cfg = load_operator_settings(settings)
        platform = cfg.platform
        async with aiohttp.ClientSession() as session:
            vm_list = HttpVmList(session, platform.vm_list_address, platform.store_timeout_s)
            yield _Fleet(session, cfg, await vm_list.fetch())

    async def ask_all(self, path: str) -> list[tuple[VmEntry, dict[str, Any] | None]]:
        """Ask every process; the answer of one that cannot be reached is ``None``."""
        answers = await asyncio.gather(*(self._ask(vm, path) for vm in self._vms))
        return list(zip(self._vms, answers, strict=True))

    async def _ask(self, vm: VmEntry, path: str) -> dict[str, Any] | None:
        try:
            async with self._session.get(
                vm.address + path, headers=self._headers, timeout=NODE_TIMEOUT
            ) as response:
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None


def _status_line(vm: VmEntry, answer: dict[str, Any] | None) -> str:
    head = f"{vm.name:<14} {vm.data_centre:<8} {vm.state.value:<8}"
    if answer is None:
        return f"{head} no answer"
    return f"{head} {answer['role']:<6} revision {answer['revision']} active {answer['active']}"
