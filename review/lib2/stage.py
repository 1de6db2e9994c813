"""Stand-ins of the platform, replicas and clients for the scripts of the second review.

Everything runs on loopback addresses and the real clock, and needs only the standard library. The
entries are the project's own processes, started with the command of the deploy file.
"""

import asyncio
import base64
import bisect
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
RUN = ["python3", "deploy/entry.py", "entry"]  # As in deploy/system.toml.
HOST = "127.0.0.1"
PORTS = (15_000, 31_000)  # Below those that the kernel gives to connections.
PAGE_ITEMS = 500
HISTORY_S = 20.0
HEARTBEAT_S = 1.2
KEY = "3d3zji9n73hh2b9wu3fe"
TENANT = "huka270"
NAME = "ficu95.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def now():
    """Return the time on the steady clock."""
    return time.monotonic()


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                return False
    return True


def free_ports(count, size=1):
    """Return the first ports of ``count`` rows of free ports, apart from those of connections."""
    firsts = []
    while len(firsts) < count:
        first = random.randrange(*PORTS)
        is_known = any(abs(first - known) < size for known in firsts)
        if not is_known and all(_is_free(first + i) for i in range(size)):
            firsts.append(first)
    return firsts


class Record:
    """Writes what happens, with the time since the start, to a file."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115 (closed by the process)
        self._began = now()

    def at(self):
        """Return the seconds since the start."""
        return now() - self._began

    def write(self, text):
        """Write one line."""
        self._file.write(f"{self.at():9.3f}  {text}\n")
        self._file.flush()


class Request:
    """A request as received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path = urlsplit(target).path
        self.query = {name: values[0] for name, values in parse_qs(urlsplit(target).query).items()}
        self.headers = headers
        self.body = body

    def get(self, name):
        """Return a header, named in lower case, or an empty text."""
        return self.headers.get(name, "")

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


async def read_head(reader):
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


def render(status, headers, body):
    """Return an answer with a length."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = f"HTTP/1.1 {status} -\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """An HTTP/1.1 server: one request at a time on a connection."""

    drops_on_close = True

    def __init__(self):
        self.port = 0
        self.writers = set()
        self._server = None

    @property
    def address(self):
        """Return HOST:PORT."""
        return f"{HOST}:{self.port}"

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Stop listening, and reset all connections."""
        self._server.close()
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                req = Request(method, target, headers, body)
                handler = asyncio.ensure_future(self.handle(req, writer))
                gone = asyncio.ensure_future(reader.read(1))
                await asyncio.wait((handler, gone), return_when=asyncio.FIRST_COMPLETED)
                if not handler.done():  # The caller has left, or breaks the protocol.
                    if self.drops_on_close:
                        handler.cancel()
                    await asyncio.wait((handler,))
                    break
                gone.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await gone
                if not handler.result():
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, req, writer):
        """Answer a request; return whether the connection is kept."""
        raise NotImplementedError


