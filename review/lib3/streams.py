"""A configuration with one route of streams that may be resumed, and a client of it."""

from lib3.entry import Entry
from lib3.http import Outcome, call

HOST = "ficu95.example"
KEY = "3d3zji9n73hh2b9wu3fe"


def stream_config(max_attempts: int) -> dict[str, object]:
    """Return the configuration."""
    route = {
        "name": "r-quote",
        "host": HOST,
        "path_prefix": "/quote/",
        "kind": "streaming",
        "timeout_ms": 14_000,
        "target_latency_ms": 900,
        "priority": 1,
        "service": "huvo11a",
        "max_attempts": max_attempts,
        "auth_exempt": False,
        "session_affinity": True,
        "resumable": True,
        "gap_target_ms": 300,
    }
    engine = {"slots": 16, "kv_capacity_tokens": 32_224, "kv_hold_s": 0.5, "hold_ms": 2_000.0}
    service = {"name": "huvo11a", "health_path": "/healthz", "max_connections": 160}
    tenant = {"name": "huka270", "api_keys": [KEY], "unit": "token_stream", "plain_tokens": 200}
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [service | {"engine": engine}],
        "limits": limits,
        "tenants": [tenant | {"rate_per_s": 470_000, "burst": 470_000}],
    }


async def send_stream(
    entry: Entry, number: int, last_event: int | None = None
) -> tuple[str, Outcome]:
    """Send one stream request, or take a stream up after ``last_event``."""
    request_id = f"{number:016x}"
    headers = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Model": "m",
        "X-Token-Count": "3000,66",
        "X-Prompt-Prefix": f"5c1e07a2:200,{number:08x}:2800",
        "X-Deadline-Ms": "14000",
        "Authorization": f"Bearer {KEY}",
    }
    if last_event is not None:
        headers["Last-Event-Id"] = str(last_event)
    outcome = await call(entry.front, "POST", f"/quote/{number}", headers, b"a brief" * 400, 14.0)
    return request_id, outcome
