"""What differs between two configurations, and whom a change would cut off."""

from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Any

import attrs

from vanillashore_schema._configuration import Configuration, EndpointRole


class ChangeKind(StrEnum):
    """Kind of a `Change`; its value is the sign that a terminal shows."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@attrs.frozen
class Change:
    """One thing that differs.

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
    """Something that a change would leave without any key or endpoint.

    ``subject`` is what an operator names to allow it, such as ``workspace:counter``.
    """

    subject: str
    text: str

    def __str__(self) -> str:
        return f"{self.subject}: {self.text}"


_NAMES: dict[str, Callable[[Any], str]] = {
    "workspace": lambda row: row.name,
    "model": lambda row: row.name,
    "service": lambda row: row.name,
    "route": lambda row: f"{'|'.join(row.methods)} {row.path}",
    "endpoint": lambda row: row.vm,
    "quarantine": lambda row: row.fingerprint,
}


def difference(old: Configuration, new: Configuration) -> tuple[Change, ...]:
    """Return what changes from ``old`` to ``new``; the order of rows does not count."""
    changes: list[Change] = []
    for table, name_of in _NAMES.items():
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
    """Return the workspaces that would lose every key, and what would lose every endpoint.

    A workspace whose keys are all replaced at once is cut off too: its callers still hold the old
    ones. A model counts for prefill and for decode.
    """
    return (*_cut_workspaces(old, new), *_cut_endpoints(old, new))


def _cut_workspaces(old: Configuration, new: Configuration) -> Iterable[AccessLoss]:
    keys_after = {w.name: {key.sha256 for key in w.key} for w in new.workspace}
    for workspace in old.workspace:
        keys = {key.sha256 for key in workspace.key}
        if keys and not keys & keys_after.get(workspace.name, set()):
            yield AccessLoss(f"workspace:{workspace.name}", "would lose every key it has now")


def _cut_endpoints(old: Configuration, new: Configuration) -> Iterable[AccessLoss]:
    remaining = _endpoints_by_use(new)
    for (role, subject), vms in _endpoints_by_use(old).items():
        if vms and not remaining.get((role, subject)):
            kind = "service" if role is EndpointRole.SERVICE else "model"
            yield AccessLoss(f"{kind}:{subject}", f"would lose every {role.value} endpoint")


def _endpoints_by_use(config: Configuration) -> dict[tuple[EndpointRole, str], set[str]]:
    found: dict[tuple[EndpointRole, str], set[str]] = {}
    for endpoint in config.endpoint:
        use = (endpoint.role, endpoint.service or endpoint.model)
        found.setdefault(use, set()).add(endpoint.vm)
    return found


def _details(old: Any, new: Any) -> tuple[str, ...]:
    details: list[str] = []
    for field in attrs.fields(type(old)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after:
            continue
        if field.name == "key":
            details += _key_details(before, after)
        else:
            details.append(f"{field.name} {_shown(before)} -> {_shown(after)}")
    return tuple(details)


def _key_details(old: Iterable[Any], new: Iterable[Any]) -> list[str]:
    before = {key.sha256: key.id for key in old}
    after = {key.sha256: key.id for key in new}
    removed = [f"key {key_id} withdrawn" for sha, key_id in before.items() if sha not in after]
    added = [f"key {key_id} granted" for sha, key_id in after.items() if sha not in before]
    return removed + added or ["keys described anew"]


def _shown(value: Any) -> str:
    if isinstance(value, tuple):
        return "[" + ", ".join(str(item) for item in value) + "]"
    return str(value) if value != "" else '""'
