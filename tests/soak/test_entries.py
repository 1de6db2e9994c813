"""Processes of the soak."""

from pathlib import Path

from vanillashore_standins.soak._entries import EntryProcess


async def test_entry_that_is_stopped_right_after_its_start_ends_without_an_error(
    tmp_path: Path,
) -> None:
    async with EntryProcess("entry-1", "127.0.0.1:1", tmp_path, "") as entry:
        assert [await entry.stop() for _ in range(5)] == [0] * 5
