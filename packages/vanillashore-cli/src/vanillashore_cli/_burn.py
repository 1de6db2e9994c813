"""The burn report: how fast each route and workspace consumes its error budget."""

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

import attrs
from hdrh.histogram import HdrHistogram

from vanillashore_cli._burn_chart import draw_chart
from vanillashore_cli._burn_rows import BurnCell, BurnRow
from vanillashore_cli._fleet import Fleet
from vanillashore_cli._report import Report
from vanillashore_wire import BurnMeasure, BurnPage, BurnSeries, structure

ALL_WORKSPACES = "all"
ENTRY_KIND = "entry"
TARGET_GOOD_SHARE = 0.95
MAX_LATENCY_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
PERCENTILE = 95
WINDOW_NAMES = {300: "5m", 1_800: "30m", 3_600: "1h", 21_600: "6h"}


@attrs.define
class _MergedSeries:
    """The series of all entries for one window, merged."""

    target_ms: float = 0.0
    good: int = 0
    bad: int = 0
    histogram: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
    )

    def add(self, series: BurnSeries) -> None:
        self.target_ms = series.target_ms
        self.good += series.good
        self.bad += series.bad
        self.histogram.decode_and_add(series.histogram.encode())

    def cell(self) -> BurnCell:
        total = self.good + self.bad
        burn = self.bad / total / (1 - TARGET_GOOD_SHARE) if total else 0.0
        p95_ms = self.histogram.get_value_at_percentile(PERCENTILE)
        return BurnCell(total, self.bad, round(burn, 2), p95_ms, self.target_ms)


async def burn(settings: Path, picture: Path | None) -> Report:
    """Merge the statistics of all entries in the VM list; name those that did not answer."""
    async with Fleet.open(settings) as fleet:
        answers = await fleet.request_all("/internal/burn", ENTRY_KIND)
    pages = [structure(answer.body, BurnPage) for answer in answers if answer.body]
    silent = [answer.vm.name for answer in answers if answer.body is None]
    rows = merge(pages)
    lines = _table_lines(rows)
    lines.append(f"merged from {len(pages)} entries")
    if silent:
        lines.append(f"no answer from {', '.join(silent)}: their requests are not included")
    if picture is not None:
        draw_chart(rows, silent, picture)
        lines.append(f"picture written to {picture}")
    data = {
        "good_share": TARGET_GOOD_SHARE,
        "entries": len(pages),
        "silent": silent,
        "rows": [attrs.asdict(row) for row in rows],
    }
    return Report(lines, data)


def merge(pages: Iterable[BurnPage]) -> list[BurnRow]:
    """Merge the pages by route, workspace, measure and window; the worst burn comes first.

    Each route also gets a row for all its workspaces together.
    """
    merged: dict[tuple[str, str, BurnMeasure], dict[int, _MergedSeries]] = defaultdict(
        lambda: defaultdict(_MergedSeries)
    )
    for page in pages:
        for series in page.series:
            for workspace in (series.workspace, ALL_WORKSPACES):
                merged[series.route, workspace, series.measure][series.window_s].add(series)
    rows = [_build_row(*key, windows) for key, windows in merged.items()]
    return sorted(rows, key=lambda row: (-row.worst, row.route, row.workspace, row.measure))


def _build_row(
    route: str, workspace: str, measure: BurnMeasure, windows: dict[int, _MergedSeries]
) -> BurnRow:
    cells = {
        name: windows[window_s].cell()
        for window_s, name in WINDOW_NAMES.items()
        if window_s in windows
    }
    return BurnRow(route, workspace or "(open)", measure.value, cells)


def _table_lines(rows: list[BurnRow]) -> list[str]:
    head = f"{'route':<26} {'workspace':<16} {'measure':<12} {'target':>9} {'p95':>9}"
    windows = "".join(f" {name:>7}" for name in WINDOW_NAMES.values())
    lines = [f"{head} {'count':>8}{windows}"]
    for row in rows:
        cell = row.longest
        line = f"{row.route:<26} {row.workspace:<16} {row.measure:<12}"
        line += f" {cell.target_ms:>6.0f} ms {cell.p95_ms:>6.0f} ms {cell.count:>8}"
        for name in WINDOW_NAMES.values():
            line += f" {row.cells[name].burn:>7.2f}" if name in row.cells else f" {'-':>7}"
        lines.append(line)
    lines.append("burn 1 uses up the budget (5 in 100 requests over target) exactly; p95 over 6h")
    return lines
