"""Decoding of the platform's configuration, endpoints, settings and headers."""

from typing import Any

import orjson
import pytest

from vanillashore_adapter import (
    PlatformDialect,
    SettingsError,
    decode_config,
    decode_endpoint,
    parse_settings,
)
from vanillashore_gateway import (
    DEFAULT_RANK,
    EndpointRole,
    Load,
    OutboundRequest,
    RefusalError,
    RequestHead,
    ResponseHead,
    RouteKind,
    RouteTable,
    Target,
)

SETTINGS = """node_name=edge-a-1
zone=alex-a
listen.front=10.1.0.3:8360
listen.ready=10.1.0.3:8365
internal_ports=7500,7515
seeds=10.1.0.3:8367,10.2.0.18:8367
platform.address=10.200.1.7:8361
bounds.retry_slack=52
a.new.field=whatever
"""
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "ficu95.example",
            "path_prefix": "/lohu930/",
            "kind": "streaming",
            "timeout_ms": 14000,
            "target_latency_ms": 900,
            "priority": 1,
            "traffic_split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
            "max_attempts": 2,
            "auth_exempt": False,
            "session_affinity": True,
            "resumable": True,
            "gap_target_ms": 300,
        }
    ],
    "services": [{"name": "a", "max_connections": 160, "engine": {"kv_hold_s": 0.5, "slots": 16}}],
    "limits": {"idle_timeout_ms": 15000},
    "tenants": [
        {
            "name": "t",
            "api_keys": ["k1", "k2"],
            "unit": "token_stream",
            "plain_tokens": 200,
            "rate_per_s": 47000,
            "burst": 47000,
        }
    ],
}
ENDPOINT = {
    "service": "a",
    "address": "10.128.0.9:8080",
    "zone": "alex-a",
    "slots": 16,
    "state": "ready",
    "stage": "decode",
    "sequence": 4,
}


def test_configuration_is_decoded() -> None:
    config = decode_config(orjson.dumps(CONFIG))
    route = config.routes[0]
    assert (route.kind, route.timeout_s, route.target_s) == (RouteKind.STREAMING, 14.0, 0.9)
    assert route.targets == (Target("a", 90), Target("b", 10))
    assert (route.is_resumable, route.is_generation, route.max_attempts) == (True, True, 2)
    assert config.services[0].kv_hold_s == 0.5
    assert config.workspaces[0].keys == {"k1", "k2"}
    assert config.workspaces[0].plain_tokens == 200
    assert config.limits.idle_timeout_s == 15.0


@pytest.mark.parametrize(
    "change",
    [{"version": "7"}, {"routes": {}}, {"routes": [{}]}, {"routes": [7]}, {"tenants": [{}]}],
)
def test_malformed_configuration_is_an_error(change: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=r"."):
        decode_config(orjson.dumps(CONFIG | change))


def test_endpoint_is_decoded() -> None:
    endpoint = decode_endpoint("i-1", orjson.dumps(ENDPOINT))
    assert (endpoint.address, endpoint.role) == ("10.128.0.9:8080", EndpointRole.DECODE)
    assert (endpoint.data_centre, endpoint.slots) == ("alex-a", 16)
    plain = {k: v for k, v in ENDPOINT.items() if k != "stage"}
    assert decode_endpoint("i-1", orjson.dumps(plain)).role is EndpointRole.SERVICE
    assert decode_endpoint("i-1", orjson.dumps(ENDPOINT | {"state": "draining"})).is_leaving


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"state": 1},
        {"address": "10.0.0.1"},
        {"address": "host:80"},
        {"service": None},
        {"stage": "both"},
        {"slots": "many"},
    ],
)
def test_unusable_endpoint_is_an_error(change: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=r"."):
        decode_endpoint("i-1", orjson.dumps(ENDPOINT | change))


