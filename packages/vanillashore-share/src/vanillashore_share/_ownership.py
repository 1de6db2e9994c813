"""Assignment of shares to owners: initial table, replacement of lost owners and rebalancing."""

import math
from collections import Counter
from collections.abc import Iterable

import attrs

from vanillashore_share._rates import PARTITION_COUNT, SHARES_PER_PARTITION
from vanillashore_wire import ShareRow

SPARE_FRACTION = 0.25


@attrs.frozen
class HolderVm:
    """A VM whose process can own shares."""

    name: str
    data_centre: str
    region: str = ""


@attrs.frozen
class Move:
    """The transfer of a share to another owner."""

    partition: int
    index: int
    to: str


def initial_rows(vms: Iterable[HolderVm]) -> tuple[ShareRow, ...]:
    """Divide all partitions among groups of three VMs, each in different data centres.

    The members of a group lend only to each other, so a VM borrows from just two peers.
    """
    names = [vm.name for vm in _interleaved_by_data_centre(vms)]
    groups = _groups(names)
    rows = []
    for partition in range(PARTITION_COUNT):
        group = groups[partition % len(groups)]
        rotation = partition // len(groups) % SHARES_PER_PARTITION
        rows.append(ShareRow(group[rotation:] + group[:rotation], (0,) * SHARES_PER_PARTITION))
    return tuple(rows)


def apply_moves(rows: tuple[ShareRow, ...], moves: Iterable[Move]) -> tuple[ShareRow, ...]:
    """Return the rows after ``moves``; the epoch of each moved share increases by one."""
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
    rows: tuple[ShareRow, ...], lost: set[str], live: Iterable[HolderVm]
) -> list[Move]:
    """Return the moves that assign each share of a lost VM to the most suitable live VM."""
    selector = _OwnerSelector(rows, live)
    moves = []
    for partition, row in enumerate(rows):
        owners = list(row.owners)
        for index, owner in enumerate(row.owners):
            if owner not in lost:
                continue
            others = owners[:index] + owners[index + 1 :]
            to = selector.select(owner, [name for name in others if name not in lost])
            if to is not None:
                owners[index] = to
                moves.append(Move(partition, index, to))
    return moves


def rebalancing_moves(
    rows: tuple[ShareRow, ...], owner: str, live: Iterable[HolderVm]
) -> list[Move]:
    """Return the moves from ``owner`` to other VMs that spread the shares more evenly.

    If ``owner`` has several shares of one partition, all but one of them move to VMs that own none
    of it, if there are any. Further shares move while ``owner`` has more than an even part of all
    shares plus `SPARE_FRACTION`.
    """
    selector = _OwnerSelector(rows, live)
    moves = []
    owned = sum(row.owners.count(owner) for row in rows)
    fair_count = math.ceil(
        PARTITION_COUNT * SHARES_PER_PARTITION / max(1, selector.size) * (1 + SPARE_FRACTION)
    )
    for partition, row in enumerate(rows):
        for index in reversed(range(SHARES_PER_PARTITION)):
            if row.owners[index] != owner:
                continue
            is_duplicate = owner in row.owners[:index]
            if not is_duplicate and owned <= fair_count:
                continue
            others = [*row.owners[:index], *row.owners[index + 1 :]]
            new_owners = [m.to for m in moves if m.partition == partition]
            to = selector.select(owner, [*others, *new_owners], only_new=True)
            if to is not None and to != owner:
                moves.append(Move(partition, index, to))
                owned -= 1
    return moves


def departure_moves(
    rows: tuple[ShareRow, ...], leaving: str, live: Iterable[HolderVm]
) -> list[Move]:
    """Return the moves of all shares of a VM that is shutting down."""
    staying = [vm for vm in live if vm.name != leaving]
    return replacement_moves(rows, {leaving}, staying) if staying else []


class _OwnerSelector:
    """Selects new owners for shares.

    Prefers VMs that own no share of the partition, then other data centres and regions than those
    of the other owners, then VMs that own few shares.
    """

    def __init__(self, rows: tuple[ShareRow, ...], live: Iterable[HolderVm]) -> None:
        self._live = {vm.name: vm for vm in live}
        self._share_counts = Counter(owner for row in rows for owner in row.owners)
        self._selected: dict[tuple[str, frozenset[str]], str] = {}
        self.size = len(self._live)

    def select(self, owner: str, others: list[str], only_new: bool = False) -> str | None:
        """Return the best new owner of a share of ``owner``; ``others`` own the other shares.

        Shares with the same owners get the same new owner, until that one owns too many shares.
        """
        new = [name for name in self._live if name not in others and name != owner]
        names = new if new or only_new else [name for name in self._live if name != owner]
        if not names:
            return None
        group = (owner, frozenset(others))
        name = self._selected.get(group)
        if name not in names or self._is_loaded(name):
            name = min(
                names, key=lambda n: (self._colocation_penalty(n, others), self._share_counts[n], n)
            )
            self._selected[group] = name
        self._share_counts[name] += 1
        return name

    def _is_loaded(self, name: str) -> bool:
        return self._share_counts[name] >= PARTITION_COUNT * SHARES_PER_PARTITION / self.size * (
            1 + SPARE_FRACTION
        )

    def _colocation_penalty(self, name: str, others: list[str]) -> int:
        vm = self._live[name]
        co_owners = [self._live[other] for other in others if other in self._live]
        same_centre = sum(other.data_centre == vm.data_centre for other in co_owners)
        one_region = bool(co_owners) and all(other.region == vm.region for other in co_owners)
        return 2 * same_centre + one_region


def _interleaved_by_data_centre(vms: Iterable[HolderVm]) -> list[HolderVm]:
    seen: Counter[str] = Counter()
    keyed = []
    for vm in sorted(vms, key=lambda vm: vm.name):
        location = (vm.region, vm.data_centre)
        keyed.append((seen[vm.data_centre], location, vm.name, vm))
        seen[vm.data_centre] += 1
    return [item[-1] for item in sorted(keyed, key=lambda item: item[:3])]


def _groups(names: list[str]) -> list[tuple[str, ...]]:
    if len(names) <= SHARES_PER_PARTITION:
        return [tuple(names[i % len(names)] for i in range(SHARES_PER_PARTITION))]
    groups = [
        tuple(names[i : i + SHARES_PER_PARTITION])
        for i in range(0, len(names), SHARES_PER_PARTITION)
    ]
    rest = groups[-1]
    if len(rest) < SHARES_PER_PARTITION:
        groups[-1] = rest + tuple(names[: SHARES_PER_PARTITION - len(rest)])
    return groups
