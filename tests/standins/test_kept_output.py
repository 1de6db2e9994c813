"""The output of processes is kept, with the signals sent to them, if their test fails."""

from pathlib import Path

import pytest

from vanillashore_standins._kept_output import KeptOutput
from vanillashore_standins.testing import FleetPlan, ProcessFleet


def test_folder_is_removed_after_a_block_that_does_not_fail(tmp_path: Path) -> None:
    with KeptOutput(tmp_path) as output:
        output.note("started")
    assert list(tmp_path.iterdir()) == []


def test_folder_is_kept_and_named_after_a_failure(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    output = KeptOutput(tmp_path)

    def fail() -> None:
        with output:
            output.note("entry-0: SIGKILL")
            raise AssertionError

    pytest.raises(AssertionError, fail)
    assert (output.folder / "notes.txt").read_text().endswith(" entry-0: SIGKILL\n")
    assert str(output.folder) in capsys.readouterr().err
    assert output.folder.name.startswith("test_folder_is_kept_and_named_after_a_failure-")


def test_folder_can_be_kept_without_a_failure(tmp_path: Path) -> None:
    with KeptOutput(tmp_path) as output:
        output.keep()
    assert output.folder.exists()


async def test_fleet_leaves_logs_settings_and_signals_of_a_failed_test(tmp_path: Path) -> None:
    fleet = ProcessFleet(FleetPlan(prefills=0, decodes=0))
    fleet._output = KeptOutput(tmp_path)

    async def fail() -> None:
        async with fleet:
            fleet.nodes["entry-0"].kill()
            raise AssertionError

    with pytest.raises(AssertionError):
        await fail()
    kept = {path.name for path in fleet._output.folder.iterdir()}
    assert kept >= {"entry-0.log", "entry-0.toml", "notes.txt"}
    assert "SIGKILL" in (fleet._output.folder / "notes.txt").read_text()