@pytest.mark.parametrize(("cold_ms", "cold_s"), [(2500, 2.5), (0, 0.0), (None, None), (-1, None)])
def test_cold_time_of_an_endpoint(cold_ms: int | None, cold_s: float | None) -> None:
    record = ENDPOINT | ({} if cold_ms is None else {"cold_remaining_ms": cold_ms})
    assert decode_endpoint("i-1", orjson.dumps(record)).cold_s == cold_s


def test_cold_rate_of_a_service() -> None:
    service = {"name": "a", "cold_start_s": 8, "cold_per_s": 2.5}
    found = decode_config(orjson.dumps(CONFIG | {"services": [service]})).services[0]
    assert (found.cold_start_s, found.cold_per_s) == (8.0, 2.5)
    without = decode_config(orjson.dumps(CONFIG | {"services": [{"name": "a"}]})).services[0]
    assert (without.cold_start_s, without.cold_per_s) == (0.0, 0.0)


@pytest.mark.parametrize(
    ("value", "cold_s"),
    [(b"2500", 2.5), (b"0", 0.0), (None, 0.0), (b"soon", 0.0), (b"-5", 0.0), (b"999999999", 600.0)],
)
def test_cold_time_in_an_answer(value: bytes | None, cold_s: float) -> None:
    headers = () if value is None else ((b"X-Cold-Ms", value),)
    answer = PlatformDialect().decode_answer(ResponseHead(200, b"OK", headers))
    assert answer.cold_s == cold_s


def test_settings_are_parsed() -> None:
    settings = parse_settings(SETTINGS)
    assert (settings.node, settings.front, settings.store) == (
        "edge-a-1",
        ("10.1.0.3", 8360),
        ("10.200.1.7", 8361),
    )
    assert (settings.internal_port, settings.seeds, settings.retry_slack) == (7515, 2, 52.0)


def test_all_invalid_settings_are_reported_at_once() -> None:
    text = SETTINGS.replace("zone=alex-a", "zone=").replace("8360", "x").replace("=52", "=lots")
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    for part in ("zone is missing", "listen.front=10.1.0.3:x", "bounds.retry_slack=lots"):
        assert part in str(caught.value)


def _head(*headers: tuple[bytes, bytes]) -> RequestHead:
    own = ((b"Host", b"a.example"), (b"X-Request-Id", b"id-1"))
    return RequestHead(b"POST", b"/p/x?y=1", (*own, *headers))


@pytest.mark.parametrize(
    "header",
    [
        (b"X-Request-Id", b"id-2"),
        (b"Host", b"b.example"),
        (b"X-Deadline-Ms", b"soon"),
        (b"X-Token-Count", b"many"),
        (b"X-Token-Count", b"1"),
        (b"Last-Event-Id", b"-1"),
    ],
)
def test_ambiguous_or_malformed_request_is_refused(header: tuple[bytes, bytes]) -> None:
    with pytest.raises(RefusalError):
        PlatformDialect().decode_request(_head(header), b"", 0.0)


@pytest.mark.parametrize(
    ("values", "parts"),
    [
        ((b"c0:120,BAD0:30, 9f:4",), ("c0", "bad0", "9f")),
        ((b"c0:120",), ("c0",)),
        ((), ()),
        ((b"",), ()),
        ((b"c0:120,",), ()),
        ((b"c0",), ()),
        ((b"c0:x",), ()),
        ((b"chat:1",), ()),
        ((b"c0:1", b"c1:1"), ()),
        ((b"a" * 65 + b":1",), ()),
    ],
)
def test_parts_of_a_prompt(values: tuple[bytes, ...], parts: tuple[str, ...]) -> None:
    head = _head(*((b"X-Prompt-Prefix", value) for value in values))
    assert PlatformDialect().decode_request(head, b"", 0.0).prompt_parts == parts


