"""The result of a command: lines for a terminal, and the same as data for scripts."""

from enum import IntEnum
from typing import Any

import attrs

from vanillashore_wire import ErrorCode


class ExitCode(IntEnum):
    """Exit codes of the tool; scripts may rely on them."""

    OK = 0
    FAILED = 1
    USAGE = 2
    FINDINGS = 3
    CONFLICT = 4
    HELD_BACK = 5
    NOT_IN_FORCE = 6
    UNKNOWN = 7


EXIT_CODES = {
    ErrorCode.CONFIG_INVALID: ExitCode.FINDINGS,
    ErrorCode.SETTINGS_INVALID: ExitCode.FINDINGS,
    ErrorCode.REVISION_CONFLICT: ExitCode.CONFLICT,
    ErrorCode.HELD_BACK: ExitCode.HELD_BACK,
    ErrorCode.OUTCOME_UNKNOWN: ExitCode.UNKNOWN,
}


@attrs.frozen
class Report:
    """The result of a command; ``data`` is printed as JSON with ``--json``."""

    lines: list[str]
    data: dict[str, Any]
    exit_code: ExitCode = ExitCode.OK
