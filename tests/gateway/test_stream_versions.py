"""Streams while endpoints of several software versions serve side by side."""

from typing import Any

from vanillashore_standins.platform_rig import PlatformRig


async def test_logs_tell_which_stream_is_taken_up_and_at_which_version(
    log_lines: list[dict[str, Any]],
) -> None:
    async with PlatformRig(prefills=1, decodes=1) as rig:
        await rig.generate("/quote/1", "id-2", Resumes="id-1", Last_Event_Id="3")
    admitted = next(line for line in log_lines if line["message"] == "admitted")
    assert (admitted["resumes"], admitted["last_event_id"]) == ("id-1", 3)
    reserved = next(line for line in log_lines if line["message"] == "slot reserved")
    assert reserved["software"] == "v1"