def test_request_is_decoded() -> None:
    head = _head(
        (b"X-Token-Count", b"1460,80"),
        (b"X-Length-Hint", b"500"),
        (b"X-Deadline-Ms", b"14000"),
        (b"authorization", b"bearer k1"),
    )
    req = PlatformDialect().decode_request(head, b"", 5.0)
    assert (req.path, req.key, req.deadline) == ("/p/x", "k1", 19.0)
    assert (
        req.generation_size.input_tokens,
        req.generation_size.max_output_tokens,
        req.generation_size.expected_output_tokens,
    ) == (1460, 80, 80)


@pytest.mark.parametrize(
    ("status", "headers", "not_run"),
    [
        (503, ((b"X-Not-Executed", b"1"),), True),
        (503, (), False),
        (421, (), True),
        (500, ((b"X-Server-Seal", b"s"),), False),
        (200, ((b"X-Server-Seal", b"s"),), False),
    ],
)
def test_only_an_endpoints_statement_counts_as_not_run(
    status: int, headers: tuple[tuple[bytes, bytes], ...], not_run: bool
) -> None:
    assert (
        PlatformDialect().decode_answer(ResponseHead(status, b"", headers)).was_not_run is not_run
    )


def test_statuses_that_make_callers_repeat_any_request() -> None:
    statuses = range(200, 600)
    heads = [PlatformDialect().decode_answer(ResponseHead(s, b"", ())) for s in statuses]
    assert [head.status for head in heads if head.implies_not_run] == [408, 421, 429, 503]


@pytest.mark.parametrize(
    ("value", "limit_per_s"),
    [(None, None), (b"4", 4.0), (b" 0.25 ", 0.25), (b"-1", None), (b"1e3", None), (b"nan", None)],
)
def test_request_limit_of_an_answer(value: bytes | None, limit_per_s: float | None) -> None:
    headers = () if value is None else ((b"Server-Limit", value),)
    head = PlatformDialect().decode_answer(ResponseHead(200, b"OK", headers))
    assert head.limit_per_s == limit_per_s


@pytest.mark.parametrize(
    ("value", "is_leaving"),
    [(None, False), (b"1", True), (b" 1 ", True), (b"0", False), (b"soon", False), (b"", False)],
)
def test_leaving_in_an_answer(value: bytes | None, is_leaving: bool) -> None:
    headers = () if value is None else ((b"Server-Leaving", value),)
    head = PlatformDialect().decode_answer(ResponseHead(503, b"", headers))
    assert head.is_leaving is is_leaving


@pytest.mark.parametrize(
    ("headers", "resumes"),
    [
        ((), None),
        (((b"Resumes", b"r-1"),), "r-1"),
        (((b"resumes", b"a"), (b"Resumes", b"b")), None),
    ],
)
def test_request_that_brought_the_first_event_of_a_stream(headers: Any, resumes: Any) -> None:
    required = ((b"Host", b"h"), (b"X-Request-Id", b"r-2"), (b"Last-Event-Id", b"3"))
    req = PlatformDialect().decode_request(
        RequestHead(b"POST", b"/p", (*required, *headers)), b"", 0.0
    )
    assert (req.resumes, req.last_event_id) == (resumes, 3)
    forwarded = [value for name, value in req.headers if name.lower() == b"resumes"]
    assert forwarded == [value for _, value in headers]


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,1,8", Load(3, 1, 8, 1.0)),
        (b"3,1,8,250", Load(3, 1, 8, 2.5)),
        (b"3,1", None),
        (b"3,1,8,250,7", None),
        (b"3,1,8,fast", None),
    ],
)
def test_load_of_an_endpoint(value: bytes, load: Load | None) -> None:
    head = ResponseHead(200, b"OK", ((b"X-Server-Load", value),))
    assert PlatformDialect().decode_answer(head).load == load


