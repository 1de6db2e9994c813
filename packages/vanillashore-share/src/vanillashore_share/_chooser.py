"""Who should own which share: the first table, substitutes for the gone, and a fair spread."""

import math
from collections import Counter
from collections.abc import Iterable

import attrs

from vanillashore_share._rates import PARTITIONS, SHARES
from vanillashore_wire import ShareRow

SPARE_PART = 0.25


@attrs.frozen
class HolderVm:
    """A VM whose process can own shares."""

    name: str
    data_centre: str
    region: str = ""


@attrs.frozen
class Move:
    """A share that should get another owner."""

    partition: int
    index: int
    to: str


def initial_rows(vms: Iterable[HolderVm]) -> tuple[ShareRow, ...]:
    """Divide all partitions among groups of three VMs, each in different data centres.

    The members of a group lend to each other only, so a VM has two peers for all of its loans.
    """
    names = [vm.name for vm in _interleaved(vms)]
    groups = _groups(names)
    rows = []
    for partition in range(PARTITIONS):
        group = groups[partition % len(groups)]
        turn = partition // len(groups) % SHARES
        rows.append(ShareRow(group[turn:] + group[:turn], (0,) * SHARES))
    return tuple(rows)


def apply_moves(rows: tuple[ShareRow, ...], moves: Iterable[Move]) -> tuple[ShareRow, ...]:
    """Return the rows after ``moves``; each share that moves gets a new epoch."""
    changed = list(rows)
    for move in moves:
        row = changed[move.partition]
        owners = list(row.owners)
        epochs = list(row.epochs)
        owners[move.index] = move.to
        epochs[move.index] += 1
        changed[move.partition] = ShareRow(tuple(owners), tuple(epochs))
    return tuple(changed)


def replacement_moves(
    rows: tuple[ShareRow, ...], gone: set[str], live: Iterable[HolderVm]
) -> list[Move]:
    """Give each share of a VM that is gone to the best live one."""
    choice = _Choice(rows, live)
    moves = []
    for partition, row in enumerate(rows):
        owners = list(row.owners)
        for index, owner in enumerate(row.owners):
            if owner not in gone:
                continue
            others = owners[:index] + owners[index + 1 :]
            to = choice.best(owner, [name for name in others if name not in gone])
            if to is not None:
                owners[index] = to
                moves.append(Move(partition, index, to))
    return moves


def rebalancing_moves(
    rows: tuple[ShareRow, ...], giver: str, live: Iterable[HolderVm]
) -> list[Move]:
    """Return the shares that ``giver`` should give away for a better spread.

    It keeps one share of a partition while others hold none of it, and no more shares than a fair
    part and some spare.
    """
    choice = _Choice(rows, live)
    moves = []
    owned = sum(row.owners.count(giver) for row in rows)
    fair = math.ceil(PARTITIONS * SHARES / max(1, choice.size) * (1 + SPARE_PART))
    for partition, row in enumerate(rows):
        for index in reversed(range(SHARES)):
            if row.owners[index] != giver:
                continue
            is_double = giver in row.owners[:index]
            if not is_double and owned <= fair:
                continue
            others = [*row.owners[:index], *row.owners[index + 1 :]]
            taken = [m.to for m in moves if m.partition == partition]
            to = choice.best(giver, [*others, *taken], only_new=True)
            if to is not None and to != giver:
                moves.append(Move(partition, index, to))
                owned -= 1
    return moves


def departure_moves(
    rows: tuple[ShareRow, ...], leaver: str, live: Iterable[HolderVm]
) -> list[Move]:
    """Return the moves of all shares of a VM that is leaving."""
    staying = [vm for vm in live if vm.name != leaver]
    return replacement_moves(rows, {leaver}, staying) if staying else []


class _Choice:
    """Chooses new owners: not yet in the row, elsewhere, and with few shares."""

    def __init__(self, rows: tuple[ShareRow, ...], live: Iterable[HolderVm]) -> None:
        self._live = {vm.name: vm for vm in live}
        self._load = Counter(owner for row in rows for owner in row.owners)
        self._chosen: dict[tuple[str, frozenset[str]], str] = {}
        self.size = len(self._live)

    def best(self, giver: str, others: list[str], only_new: bool = False) -> str | None:
        """Return the best owner beside ``others``, the same one for the same group."""
        new = [name for name in self._live if name not in others and name != giver]
        names = new if new or only_new else [name for name in self._live if name != giver]
        if not names:
            return None
        group = (giver, frozenset(others))
        name = self._chosen.get(group)
        if name not in names or self._is_loaded(name):
            name = min(names, key=lambda n: (self._crowding(n, others), self._load[n], n))
            self._chosen[group] = name
        self._load[name] += 1
        return name

    def _is_loaded(self, name: str) -> bool:
        return self._load[name] >= PARTITIONS * SHARES / self.size * (1 + SPARE_PART)

    def _crowding(self, name: str, others: list[str]) -> int:
        vm = self._live[name]
        beside = [self._live[other] for other in others if other in self._live]
        same_centre = sum(other.data_centre == vm.data_centre for other in beside)
        one_region = bool(beside) and all(other.region == vm.region for other in beside)
        return 2 * same_centre + one_region


def _interleaved(vms: Iterable[HolderVm]) -> list[HolderVm]:
    seen: Counter[str] = Counter()
    keyed = []
    for vm in sorted(vms, key=lambda vm: vm.name):
        place = (vm.region, vm.data_centre)
        keyed.append((seen[vm.data_centre], place, vm.name, vm))
        seen[vm.data_centre] += 1
    return [item[-1] for item in sorted(keyed, key=lambda item: item[:3])]


def _groups(names: list[str]) -> list[tuple[str, ...]]:
    if len(names) <= SHARES:
        return [tuple(names[i % len(names)] for i in range(SHARES))]
    groups = [tuple(names[i : i + SHARES]) for i in range(0, len(names), SHARES)]
    rest = groups[-1]
    if len(rest) < SHARES:
        groups[-1] = rest + tuple(names[: SHARES - len(rest)])
    return groups
