"""Differences between two configurations, and the access that a change would remove."""

from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Any

import attrs

from vanillashore_schema._configuration import Configuration, EndpointRole


class ChangeKind(StrEnum):
    """Kind of a `Change`; its value is the sign shown in a terminal."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@attrs.frozen
class Change:
    """One row that differs.

    ``str()`` gives the terminal form::

        ~ workspace counter: rate_tokens_per_s 100.0 -> 200.0
    """

    kind: ChangeKind
    table: str
    name: str
    details: tuple[str, ...] = ()

    def __str__(self) -> str:
        details = f": {'; '.join(self.details)}" if self.details else ""
        return f"{self.kind.value} {self.table} {self.name}{details}"


@attrs.frozen
class AccessLoss:
    """A workspace that would lose all its keys, or a model or service all endpoints of a role.

    ``subject`` is the name by which an operator allows the change, such as ``workspace:counter``.
    """

    subject: str
    text: str

    def __str__(self) -> str:
        return f"{self.subject}: {self.text}"


_NAME_OF_ROW: dict[str, Callable[[Any], str]] = {
    "workspace": lambda row: row.name,
    "model": lambda row: row.name,
    "service": lambda row: row.name,
    "route": lambda row: f"{'|'.join(row.methods)} {row.path}",
    "endpoint": lambda row: row.vm,
    "quarantine": lambda row: row.fingerprint,
}


def difference(old: Configuration, new: Configuration) -> tuple[Change, ...]:
    """Return the changes from ``old`` to ``new``, ignoring the order of rows."""
    changes: list[Change] = []
    for table, name_of in _NAME_OF_ROW.items():
        before = {name_of(row): row for row in getattr(old, table)}
        after = {name_of(row): row for row in getattr(new, table)}
        changes += [Change(ChangeKind.REMOVED, table, n) for n in before if n not in after]
        changes += [Change(ChangeKind.ADDED, table, n) for n in after if n not in before]
        changes += [
            Change(ChangeKind.CHANGED, table, name, _details(row, after[name]))
            for name, row in before.items()
            if name in after and row != after[name]
        ]
    return tuple(changes)


def find_access_losses(old: Configuration, new: Configuration) -> tuple[AccessLoss, ...]:
    """Return what would lose its access: workspaces all keys, models and services all endpoints.

    A workspace whose keys are all replaced at once is included, since its callers still use the
    old ones. The prefill and decode endpoints of a model are checked separately.
    """
    return (*_workspaces_losing_keys(old, new), *_uses_losing_endpoints(old, new))


def _workspaces_losing_keys(old: Configuration, new: Configuration) -> Iterable[AccessLoss]:
    keys_after = {w.name: {key.sha256 for key in w.key} for w in new.workspace}
    for workspace in old.workspace:
        keys = {key.sha256 for key in workspace.key}
        if keys and not keys & keys_after.get(workspace.name, set()):
            yield AccessLoss(f"workspace:{workspace.name}", "would lose every key it has now")


def _uses_losing_endpoints(old: Configuration, new: Configuration) -> Iterable[AccessLoss]:
    remaining = _endpoints_by_use(new)
    for (role, subject), vms in _endpoints_by_use(old).items():
        if vms and not remaining.get((role, subject)):
            kind = "service" if role is EndpointRole.SERVICE else "model"
            yield AccessLoss(f"{kind}:{subject}", f"would lose every {role.value} endpoint")


def _endpoints_by_use(config: Configuration) -> dict[tuple[EndpointRole, str], set[str]]:
    vms_by_use: dict[tuple[EndpointRole, str], set[str]] = {}
    for endpoint in config.endpoint:
        use = (endpoint.role, endpoint.service or endpoint.model)
        vms_by_use.setdefault(use, set()).add(endpoint.vm)
    return vms_by_use


def _details(old: Any, new: Any) -> tuple[str, ...]:
    details: list[str] = []
    for field in attrs.fields(type(old)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after:
            continue
        if field.name == "key":
            details += _key_details(before, after)
        else:
            details.append(f"{field.name} {_format_value(before)} -> {_format_value(after)}")
    return tuple(details)


def _key_details(old: Iterable[Any], new: Iterable[Any]) -> list[str]:
    before = {key.sha256: key.id for key in old}
    after = {key.sha256: key.id for key in new}
    removed = [f"key {key_id} withdrawn" for sha, key_id in before.items() if sha not in after]
    added = [f"key {key_id} granted" for sha, key_id in after.items() if sha not in before]
    return removed + added or ["key descriptions changed"]


def _format_value(value: Any) -> str:
    if isinstance(value, tuple):
        return "[" + ", ".join(str(item) for item in value) + "]"
    return str(value) if value != "" else '""'