class Store(Server):
    """The platform's key-value store: items, leases, watches."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.era = 1
        self.revision = 100
        self.items = {}
        self._events = []
        self._changed = asyncio.Event()
        self._leases = {}
        self._lease_numbers = itertools.count(77_000)

    def put(self, key, value, lease=0):
        """Write an item; return when it was acknowledged."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self._publish(dict(self.items[key]))
        return now()

    def remove(self, key):
        """Remove an item; return when that was acknowledged."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"key": key, "revision": self.revision, "deleted": True})
        return now()

    def _publish(self, event):
        self._events.append((self.revision, now(), event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, lease):
        timer = self._leases.pop(lease, None)
        if timer is None:
            return False
        timer[0].cancel()
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        return True

    def _set_lease(self, lease, ttl_ms):
        if lease in self._leases:
            self._leases[lease][0].cancel()
        timer = asyncio.get_running_loop().call_later(ttl_ms / 1e3, self._end_lease, lease)
        self._leases[lease] = (timer, ttl_ms)

    async def handle(self, req, writer):
        """Answer a call."""
        status, body = await self._call(req)
        headers = {"Content-Type": "application/json", "Store-Era": self.era}
        writer.write(render(status, headers, json.dumps(body).encode()))
        return True

    async def _call(self, req):
        name, _, rest = req.path.removeprefix("/-/").partition("/")
        if name == "kv-key":
            item = self.items.get(req.query["key"])
            return (200, item | {"at": self.revision}) if item else (404, {})
        if name == "kv-range":
            return 200, self._range(req.query)
        if name == "kv-watch":
            return await self._watch(req.query)
        if name == "kv-txn":
            return self._txn(req.json())
        if name == "kv-lease":
            lease, ttl_ms = next(self._lease_numbers), req.json()["ttl_ms"]
            self._set_lease(lease, ttl_ms)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        if name == "kv-keep":
            lease = int(unquote(rest))
            if lease not in self._leases:
                return 404, {}
            self._set_lease(lease, self._leases[lease][1])
            return 200, {"ttl_ms": self._leases[lease][1]}
        if name == "kv-lease-end":
            return (200, {}) if self._end_lease(int(unquote(rest))) else (404, {})
        return 400, {}

    def _range(self, query):
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        rows = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return {"items": rows, "has_more": len(keys) > PAGE_ITEMS, "at": self.revision}

    async def _watch(self, query):
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        until = now() + min(30_000, int(query["wait_ms"])) / 1e3
        while self._events and self._events[0][1] < now() - HISTORY_S:
            del self._events[0]
        oldest = self._events[0][0] if self._events else self.revision + 1
        if after > self.revision or after + 1 < oldest:
            return 410, {}
        while True:
            first = bisect.bisect_right(self._events, after, key=lambda event: event[0])
            events = [e for _, _, e in self._events[first:] if e["key"].startswith(prefix)]
            left_s = until - now()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _txn(self, body):
        expected = body.get("expected_rev", [])
        held = {row["key"]: self.items.get(row["key"]) for row in expected}
        if any((held[r["key"]] or {"revision": 0})["revision"] != r["revision"] for r in expected):
            return 412, {"items": [item for item in held.values() if item]}
        writes = body.get("writes", [])
        keys = [row["key"] for row in writes] + list(body.get("remove", []))
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        if any(row.get("lease") and row["lease"] not in self._leases for row in writes):
            return 404, {}
        for row in writes:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Arrival:
    """A request that reached a replica; ``ran`` once the replica has begun to work on it."""

    def __init__(self, replica, req):
        self.replica = replica
        self.request_id = req.get("x-request-id")
        self.at = now()
        self.ran = False
        self.ended_at = None
        self.is_lost = False


class Replica(Server):
    """A sound replica; with a ``stage`` it is a model replica.

    The answer to a run is lost if ``loses_answer`` says so: the run goes on to its end, but the
    connection is reset instead of answered.
    """

    numbers = itertools.count(1)

    def __init__(self, record, service, zone, stage=None, slots=16, work_s=0.02, step_s=0.006):
        super().__init__()
        self.record = record
        self.number = next(self.numbers)
        self.instance = f"i-{self.number:08x}"
        self.service, self.zone, self.stage, self.slots = service, zone, stage, slots
        self.work_s, self.step_s = work_s, step_s
        self.tokens = 32_224
        self.version = 1
        self.born = int(time.time() * 1e3)
        self.state = "ready"
        self.sequence = 0
        self.highest_fence = 0
        self.running = 0
        self.arrivals = []
        self.loses_answer = lambda: False
        self.on_run = lambda req: None
        self.preempted_s = lambda number: 0.0
        self._holds = {}
        self._handles = set()
        self._runs = {}  # By request: the events made, and what stops the run.
        self._names = itertools.count(1)

    def entry(self):
        """Return the replica's entry in the list."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": f"v{self.version}",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.stage is not None:
            entry |= {"stage": self.stage, "models": self._models()}
        return entry

    def _models(self):
        return [{"name": "m", "version": self.version, "adapters": []}]

    async def handle(self, req, writer):
        """Answer a request or a call."""
        headers = {"X-Server-Load": f"{self.running},0,{self.slots}"}
        if self.stage is not None:
            headers["X-Weight-Versions"] = self.version
        if req.get("x-request-id"):
            headers["X-Request-Id"] = req.get("x-request-id")
        is_other = req.get("x-expect-instance") not in ("", self.instance)
        if is_other or req.get("x-expect-version") not in ("", str(self.version)):
            headers |= {"X-Not-Executed": "1", "X-Instance-Id": self.instance}
            writer.write(render(421, headers, b""))
            return True
        if req.path.startswith("/-/"):
            status, body = await self._call(req)
            data = json.dumps(body).encode()
            writer.write(render(status, {"Content-Type": "application/json"}, data))
            return True
        arrival = Arrival(self, req)
        self.arrivals.append(arrival)
        if req.get("x-stage") == "prefill":
            return await self._prefill(req, writer, headers)
        if self.stage == "prefill":
            writer.write(render(421, headers | {"X-Not-Executed": "1"}, b""))
            return True
        has_hold = self._holds.pop(req.get("x-kv-hold"), None) is not None
        handle = req.get("x-kv-source").rpartition("/")[2]
        is_full = self.running >= self.slots and not has_hold
        if is_full or (req.get("x-kv-hold") and not has_hold):
            writer.write(render(503, headers | {"X-Not-Executed": "1"}, b""))
            return True
        return await self._run(req, writer, headers, arrival, bool(handle))

    async def _call(self, req):
        name, _, rest = req.path.removeprefix("/-/").partition("/")
        if name == "report":
            return 200, {
                "stage": self.stage,
                "models": self._models(),
                "busy": False,
                "sequence": self.sequence,
                "queued_requests": 0,
                "running_requests": self.running,
                "kv_used": 0,
                "kv_total": self.tokens,
                "kv_handles": len(self._handles),
                "state": self.state,
                "runs": [[name, 0, run["events"], 5] for name, run in self._runs.items()],
                "born": self.born,
            }
        if name == "kv-move":
            return self._move(req.json())
        if name == "hold-take":
            if self.running + len(self._holds) >= self.slots:
                return 503, {}
            hold = f"h{self.number}-{next(self._names)}"
            self._holds[hold] = True
            ttl_s = req.json()["ttl_ms"] / 1e3
            asyncio.get_running_loop().call_later(ttl_s, self._holds.pop, hold, None)
            return 200, {"hold": hold}
        if name == "hold-drop":
            return (200, {}) if self._holds.pop(rest, None) else (404, {})
        if name == "kv-handle":
            self._handles.discard(rest)
            return 200, {}
        if name == "order":
            return self._order(req.json())
        return 400, {}

    def _move(self, body):
        """Copy a run's memory, at once; with ``last`` the run stops."""
        run = self._runs.get(body["id"])
        if run is None:
            return 404, {}
        if body.get("last"):
            run["stop"].set()
        return 200, {"kv_handle": f"kv{self.number}x{next(self._names)}", "created": run["events"]}

    def _order(self, body):
        if "holder" not in body or "fencing_token" not in body:
            return 400, {}
        if body["fencing_token"] < self.highest_fence:
            return 412, {}
        self.highest_fence = body["fencing_token"]
        if body.get("stage") == self.stage:
            return 200, {}
        if body.get("expected_rev", self.sequence) != self.sequence:
            return 409, {}
        self.sequence += 1
        self.record.write(f"{self.instance} is ordered to {body.get('stage')}")
        return 202, {}

    async def _prefill(self, req, writer, headers):
        if self.stage != "prefill":
            writer.write(render(421, headers | {"X-Not-Executed": "1"}, b""))
            return True
        tokens = int(req.get("x-token-count").partition(",")[0])
        await asyncio.sleep(tokens * 3e-5)
        handle = f"kv{self.number}x{next(self._names)}"
        body = {"kv_handle": handle, "tokens": tokens, "version": self.version}
        headers["Content-Type"] = "application/json"
        writer.write(render(200, headers, json.dumps(body).encode()))
        return True

    async def _run(self, req, writer, headers, arrival, has_kv):
        self.running += 1
        try:
            headers["X-Server-Seal"] = f"seal.{self.instance}.{arrival.request_id}"
            if self.stage is None:
                arrival.ran = True
                self.record.write(f"{self.instance} runs {arrival.request_id}")
                arrival.is_lost = self.loses_answer()
                await asyncio.sleep(self.work_s)
                return self._end(writer, arrival, render(200, headers, b"done " * 160))
            tokens, output = map(int, req.get("x-token-count").split(","))
            await asyncio.sleep(0.01 if has_kv else tokens * 6e-5)
            arrival.ran = True  # A request starts to run with its first token.
            arrival.is_lost = self.loses_answer()
            self.record.write(f"{self.instance} runs {arrival.request_id}")
            self.on_run(req)
            if arrival.is_lost:
                return self._end(writer, arrival, b"")
            headers |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
            run = self._runs[arrival.request_id] = {"events": 0, "stop": asyncio.Event()}
            for number in range(int(req.get("last-event-id") or 0) + 1, output + 1):
                event = f"id: {number}\ndata: piece {number} by v{self.version}\n\n".encode()
                if not writer.is_closing():
                    writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                run["events"] = number
                with contextlib.suppress(TimeoutError):
                    pause_s = self.step_s + self.preempted_s(number)
                    await asyncio.wait_for(run["stop"].wait(), pause_s)
                    return False
            if not writer.is_closing():
                writer.write(b"0\r\n\r\n")
            return True
        finally:
            self.running -= 1
            self._runs.pop(arrival.request_id, None)
            arrival.ended_at = now()
            self.record.write(f"{self.instance} ends its work on {arrival.request_id}")

    def _end(self, writer, arrival, answer):
        if arrival.is_lost:
            self.record.write(f"{self.instance} loses its answer to {arrival.request_id}")
            reset(writer)
            return False
        writer.write(answer)
        return True


