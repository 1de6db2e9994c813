"""The launcher of a checkout, as a process."""

import asyncio
import signal
import sys
from pathlib import Path

import pytest

from vanillashore_standins import wait_until
from vanillashore_standins._ports import free_ports

LAUNCHER = Path(__file__).parents[2] / "deploy" / "entry.py"


def _settings() -> str:
    first, last, store = free_ports(3)
    return (
        "node_name=edge-a-1\nzone=alex-a\nlisten.front=127.0.0.1:0\nlisten.ready=127.0.0.1:0\n"
        f"internal_ports={first},{last}\nplatform.address=127.0.0.1:{store}\n"
    )


def _catches_stop_signal(pid: int) -> bool:
    status = Path(f"/proc/{pid}/status").read_text()
    caught = int(status.partition("SigCgt:")[2].split()[0], 16)
    return bool(caught & 1 << (signal.SIGTERM - 1))


@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.6, 2.0])
async def test_stop_signal_ends_the_process_in_good_order_whenever_it_comes(
    tmp_path: Path, delay_s: float
) -> None:
    path = tmp_path / "settings.conf"
    path.write_text(_settings())
    process = await asyncio.create_subprocess_exec(
        sys.executable, LAUNCHER, "entry", "--settings", path, stdout=asyncio.subprocess.DEVNULL
    )
    await wait_until(lambda: _catches_stop_signal(process.pid), 30.0)
    await asyncio.sleep(delay_s)
    process.terminate()
    assert await process.wait() == 0
