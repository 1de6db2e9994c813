"""Settings: the documented options, and the findings of ``--check``."""

import re
import types
from pathlib import Path
from typing import Any, get_args

import attrs
import orjson
import pytest

from vanillashore_node import main
from vanillashore_schema import NodeSettings

PAGE = Path(__file__).parents[2] / "docs" / "settings.md"
ROW = re.compile(r"\| `(\w+)` \| [^|]+ \| (?:`([^`]*)`)? ?\| \S.* \|")
ENTRY = """[node]
name = "entry-1"
role = "entry"
data_centre = "dc-1"
host = "127.0.0.1"
port = 8080
fleet_secret = "0123456789abcdef"

[platform]
store_address = "http://127.0.0.1:1"
vm_list_address = "http://127.0.0.1:2"
"""


def test_settings_page_lists_exactly_the_options() -> None:
    assert page_options() == schema_options()


@pytest.mark.parametrize(
    ("text", "finding"),
    [
        (ENTRY.replace("port = 8080\n", ""), ":1: node.port: error: is missing"),
        (ENTRY.replace("8080", "80800"), ":6: node.port: error: must be a port"),
        (ENTRY.replace("8080", '"x"'), ":6: node.port: error: must be a whole number"),
        (ENTRY.replace("role", "rol"), ":3: node.rol: error: is not an option; did you mean"),
        (ENTRY.replace('"entry"', '"entri"'), ":3: node.role: error: must be one of entry, side"),
        (ENTRY.replace("abcdef", ""), ":7: node.fleet_secret: error: must have at least 16"),
        (ENTRY.replace('"http://127.0.0.1:1"', '"db:1"'), ":10: platform.store_address: error"),
        (ENTRY.replace('"side"', '"entry"') + "[limits]\nbody_bytes = 0\n", ":13: limits.body_b"),
        (ENTRY.replace('"entry"', '"side"'), ": endpoint: error: is missing"),
        (ENTRY + "[timing]\nhold_renewal_s = 9.0\n", ":13: timing.hold_renewal_s: error"),
        (ENTRY + "[timing\n", ":12: error: not TOML"),
    ],
)
def test_check_names_file_line_and_option(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, finding: str
) -> None:
    assert check(tmp_path, text) == 2
    captured = capsys.readouterr()
    assert f"{tmp_path / 'node.toml'}{finding}" in captured.err
    assert "0123456789" not in captured.err


def test_check_reports_all_errors_at_once(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    text = ENTRY.replace("8080", "-1").replace("dc-1", "") + "[limits]\nbody_byte = 1\n"
    assert check(tmp_path, text) == 2
    assert len(capsys.readouterr().err.splitlines()) == 3


def test_check_prints_warnings_of_a_good_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert check(tmp_path, ENTRY + "[timing]\nshutdown_wait_s = 5\n") == 0
    captured = capsys.readouterr()
    assert ":13: timing.shutdown_wait_s: warning: is below" in captured.err
    assert captured.out.endswith("node.toml: ok\n")


def test_check_of_a_good_file_is_silent_but_for_ok(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert check(tmp_path, ENTRY) == 0
    assert capsys.readouterr().err == ""


def test_check_of_a_missing_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--settings", str(tmp_path / "none.toml"), "--check"]) == 2
    assert "file_unreadable" in capsys.readouterr().err


def check(folder: Path, text: str) -> int:
    path = folder / "node.toml"
    path.write_text(text)
    return main(["--settings", str(path), "--check"])


def page_options() -> dict[str, str]:
    options = {}
    section = ""
    for line in PAGE.read_text().splitlines():
        if line.startswith("## ["):
            section = line[4:-1]
        elif row := ROW.fullmatch(line):
            options[f"{section}.{row[1]}"] = row[2] or ""
    return options


def schema_options() -> dict[str, str]:
    sections = attrs.fields(attrs.resolve_types(NodeSettings))
    return {
        f"{section.name}.{option.name}": _default(option)
        for section in sections
        for option in attrs.fields(attrs.resolve_types(_table(section.type)))
    }


def _table(kind: Any) -> Any:
    return get_args(kind)[0] if isinstance(kind, types.UnionType) else kind


def _default(option: Any) -> str:
    return "" if option.default is attrs.NOTHING else orjson.dumps(option.default).decode()