class Answer:
    """What a client got: the status, or 0 for a connection that ended early."""

    def __init__(self, status, headers, body, is_whole):
        self.status, self.headers, self.body, self.is_whole = status, headers, body, is_whole


async def ask(port, method, path, request_id, deadline_ms, headers=None, body=b""):
    """Send one request on a new connection, and return the answer."""
    extra = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {NAME}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer, status, got, data = None, 0, {}, b""
    try:
        async with asyncio.timeout(deadline_ms / 1e3):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(head.encode() + body)
            first, got = await read_head(reader)
            status = int(first.split(" ")[1])
            if "chunked" in got.get("transfer-encoding", ""):
                while size := int((await reader.readline()).split(b";")[0], 16):
                    data += await reader.readexactly(size)
                    await reader.readexactly(2)
                await reader.readexactly(2)
            else:
                data = await reader.readexactly(int(got.get("content-length", 0)))
        return Answer(status, got, data, True)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer(status, got, data, False)
    finally:
        if writer is not None:
            writer.close()


class Entry:
    """One entry of the project, as a process of its own."""

    def __init__(self, record, folder, name, zone, store, seeds, ports):
        self.record, self.name, self.zone = record, name, zone
        self.front, self.ready, self.control, self.peers, self.metrics = ports
        self._log = open(folder / f"{name}.log", "ab")  # noqa: SIM115 (closed in end)
        self.settings = folder / f"{name}.conf"
        self._values = SETTINGS | {
            "node_name": name,
            "ip": HOST,
            "zone": zone,
            "listen.front": f"{HOST}:{self.front}",
            "listen.ready": f"{HOST}:{self.ready}",
            "listen.control": f"{HOST}:{self.control}",
            # The entry uses the last port and the one before it.
            "internal_ports": f"{self.peers},{self.peers + 1}",
            "seeds": ",".join(seeds),
            "platform.address": store.address,
        }
        self.process = None

    def write_settings(self, **changes):
        """Write the settings file anew."""
        values = self._values | changes
        self.settings.write_text("".join(f"{key}={value}\n" for key, value in values.items()))

    def start(self):
        """Start the process."""
        self.write_settings()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {
            "VANILLASHORE_CONFIG": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        self.process = subprocess.Popen(
            RUN, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=self._log, stderr=self._log
        )
        self.record.write(f"started {self.name}")

    def signal(self, number):
        """Send a signal."""
        self.record.write(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def wait_ready(self, timeout_s=15.0):
        """Wait until the entry says that it is ready."""
        until = now() + timeout_s
        while now() < until:
            if (await ask(self.ready, "GET", "/-/readyz", "ready", 500)).status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready in time")

    def end(self):
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self._log.close()


SETTINGS = {
    "role": "entry",
    "machine_class": "edge",
    "serves": "edge",
    "region": "region-a",
    "zones.zone-a": "region-a",
    "zones.zone-b": "region-a",
    "zones.zone-c": "region-a",
    "bootstrap": "true",
    "tolerance_member": "false",
    "limits.cpu_share": "0.817",
    "limits.cores": "1",
    "limits.memory_mb": "300",
    "limits.max_fds": "4100",
    "limits.link_mbps": "1000.0",
    "limits.disk_mb": "0",
    "discovery": "platform",
    "entry": "vip",
    "heartbeat_ms": "1200",
    "contracts": "base,drain,config,cost,retry,recover,split,stream,engine,tenants,quota,platform",
    "fault_tolerance.machines": "1",
    "fault_tolerance.zones": "0",
    "fault_tolerance.regions": "0",
    "bounds.seed_lag_s": "3",
    "bounds.reuse_after_s": "2",
    "bounds.contact_ms": "3000",
    "bounds.ack_ms": "4000",
    "bounds.catch_up_s": "4",
    "bounds.drain_ms": "2000",
    "bounds.grace_s": "8",
    "bounds.loss_slack_ms": "200",
    "bounds.config_apply_ms": "2000",
    "bounds.rollback_slack_ms": "250",
    "bounds.max_skew_ms": "5000",
    "bounds.strict_revoke": "false",
    "bounds.revoke_ms": "5000",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.budget_window_s": "10",
    "bounds.retry_slack": "52",
    "bounds.quota_window_s": "8",
    "bounds.quota_overage": "0.1",
    "bounds.quota_slack": "190000",
    "bounds.recovery_s": "12",
    "bounds.transit_ms": "120",
    "bounds.retry_after_s": "9.6",
    "bounds.fencing_required": "true",
    "bounds.lease_ms": "3000",
    "bounds.thaw_ms": "300",
    "platform.form": "kv",
    "platform.writes_per_s": "400",
    "platform.reads_per_s": "2000",
    "platform.history_s": "20",
    "platform.value_bytes": "1048576",
    "platform.ttl_min_ms": "1000",
}

LLM, APP = "huvo11a", "wuno96b"
STREAM_PATH, RESUMABLE_PATH, SAFE_PATH, UNSAFE_PATH = (
    "/pufi791/",
    "/lohu930/",
    "/puxa403/",
    "/pule252/",
)


def configuration(version):
    """Return a configuration with a route of each kind."""
    return {
        "version": version,
        "routes": [
            _route("r-a", STREAM_PATH, "streaming", LLM, 14_000, 900, 1, is_model=True),
            _route("r-b", RESUMABLE_PATH, "streaming", LLM, 14_000, 900, 2, True, True),
            _route("r-c", SAFE_PATH, "idempotent", APP, 800, 300, 2),
            _route("r-d", UNSAFE_PATH, "non_idempotent", APP, 800, 300, 1),
        ],
        "services": [
            {
                "name": LLM,
                "health_path": "/healthz",
                "max_connections": 160,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 16,
                    "kv_capacity_tokens": 32_224,
                    "kv_token_bytes": 327_680,
                    "link_mbps": 1_600_000.0,
                    "moves": True,
                    "backups": True,
                    "stride": 8,
                    "most": 12,
                    "kv_hold_s": 0.5,
                    "switch_s": 6.0,
                    "pin_ms": 4_000.0,
                    "hold_ms": 2_000.0,
                    "models": [{"name": "m"}],
                },
            },
            {
                "name": APP,
                "health_path": "/healthz",
                "max_connections": 96,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {
                "name": TENANT,
                "api_keys": [KEY],
                "priority": 1,
                "unit": "token_stream",
                "plain_tokens": 200,
                "rate_per_s": 0,
                "burst": 0,
            }
        ],
    }


def _route(
    name, prefix, kind, service, timeout_ms, target_ms, attempts, is_model=False, resumable=False
):
    return {
        "name": name,
        "host": NAME,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": 1,
        "service": service,
        "max_attempts": attempts,
        "auth_exempt": False,
        "session_affinity": is_model,
        "resumable": resumable,
        "gap_target_ms": 300 if is_model else 0,
    }


def stream_headers(number, tokens=1_460, output=40):
    """Return the headers of a generation."""
    return {
        "X-Model": "m",
        "X-Token-Count": f"{tokens},{output}",
        "X-Prompt-Prefix": f"5c1e07a2:200,{number:08x}:{tokens - 200}",
        "X-Length-Hint": str(output),
    }


class Fleet:
    """The store, replicas and entries of a small deployment."""

    def __init__(self, record, folder):
        self.record, self.folder = record, folder
        self.store = Store(record)
        self.replicas = []
        self.entries = []
        self._beats = None

    async def add_replica(self, service, zone, **options):
        """Start a replica, and list it."""
        replica = Replica(self.record, service, zone, **options)
        await replica.start()
        self.replicas.append(replica)
        self.list_replica(replica)
        return replica

    def list_replica(self, replica):
        """Write a replica's entry."""
        return self.store.put(f"servers/{replica.instance}", replica.entry())

    def unlist_replica(self, replica):
        """Remove a replica's entry; return when the store acknowledged that."""
        return self.store.remove(f"servers/{replica.instance}")

    async def start_entries(self, count):
        """Start the entries, and wait until they are ready and know each other."""
        rows = free_ports(count, size=5)
        seeds = [f"{HOST}:{first + 2}" for first in rows[:3]]
        for i in range(count):
            zone = f"zone-{'abc'[i % 3]}"
            own = tuple(range(rows[i], rows[i] + 5))
            name = f"edge-{zone}-{i + 1}"
            entry = Entry(self.record, self.folder, name, zone, self.store, seeds, own)
            self.entries.append(entry)
            entry.start()
        for entry in self.entries:
            await entry.wait_ready()
        until = now() + 10
        while now() < until:
            if sum("entries/" in key for key in self.store.items) >= count:
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)

    def end(self):
        """End all processes that were started."""
        for entry in self.entries:
            entry.end()


def play(case_file, case):
    """Run a case in a temporary folder and exit with its result."""
    record = Record(Path(case_file).resolve().parent / "record.txt")

    async def run():
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(record, Path(folder))
            try:
                await fleet.store.start()
                fleet.store.put("op/config", configuration(7))
                return await case(fleet)
            finally:
                fleet.end()
                if os.environ.get("KEEP_LOGS"):
                    shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)

    try:
        result = asyncio.run(run())
    except Exception as exc:
        record.write(f"could not run: {exc!r}")
        raise SystemExit(COULD_NOT_RUN) from exc
    record.write(f"exit {result}: {'the rule was broken' if result else 'the rule held'}")
    sys.exit(result)
