"""The operators' tool against a small fleet."""

import asyncio
import contextlib
import io
from collections.abc import AsyncIterator
from pathlib import Path

import attrs
import orjson
import pytest

from vanillashore_cli import main
from vanillashore_standins.testing import FLEET_SECRET, FleetPlan, SmallFleet


@attrs.frozen
class Ran:
    code: int
    out: str
    err: str

    @property
    def data(self) -> dict:
        return orjson.loads(self.out)


@attrs.frozen
class Desk:
    """An operator's folder beside a fleet."""

    fleet: SmallFleet
    folder: Path

    async def run(self, command: str, *args: str) -> Ran:
        line = [command, "--settings", str(self.folder / "operator.toml"), *args]
        return await asyncio.to_thread(run_tool, *line)

    async def file(self, *changes: tuple[str, str]) -> str:
        """Write the current configuration with texts replaced; return its path."""
        text = (await self.run("show")).out
        for old, new in changes:
            assert old in text
            text = text.replace(old, new, 1)
        path = self.folder / f"fleet-{len(list(self.folder.iterdir()))}.toml"
        path.write_text(text)
        return str(path)


def run_tool(*line: str) -> Ran:
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main(line)
    return Ran(code, out.getvalue(), err.getvalue())


@pytest.fixture
async def desk(tmp_path: Path) -> AsyncIterator[Desk]:
    plan = FleetPlan(entries=2, prefills=0, decodes=0)
    async with SmallFleet(plan) as fleet:
        platform = fleet.entries[0].core.cfg.platform
        (tmp_path / "operator.toml").write_text(
            f'fleet_secret = "{FLEET_SECRET}"\n[platform]\n'
            f'store_address = "{platform.store_address}"\n'
            f'vm_list_address = "{platform.vm_list_address}"\nstore_timeout_s = 0.3\n'
        )
        yield Desk(fleet, tmp_path)


RATE = ("rate_tokens_per_s = 1000000.0", "rate_tokens_per_s = 5.0")
OTHER_RATE = ("rate_tokens_per_s = 1000000.0", "rate_tokens_per_s = 6.0")


async def test_what_is_shown_can_be_planned_as_no_change(desk: Desk) -> None:
    ran = await desk.run("plan", await desk.file(), "--json")
    assert ran.code == 0
    assert ran.data == {"base": 1, "changes": [], "held_back": []}


async def test_apply_waits_until_the_change_is_in_force(desk: Desk) -> None:
    ran = await desk.run("apply", await desk.file(RATE), "--wait", "--json")
    assert ran.code == 0
    assert ran.data["revision"] == 2
    assert ran.data["in_force"]
    assert {n.core.directory.revision for n in desk.fleet.entries} == {2}


async def test_wait_names_the_vms_that_have_it_not(desk: Desk) -> None:
    await desk.fleet.entries[1].core.close()
    ran = await desk.run("apply", await desk.file(RATE), "--wait", "0.5", "--json")
    assert ran.code == 6
    assert ran.data["behind"] == ["entry-1"]


async def test_an_unchanged_file_makes_no_revision(desk: Desk) -> None:
    ran = await desk.run("apply", await desk.file(), "--json")
    assert (ran.code, ran.data) == (0, {"revision": 1, "changed": False})


async def test_operators_that_race_get_the_difference(desk: Desk) -> None:
    mine, other = await desk.file(OTHER_RATE), await desk.file(RATE)
    assert (await desk.run("apply", other, "--base", "1")).code == 0
    ran = await desk.run("apply", mine, "--base", "1")
    assert ran.code == 4
    assert "~ workspace workspace-a: rate_tokens_per_s 1000000.0 -> 5.0" in ran.err
    assert "revision_conflict: planned from revision 1, but the current one is 2" in ran.err
    assert (await desk.run("show", "--json")).data["revision"] == 2


async def test_cutting_off_a_workspace_is_held_back_until_it_is_named(desk: Desk) -> None:
    text = (await desk.run("show")).out
    first = text.index("[[workspace.key]]")
    cut = desk.folder / "cut.toml"
    cut.write_text(text[:first] + text[text.index("[[workspace]]", first) :])
    held = await desk.run("apply", str(cut))
    assert held.code == 5
    assert "--allow workspace:workspace-a" in held.err
    assert (await desk.run("show", "--json")).data["revision"] == 1
    assert (await desk.run("apply", str(cut), "--allow", "workspace:other")).code == 5
    assert (await desk.run("apply", str(cut), "--allow", "workspace:workspace-a")).code == 0


async def test_a_wrong_file_changes_nothing(desk: Desk) -> None:
    wrong = await desk.file(RATE, ('service = "service-a"', 'service = "service-b"'))
    ran = await desk.run("apply", wrong)
    assert ran.code == 3
    assert f"{wrong}:" in ran.err
    assert 'did you mean "service-a"?' in ran.err
    assert (await desk.run("show", "--json")).data["revision"] == 1


@pytest.mark.parametrize("command", ["plan", "show", "status"])
async def test_an_unreachable_platform_is_one_clean_line(desk: Desk, command: str) -> None:
    settings = desk.folder / "operator.toml"
    lines = settings.read_text().splitlines()
    lines = [line.rpartition(":")[0] + ':1"' if "_address" in line else line for line in lines]
    file = [await desk.file()] if command == "plan" else []
    settings.write_text("\n".join(lines))
    ran = await desk.run(command, *file)
    assert (ran.code, ran.out) == (1, "")
    assert ran.err.startswith("store_unavailable: ")
    assert ran.err.count("\n") == 1


async def test_status_names_who_does_not_answer(desk: Desk) -> None:
    await desk.fleet.entries[0].core.close()
    ran = await desk.run("status")
    assert "3 VMs: 2 at revision 1; no answer from entry-0" in ran.out


async def test_explain_shows_what_a_request_met(desk: Desk) -> None:
    async with desk.fleet.get(0, "/stock", headers={"X-Request-Id": "req-7"}) as response:
        assert response.status == 200
    ran = await desk.run("explain", "req-7")
    assert "call place: service-0" in ran.out


def test_findings_are_data_for_scripts(tmp_path: Path) -> None:
    file = tmp_path / "fleet.toml"
    file.write_text('[[model]]\nnam = "m"\n')
    ran = run_tool("check", str(file), "--json")
    assert ran.code == 3
    assert ran.data["error"]["code"] == "config_invalid"
    assert len(ran.data["error"]["details"]) == 2


def test_a_new_key_fits_its_entry() -> None:
    ran = run_tool("key", "new", "--json")
    assert ran.code == 0
    assert ran.data["key"].startswith("vs-")
    assert len(ran.data["sha256"]) == 64


@pytest.mark.parametrize("command", ["check", "plan", "apply", "show", "key", "status", "explain"])
def test_help_has_an_example(command: str, capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as caught:
        main([command, "--help"])
    assert caught.value.code == 0
    assert f"  vanillashore {command}" in capsys.readouterr().out


@pytest.mark.parametrize(
    "path",
    sorted((Path(__file__).parents[2] / "docs/examples").glob("*.toml")),
    ids=lambda p: p.stem,
)
def test_examples_of_the_guide_are_right(path: Path) -> None:
    assert run_tool("check", str(path)).code == 0