def test_rank_of_a_workspace_takes_precedence_over_the_routes() -> None:
    first = CONFIG["routes"][0]
    routes = [first, {**first, "name": "r-2", "path_prefix": "/free/", "priority": 2}]
    paying, free = (
        {**CONFIG["tenants"][0], "name": str(rank), "api_keys": [str(rank)], "priority": rank}
        for rank in (0, 1)
    )
    config = decode_config(orjson.dumps({**CONFIG, "routes": routes, "tenants": [paying, free]}))
    table = RouteTable(config)
    order = [(w, r) for w in config.workspaces for r in config.routes]
    assert [table.rank(route, workspace) for workspace, route in order] == [0, 1, 2, 3]
    assert table.ranked_services == {"a", "b"}


def test_requests_without_ranks_have_the_usual_one() -> None:
    table = RouteTable(decode_config(orjson.dumps(CONFIG)))
    assert table.rank(table.config.routes[0], table.config.workspaces[0]) == DEFAULT_RANK
    assert not table.ranked_services


def test_rank_is_stated_to_the_endpoint() -> None:
    head = _head((b"X-Request-Priority", b"0"))
    req = PlatformDialect().decode_request(head, b"", 0.0)
    endpoint = decode_endpoint("i-1", orjson.dumps(ENDPOINT))
    sent = PlatformDialect().encode_outbound(OutboundRequest(req, endpoint, "", 1.0, rank=2))
    assert sent.count(b"X-Request-Priority") == 1
    assert b"X-Request-Priority: 2\r\n" in sent


DIGITS = b"9" * 5_000  # Python refuses to convert more than 4,300.


@pytest.mark.parametrize(
    "header",
    [
        (b"X-Deadline-Ms", DIGITS),
        (b"X-Deadline-Ms", b"9" * 400),
        (b"Last-Event-Id", DIGITS),
        (b"X-Token-Count", DIGITS + b",1"),
        (b"X-Token-Count", b"1," + b"9" * 20),
    ],
    ids=range(5),
)
def test_number_of_a_caller_that_is_too_large_is_refused(header: tuple[bytes, bytes]) -> None:
    with pytest.raises(RefusalError) as caught:
        PlatformDialect().decode_request(_head(header), b"", 0.0)
    assert caught.value.refused.status == 400


def test_length_hint_that_is_too_large_is_ignored() -> None:
    head = _head((b"X-Token-Count", b"10,20"), (b"X-Length-Hint", DIGITS))
    assert PlatformDialect().decode_request(head, b"", 0.0).generation_size.max_output_tokens == 20


@pytest.mark.parametrize(
    "header",
    [
        (b"X-Server-Load", DIGITS + b",0,8"),
        (b"X-Server-Load", b"1,0," + b"9" * 400),
        (b"Server-Limit", DIGITS),
        (b"Retry-After", b"9" * 400),
        (b"X-Cold-Ms", DIGITS),
    ],
    ids=range(5),
)
def test_number_of_an_endpoint_that_is_too_large_spoils_no_answer(
    header: tuple[bytes, bytes],
) -> None:
    answer = PlatformDialect().decode_answer(ResponseHead(503, b"Status", (header,)))
    assert answer.load is None
    assert answer.limit_per_s is None
    assert answer.pause_s <= 86_400.0


@pytest.mark.parametrize("hold", [b'"' + b"h" * 300 + b'"', b'"h\\r\\nX-Tenant: b"', b"[7]", b'""'])
def test_reservation_with_an_odd_name_is_an_error(hold: bytes) -> None:
    with pytest.raises(ValueError, match="hold"):
        PlatformDialect().decode_hold(200, b'{"hold":' + hold + b"}")


def test_deeply_nested_names_are_errors() -> None:
    nested = b"[" * 1_000 + b"]" * 1_000
    with pytest.raises(ValueError, match="hold"):
        PlatformDialect().decode_hold(200, b'{"hold":' + nested + b"}")
    with pytest.raises(ValueError, match="cache"):
        PlatformDialect().decode_handle(b'{"kv_handle":' + nested + b"}")
