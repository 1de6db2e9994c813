from pathlib import Path

import pytest

from vanillashore_wire import ErrorCode

ERRORS_PAGE = Path(__file__).parents[2] / "docs/operators/errors.md"


@pytest.mark.parametrize("code", list(ErrorCode), ids=str)
def test_every_error_code_is_on_the_operators_page(code: ErrorCode) -> None:
    lines = [line for line in ERRORS_PAGE.read_text().splitlines() if f"| `{code.value}` |" in line]
    assert lines
    caller_lines = [line for line in lines if f"| {code.status} |" in line]
    tool_only_codes = ("config_invalid", "settings_invalid", "revision_conflict", "held_back")
    assert caller_lines or code.value in (*tool_only_codes, "file_unreadable")
