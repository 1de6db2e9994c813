"""The launcher deploy/entry.py, run as a process."""

import asyncio
import os
import re
import shutil
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from vanillashore_standins import wait_until
from vanillashore_standins._ports import free_ports

ROOT = Path(__file__).parents[2]
LAUNCHER = ROOT / "deploy" / "entry.py"
LAZY_LIBRARIES = ("opentelemetry", "prometheus_client", "cattrs")
COMPILED_SOURCE = re.compile(r"^# code object from ([^'].*\.py)$", re.MULTILINE)


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
async def test_stop_signal_at_any_time_ends_the_process_with_success(
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


@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.1, 0.2, 0.3, 2.0])
async def test_reload_signal_at_any_time_reloads_the_settings(
    tmp_path: Path, delay_s: float
) -> None:
    path, log_path = tmp_path / "settings.conf", tmp_path / "entry.log"
    path.write_text(_settings())
    with log_path.open("wb") as log_file:
        process = await asyncio.create_subprocess_exec(
            sys.executable, LAUNCHER, "entry", "--settings", path, stdout=log_file
        )
    await wait_until(lambda: _catches_stop_signal(process.pid), 30.0)
    await asyncio.sleep(delay_s)
    process.send_signal(signal.SIGHUP)
    await wait_until(lambda: b"reloaded the settings" in log_path.read_bytes(), 30.0)
    process.terminate()
    assert await process.wait() == 0


def test_a_start_compiles_nothing_after_a_build(tmp_path: Path) -> None:
    for name in ("packages", "platform", "deploy"):
        ignore = shutil.ignore_patterns("__pycache__", "*.egg-info")
        shutil.copytree(ROOT / name, tmp_path / name, ignore=ignore)
    shutil.copy(ROOT / "constraints.txt", tmp_path)
    installed = tmp_path / "target" / "deps" / ".ready"
    installed.parent.mkdir(parents=True)
    installed.touch()
    subprocess.run(["sh", "deploy/build.sh"], cwd=tmp_path, check=True)
    # On a new machine, the standard library may not be byte-compiled yet.
    subprocess.run([sys.executable, "-c", "import vanillashore_adapter"], check=True)
    ended = subprocess.run(
        [sys.executable, "-B", "-v", tmp_path / "deploy" / "entry.py", "entry", "--check"],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": ""},
        stderr=subprocess.PIPE,
        text=True,
        check=False,
    )
    compiled = [path for path in COMPILED_SOURCE.findall(ended.stderr) if "entry.py" not in path]
    assert "vanillashore_gateway" in ended.stderr
    assert compiled == []


def test_a_start_loads_no_library_that_serving_does_not_need() -> None:
    code = "import sys, vanillashore_adapter; print(*sys.modules)"
    output = subprocess.run(
        [sys.executable, "-c", code], stdout=subprocess.PIPE, text=True, check=True
    ).stdout
    loaded = set(output.split())
    assert not loaded & set(LAZY_LIBRARIES)
