"""Findings: all problems of a file, collected with their lines and reported together."""

from collections.abc import Sequence
from enum import StrEnum

import attrs

from vanillashore_wire import ErrorCode, VanillashoreError


class Severity(StrEnum):
    """Severity of a finding: a file with an ERROR is rejected, a WARNING is only printed."""

    ERROR = "error"
    WARNING = "warning"


@attrs.frozen
class Finding:
    """One problem of a file.

    ``line`` counts from 1 and is 0 if it is unknown. ``str()`` gives the terminal form::

        fleet.toml:12: workspace[0].rate_tokens_per_s: error: must be a number
    """

    file: str
    line: int
    key: str
    text: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}" if self.line else self.file
        subject = f"{self.key}: " if self.key else ""
        return f"{location}: {subject}{self.severity.value}: {self.text}"


class FindingsError(VanillashoreError):
    """A file was rejected; ``findings`` lists all problems, including warnings."""

    def __init__(self, code: ErrorCode, findings: Sequence[Finding]) -> None:
        errors = [f for f in findings if f.severity is Severity.ERROR]
        noun = "finding" if len(errors) == 1 else "findings"
        super().__init__(code, f"{len(errors)} {noun}")
        self.findings = tuple(findings)
