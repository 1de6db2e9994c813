"""The burn report as a chart."""

from pathlib import Path

from vanillashore_cli._burn_rows import BurnRow

MAX_ROWS = 40
ROW_HEIGHT_INCHES = 0.34
MARGIN_HEIGHT_INCHES = 1.6
WIDTH_INCHES = 9.0
MAX_COLOUR_BURN = 2.0
DOTS_PER_INCH = 110


def draw_chart(rows: list[BurnRow], silent: list[str], path: Path) -> None:
    """Draw the worst rows as a grid of windows, from green (no burn) to red (2 or more)."""
    from matplotlib.figure import Figure

    shown = rows[:MAX_ROWS]
    windows = list(dict.fromkeys(name for row in shown for name in row.cells))
    height = MARGIN_HEIGHT_INCHES + ROW_HEIGHT_INCHES * max(1, len(shown))
    figure = Figure(figsize=(WIDTH_INCHES, height), layout="constrained")
    axes = figure.add_subplot()
    burns = [
        [row.cells[name].burn if name in row.cells else float("nan") for name in windows]
        for row in shown
    ]
    if shown:
        axes.imshow(burns, cmap="RdYlGn_r", vmin=0, vmax=MAX_COLOUR_BURN, aspect="auto", alpha=0.75)
    for y, row in enumerate(shown):
        for x, name in enumerate(windows):
            cell = row.cells.get(name)
            text = f"{cell.burn:.2f}  ({cell.bad} of {cell.count})" if cell else "no requests"
            axes.text(x, y, text, ha="center", va="center", fontsize=8)
    axes.set_xticks(range(len(windows)), windows)
    axes.set_yticks(range(len(shown)), [_label(row) for row in shown], fontsize=8)
    axes.xaxis.tick_top()
    figure.suptitle("Error-budget burn by window (1 uses up the budget exactly)", fontsize=11)
    note = f"no answer from {', '.join(silent)}" if silent else "all entries answered"
    axes.set_xlabel(f"{len(shown)} of {len(rows)} rows, worst first; {note}", fontsize=8)
    figure.savefig(path, dpi=DOTS_PER_INCH, format="png")


def _label(row: BurnRow) -> str:
    measure = row.measure.replace("_", " ")
    cell = row.longest
    latency = f"p95 {cell.p95_ms:.0f} of {cell.target_ms:.0f} ms"
    return f"{row.route}, {row.workspace}: {measure}\n{latency}"
