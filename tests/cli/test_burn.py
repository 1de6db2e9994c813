import asyncio
import random
from pathlib import Path

import orjson
import pytest
from hdrh.histogram import HdrHistogram

from vanillashore_cli import main
from vanillashore_cli._burn import merge
from vanillashore_cli._burn_chart import draw_chart
from vanillashore_standins.testing import FLEET_SECRET, FleetPlan, SmallFleet
from vanillashore_wire import BurnMeasure, BurnPage, BurnSeries

PNG_SIGNATURE = b"\x89PNG\r\n\x1a\n"
TARGET_MS = 1_600.0


def _series(values: list[int], workspace: str = "a", window_s: int = 300) -> BurnSeries:
    histogram = HdrHistogram(1, 3_600_000, 2)
    for value in values:
        histogram.record_value(value)
    good = sum(value <= TARGET_MS for value in values)
    return BurnSeries(
        window_s,
        "model m",
        workspace,
        BurnMeasure.FIRST_TOKEN,
        TARGET_MS,
        good,
        len(values) - good,
        histogram.encode().decode(),
    )


def test_merged_burn_covers_the_requests_of_all_entries() -> None:
    rng = random.Random(1)
    parts = [[rng.randint(1, 2_000) for _ in range(n)] for n in (10, 200, 1_000)]
    pages = [BurnPage(f"entry-{i}", (_series(part),)) for i, part in enumerate(parts)]
    values = sorted(value for part in parts for value in part)
    bad = sum(value > TARGET_MS for value in values)
    row = next(row for row in merge(pages) if row.workspace == "a")
    assert (row.cells["5m"].count, row.cells["5m"].bad) == (len(values), bad)
    assert row.cells["5m"].burn == pytest.approx(bad / len(values) / 0.05, abs=0.01)
    assert row.cells["5m"].p95_ms == pytest.approx(values[int(len(values) * 0.95)], rel=0.02)


def test_each_route_has_a_row_for_all_workspaces_and_the_worst_comes_first() -> None:
    page = BurnPage("entry", (_series([10] * 19 + [9_000], "good"), _series([9_000], "bad")))
    rows = merge([page])
    assert [(row.workspace, row.cells["5m"].burn) for row in rows] == [
        ("bad", 20.0),
        ("all", 1.9),
        ("good", 1.0),
    ]


def test_chart_is_drawn_with_and_without_rows(tmp_path: Path) -> None:
    rows = merge([BurnPage("entry", (_series([10, 9_000]), _series([10], "b", 3_600)))])
    for name, shown in (("full.png", rows), ("empty.png", [])):
        draw_chart(shown, ["entry-2"], tmp_path / name)
        assert (tmp_path / name).read_bytes().startswith(PNG_SIGNATURE)


async def test_report_names_the_entries_that_did_not_answer(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async with SmallFleet(FleetPlan(entries=2, prefills=0, decodes=0)) as fleet:
        platform = fleet.entries[0].core.cfg.platform
        settings = tmp_path / "operator.toml"
        settings.write_text(
            f'fleet_secret = "{FLEET_SECRET}"\n[platform]\n'
            f'store_address = "{platform.store_address}"\n'
            f'vm_list_address = "{platform.vm_list_address}"\n'
        )
        for entry in (0, 1):
            async with fleet.get(entry, "/stock") as response:
                await response.read()
        await fleet.entries[1].core.close()
        code = await asyncio.to_thread(main, ["burn", "--settings", str(settings), "--json"])
    data = orjson.loads(capsys.readouterr().out)
    assert code == 0
    assert (data["entries"], data["silent"]) == (1, ["entry-1"])
    counts = {(r["route"], r["workspace"]): r["cells"]["6h"]["count"] for r in data["rows"]}
    assert counts == {("GET /stock", "workspace-a"): 1, ("GET /stock", "all"): 1}
