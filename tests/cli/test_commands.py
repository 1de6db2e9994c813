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
class ToolResult:
    code: int
    out: str
    err: str

    @property
    def data(self) -> dict:
        return orjson.loads(self.out)


@attrs.frozen
class OperatorTool:
    """Runs the tool on a fleet, with the settings in ``folder``."""

    fleet: SmallFleet
    folder: Path

    async def run(self, command: str, *args: str) -> ToolResult:
        line = [command, "--settings", str(self.folder / "operator.toml"), *args]
        return await asyncio.to_thread(run_tool, *line)

    async def file(self, *changes: tuple[str, str]) -> str:
        """Write the current configuration with the given texts replaced; return its path."""
        text = (await self.run("show")).out
        for old, new in changes:
            assert old in text
            text = text.replace(old, new, 1)
        path = self.folder / f"fleet-{len(list(self.folder.iterdir()))}.toml"
        path.write_text(text)
        return str(path)


def run_tool(*line: str) -> ToolResult:
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main(line)
    return ToolResult(code, out.getvalue(), err.getvalue())


@pytest.fixture
async def tool(tmp_path: Path) -> AsyncIterator[OperatorTool]:
    plan = FleetPlan(entries=2, prefills=0, decodes=0)
    async with SmallFleet(plan) as fleet:
        platform = fleet.entries[0].core.cfg.platform
        (tmp_path / "operator.toml").write_text(
            f'fleet_secret = "{FLEET_SECRET}"\n[platform]\n'
            f'store_address = "{platform.store_address}"\n'
            f'vm_list_address = "{platform.vm_list_address}"\nstore_timeout_s = 0.3\n'
        )
        yield OperatorTool(fleet, tmp_path)


RATE = ("rate_tokens_per_s = 1000000.0", "rate_tokens_per_s = 5.0")
OTHER_RATE = ("rate_tokens_per_s = 1000000.0", "rate_tokens_per_s = 6.0")


async def test_plan_of_the_shown_configuration_has_no_changes(tool: OperatorTool) -> None:
    result = await tool.run("plan", await tool.file(), "--json")
    assert result.code == 0
    assert result.data == {"base": 1, "changes": [], "held_back": []}


async def test_apply_waits_until_the_change_is_in_force(tool: OperatorTool) -> None:
    result = await tool.run("apply", await tool.file(RATE), "--wait", "--json")
    assert result.code == 0
    assert result.data["revision"] == 2
    assert result.data["in_force"]
    assert {n.core.directory.revision for n in tool.fleet.entries} == {2}


async def test_wait_names_the_vms_where_it_is_not_in_force(tool: OperatorTool) -> None:
    await tool.fleet.entries[1].core.close()
    result = await tool.run("apply", await tool.file(RATE), "--wait", "0.5", "--json")
    assert result.code == 6
    assert result.data["behind"] == ["entry-1"]


async def test_unchanged_file_creates_no_revision(tool: OperatorTool) -> None:
    result = await tool.run("apply", await tool.file(), "--json")
    assert (result.code, result.data) == (0, {"revision": 1, "changed": False})


async def test_slower_of_two_applies_reports_the_difference(tool: OperatorTool) -> None:
    mine, other = await tool.file(OTHER_RATE), await tool.file(RATE)
    assert (await tool.run("apply", other, "--base", "1")).code == 0
    result = await tool.run("apply", mine, "--base", "1")
    assert result.code == 4
    assert "~ workspace workspace-a: rate_tokens_per_s 1000000.0 -> 5.0" in result.err
    assert "revision_conflict: planned from revision 1, but the current one is 2" in result.err
    assert (await tool.run("show", "--json")).data["revision"] == 2


async def test_cutting_off_a_workspace_is_held_back_unless_allowed(tool: OperatorTool) -> None:
    text = (await tool.run("show")).out
    first = text.index("[[workspace.key]]")
    cut = tool.folder / "cut.toml"
    cut.write_text(text[:first] + text[text.index("[[workspace]]", first) :])
    held = await tool.run("apply", str(cut))
    assert held.code == 5
    assert "--allow workspace:workspace-a" in held.err
    assert (await tool.run("show", "--json")).data["revision"] == 1
    assert (await tool.run("apply", str(cut), "--allow", "workspace:other")).code == 5
    assert (await tool.run("apply", str(cut), "--allow", "workspace:workspace-a")).code == 0


async def test_invalid_file_changes_nothing(tool: OperatorTool) -> None:
    invalid = await tool.file(RATE, ('service = "service-a"', 'service = "service-b"'))
    result = await tool.run("apply", invalid)
    assert result.code == 3
    assert f"{invalid}:" in result.err
    assert 'did you mean "service-a"?' in result.err
    assert (await tool.run("show", "--json")).data["revision"] == 1


@pytest.mark.parametrize("command", ["plan", "show", "status"])
async def test_unreachable_platform_is_reported_in_one_line(
    tool: OperatorTool, command: str
) -> None:
    settings = tool.folder / "operator.toml"
    lines = settings.read_text().splitlines()
    lines = [line.rpartition(":")[0] + ':1"' if "_address" in line else line for line in lines]
    file = [await tool.file()] if command == "plan" else []
    settings.write_text("\n".join(lines))
    result = await tool.run(command, *file)
    assert (result.code, result.out) == (1, "")
    assert result.err.startswith("store_unavailable: ")
    assert result.err.count("\n") == 1


async def test_status_names_vms_that_do_not_answer(tool: OperatorTool) -> None:
    await tool.fleet.entries[0].core.close()
    result = await tool.run("status")
    assert "3 VMs: 2 at revision 1; no answer from entry-0" in result.out


async def test_explain_shows_the_decisions_about_a_request(tool: OperatorTool) -> None:
    async with tool.fleet.get(0, "/stock", headers={"X-Request-Id": "req-7"}) as response:
        assert response.status == 200
    result = await tool.run("explain", "req-7")
    assert "call place: service-0" in result.out


def test_findings_are_printed_as_json(tmp_path: Path) -> None:
    file = tmp_path / "fleet.toml"
    file.write_text('[[model]]\nnam = "m"\n')
    result = run_tool("check", str(file), "--json")
    assert result.code == 3
    assert result.data["error"]["code"] == "config_invalid"
    assert len(result.data["error"]["details"]) == 2


def test_new_key_has_a_prefix_and_a_sha256_hash() -> None:
    result = run_tool("key", "new", "--json")
    assert result.code == 0
    assert result.data["key"].startswith("vs-")
    assert len(result.data["sha256"]) == 64


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
def test_examples_of_the_guide_are_valid(path: Path) -> None:
    assert run_tool("check", str(path)).code == 0
