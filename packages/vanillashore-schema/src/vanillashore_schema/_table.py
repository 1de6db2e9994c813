"""Reads TOML tables into attrs classes; errors are collected as findings, not raised."""

import difflib
import functools
import re
import tomllib
import types
from collections.abc import Callable
from enum import Enum
from typing import Any, TypeVar, get_args, get_origin

import attrs

from vanillashore_schema._findings import Finding, Severity
from vanillashore_schema._line_index import LineIndex

T = TypeVar("T")
Check = Callable[[Any], str | None]

_TOML_ERROR_LINE = re.compile(r"at line (\d+)")
_CHECKS = "vanillashore_checks"
_SECRET = "vanillashore_secret"


def option(
    *checks: Check, default: Any = attrs.NOTHING, secret: bool = False, **kwargs: Any
) -> Any:
    """Declare an attrs field of a table; each check returns an error text or ``None``."""
    return attrs.field(default=default, metadata={_CHECKS: checks, _SECRET: secret}, **kwargs)


def positive(value: float) -> str | None:
    """Return an error text if the number is not above zero."""
    return None if value > 0 else "must be above 0"


def at_least_zero(value: float) -> str | None:
    """Return an error text if the number is negative."""
    return None if value >= 0 else "must not be negative"


def not_empty(value: str) -> str | None:
    """Return an error text if the string is empty."""
    return None if value else "must not be empty"


def http_address(value: str) -> str | None:
    """Return an error text if the string is not an HTTP address such as ``http://10.0.0.1:8080``."""
    if value.startswith(("http://", "https://")):
        return None
    return "must be an address such as http://10.0.0.1:8080"


class TableReader:
    """Reads one TOML file into attrs classes and collects all findings."""

    def __init__(self, file: str, text: str) -> None:
        self.file = file
        self.findings: list[Finding] = []
        self._text = text
        self.plain: dict[str, Any] = self._parse(text)

    @functools.cached_property
    def _line_index(self) -> LineIndex:
        return LineIndex(self._text)

    @property
    def failed(self) -> bool:
        """Whether any finding is an error."""
        return any(f.severity is Severity.ERROR for f in self.findings)

    def report(self, key: str, text: str, severity: Severity = Severity.ERROR) -> None:
        """Add a finding for ``key`` with its line number."""
        self.findings.append(Finding(self.file, self._line_index.line(key), key, text, severity))

    def read(self, cls: type[T], plain: Any = None, path: str = "") -> T | None:
        """Read ``plain`` (default: the whole file) as ``cls``; return ``None`` if it has errors."""
        table = self.plain if plain is None else plain
        if not isinstance(table, dict):
            self.report(path, "must be a table")
            return None
        fields = attrs.fields_dict(attrs.resolve_types(cls))
        self._report_unknown(table, list(fields), path)
        values: dict[str, Any] = {}
        complete = True
        for name, field in fields.items():
            key = f"{path}.{name}" if path else name
            if name in table:
                count = len(self.findings)
                values[name] = self._value(table[name], field.type, key)
                if len(self.findings) == count:
                    self._run_checks(field, values[name], key)
                complete = complete and len(self.findings) == count
            elif field.default is attrs.NOTHING:
                self.report(key, "is missing and has no default")
                complete = False
        return cls(**values) if complete else None

    def _parse(self, text: str) -> dict[str, Any]:
        try:
            return tomllib.loads(text)
        except tomllib.TOMLDecodeError as exc:
            match = _TOML_ERROR_LINE.search(str(exc))
            line = int(match.group(1)) if match else 0
            self.findings.append(Finding(self.file, line, "", f"not TOML: {exc}"))
            return {}

    def _report_unknown(self, table: dict[str, Any], names: list[str], path: str) -> None:
        for name in table:
            if name not in names:
                key = f"{path}.{name}" if path else name
                self.report(key, f"is not an option{nearest_match(name, names)}")

    def _run_checks(self, field: attrs.Attribute, value: Any, key: str) -> None:
        for check in field.metadata.get(_CHECKS, ()):
            error = check(value)
            if error:
                self.report(key, error)

    def _value(self, plain: Any, kind: Any, key: str) -> Any:
        origin = get_origin(kind)
        if origin is tuple:
            return self._array(plain, get_args(kind)[0], key)
        if origin is types.UnionType:
            kind = next(arg for arg in get_args(kind) if arg is not type(None))
        if attrs.has(kind):
            return self.read(kind, plain, key)
        if issubclass(kind, Enum):
            return self._choice(plain, kind, key)
        return self._scalar(plain, kind, key)

    def _array(self, plain: Any, kind: Any, key: str) -> tuple[Any, ...]:
        if not isinstance(plain, list):
            self.report(key, "must be an array")
            return ()
        return tuple(self._value(item, kind, f"{key}[{i}]") for i, item in enumerate(plain))

    def _choice(self, plain: Any, kind: type[Enum], key: str) -> Any:
        names = [member.value for member in kind]
        if plain in names:
            return kind(plain)
        hint = nearest_match(str(plain), names)
        self.report(key, f"must be one of {', '.join(names)}, not {plain!r}{hint}")
        return None

    def _scalar(self, plain: Any, kind: type, key: str) -> Any:
        if kind is float and isinstance(plain, int) and not isinstance(plain, bool):
            return float(plain)
        if isinstance(plain, kind) and not (kind is not bool and isinstance(plain, bool)):
            return plain
        words = {str: "a text", int: "a whole number", float: "a number", bool: "true or false"}
        self.report(key, f"must be {words[kind]}, not {plain!r}")
        return None


def nearest_match(name: str, names: list[str]) -> str:
    """Return a hint such as ``; did you mean "port"?`` or an empty string."""
    matches = difflib.get_close_matches(name, names, n=1)
    return f'; did you mean "{matches[0]}"?' if matches else ""
