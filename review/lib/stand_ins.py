"""Stand-ins of the platform's store, of workers and of clients, over HTTP.

They follow the users' pages and need nothing but the standard library. All
times are those of the event loop, which is the steady clock.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import random
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

MAX_HOLD_S = 1.0
STOP_S = 0.03  # the pages allow 50 ms
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
TICK_S = 0.005
ABORT = struct.pack("ii", 1, 0)

Answer = tuple[int, object]


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self) -> None:
        self.began_at = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.began_at

    def add(self, text: str) -> None:
        """Add a line with the present time."""
        self.lines.append(f"{self.now():8.3f}  {text}")


@dataclass
class Call:
    """A request to a stand-in."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    data: bytes

    def body(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.data) if self.data else {}


Handler = Callable[[Call], Awaitable[Answer | None]]


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
    writer.transport.abort()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Read one HTTP message: its first line, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return first, headers, await reader.readexactly(length)


class HttpServer:
    """Serves one handler; an answer of None leaves the caller without one."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, host: str, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, data = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                call = Call(method, parts.path, query, headers, data)
                answer = await self._handler(call)
                if answer is None:
                    await asyncio.Event().wait()
                    return
                status, body = answer
                text = json.dumps(body).encode()
                head = (
                    f"HTTP/1.1 {status} Answer\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n"
                )
                writer.write(head.encode() + text)
                await writer.drain()
        except (EOFError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def send_request(
    address: str,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request on a new connection, and return the connection."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1"]
    fields = {"Host": address, "Content-Type": "application/json"}
    fields.update(headers or {})
    fields["Content-Length"] = str(len(data))
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode() + data)
    await writer.drain()
    return reader, writer


async def request(
    address: str,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> tuple[int, bytes]:
    """Make one call; return the status and the body of its answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await send_request(
            address, method, path, body, headers
        )
        try:
            first, _, data = await read_message(reader)
        finally:
            writer.close()
    return int(first.split(" ")[1]), data


class Store:
    """The platform's store.

    ``addresses`` maps addresses of agents to those that one caller of the
    store sees: the network between that caller and the agents leads through
    a proxy there.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self.revision = 10
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 100
        self._changed = asyncio.Event()

    def handler(self, addresses: dict[str, str] | None = None) -> Handler:
        """Return the handler for one caller, or for all."""
        seen = {} if addresses is None else addresses

        async def handle(call: Call) -> Answer:
            await asyncio.sleep(STORE_ANSWER_S)
            self._expire()
            status, body = await self._answer(call)
            return status, _seen_from(body, seen)

        return handle

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; return the revision."""
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self._add_event(self.items[key])
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    def _add_event(self, event: dict[str, Any]) -> None:
        self.events.append(dict(event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (until, _) in list(self.leases.items()):
            if until <= now:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    async def _answer(self, call: Call) -> Answer:
        name = call.path.removeprefix("/briarford/")
        if name == "kv-key":
            item = self.items.get(call.query["key"])
            if item is None:
                return 404, {"as_of": self.revision}
            return 200, {**item, "as_of": self.revision}
        if name == "kv-range":
            prefix, after = call.query["prefix"], call.query.get("after", "")
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > after
            )
            rows = [self.items[k] for k in keys[:500]]
            more = len(keys) > 500
            return 200, {
                "items": rows,
                "has_more": more,
                "as_of": self.revision,
            }
        if name == "kv-watch":
            return await self._watch(call)
        if name == "kv-txn":
            return self._txn(call.body())
        if name == "kv-lease":
            self._last_lease += 1
            ttl_ms = call.body()["ttl_ms"]
            until = time.monotonic() + ttl_ms / 1000
            self.leases[self._last_lease] = until, ttl_ms / 1000
            return 200, {"lease": self._last_lease, "ttl_ms": ttl_ms}
        kind, _, lease_text = name.partition("/")
        lease = int(lease_text)
        if kind == "kv-lease-end":
            self._end_lease(lease)
            return 200, {}
        if lease not in self.leases:
            return 404, {}
        ttl_s = self.leases[lease][1]
        self.leases[lease] = time.monotonic() + ttl_s, ttl_s
        return 200, {"ttl_ms": int(ttl_s * 1000)}

    async def _watch(self, call: Call) -> Answer:
        after = int(call.query["after"])
        prefix = call.query["prefix"]
        until = time.monotonic() + int(call.query["wait_ms"]) / 1000
        while True:
            self._expire()
            found = [
                e
                for e in self.events
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "as_of": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(left_s, 0.2)):
                    await self._changed.wait()

    def _txn(self, body: Any) -> Answer:
        found = []
        for row in body.get("expect", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found.append(item or {"key": row["key"], "revision": 0})
        if found:
            return 412, {"items": found}
        writes = body.get("writes", [])
        if any(w.get("lease", 0) not in {0, *self.leases} for w in writes):
            return 404, {}
        for write in writes:
            value = base64.b64decode(write["value"], validate=True)
            self.put(write["key"], value, write.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


def _seen_from(body: Any, addresses: dict[str, str]) -> Any:
    """Return an answer of the store with the addresses of proxies."""
    if not addresses:
        return body
    body = json.loads(json.dumps(body))
    for row in [body, *body.get("items", []), *body.get("events", [])]:
        if not row.get("key", "").startswith("agents/") or not row.get(
            "value"
        ):
            continue
        value = json.loads(base64.b64decode(row["value"]))
        value["address"] = addresses.get(value["address"], value["address"])
        row["value"] = base64.b64encode(json.dumps(value).encode()).decode()
    return body


@dataclass
class Run:
    """A run on a worker, and how it ended."""

    worker: str
    labels: tuple[str, ...]
    task: str
    number: int
    cpu: int
    began_at: float
    done_at: float
    stops_at: float = float("inf")
    ended_at: float = float("inf")
    how: str = ""


@dataclass
class Work:
    """What each task of a job needs."""

    cpu: int = 3000
    seconds: float = 0.4


@dataclass
class Worker:
    """A worker: runs tasks under a lease, and reports to its agent.

    :param control: address at which its agent takes reports.
    :param work: what the tasks of each job need.
    """

    record: Record
    name: str
    ip: str
    zone: str
    control: str
    work: dict[str, Work]
    service: str = "desk"
    labels: tuple[str, ...] = ("a", "r1-1")
    cpu: int = 32000
    state: str = "ready"
    born: int = 0
    token: int = 0
    lease_until: float = 0.0
    sequence: int = 0
    booted_at: float = 0.0
    runs: dict[str, Run] = field(default_factory=dict)
    history: list[Run] = field(default_factory=list)
    highest: dict[str, int] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    last_end: int = 0

    def __post_init__(self) -> None:
        self._server = HttpServer(self._handle)
        self._tasks: list[asyncio.Task[None]] = []
        self._end_seen = asyncio.Event()
        self._known = False
        self.late_share = 0.0
        self.late_orders: list[Call] = []
        self.order_left = asyncio.Event()
        self.has_started = asyncio.Event()  # a run, since it was cleared

    def carry_out_late(self) -> None:
        """Carry out the orders that got no answer, after all others."""
        while self.late_orders:
            call = self.late_orders.pop(0)
            status, answer = self._order(call)
            task = call.body()["task"]
            self.record.add(
                f"{self.name} carries out the late order of {task}:"
                f" {status} {answer}"
            )

    async def boot(self, first_report_after_s: float = 0.0) -> None:
        """Start, at the address of the previous boot if there was one."""
        port = int(self._server.address.rpartition(":")[2] or 0)
        self.born = int(time.time() * 1000)
        self.booted_at = time.monotonic()
        self.token = self.sequence = self.last_end = 0
        self.lease_until = 0.0
        self._known = False
        self.highest.clear()
        self.ended.clear()
        self._server = HttpServer(self._handle)
        await self._server.start(self.ip, port)
        self.record.add(f"{self.name} is up, labels {','.join(self.labels)}")
        self._tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._beat(first_report_after_s)),
        ]

    async def crash(self) -> None:
        """Go down; what runs ends."""
        self._advance()
        for run in list(self.runs.values()):
            self._finish(run, time.monotonic(), "crash", listed=False)
        for task in self._tasks:
            task.cancel()
        await self._server.stop()
        self.record.add(f"{self.name} has crashed")

    def _clock_ms(self) -> int:
        return 1000 + int((time.monotonic() - self.booted_at) * 1000)

    def _steady(self, clock_ms: float) -> float:
        """Return the time of the event loop for one on the own clock."""
        return self.booted_at + (clock_ms - 1000) / 1000

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._advance()

    async def _beat(self, first_after_s: float) -> None:
        await asyncio.sleep(first_after_s)
        while True:
            with contextlib.suppress(OSError, TimeoutError, EOFError):
                await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def report(self) -> None:
        """Send a liveness report to the agent."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self._server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
            "labels": list(self.labels),
            "clock_ms": self._clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }
        path = f"/briarford/instances/{self.name}"
        status, _ = await request(
            self.control, "PUT", path, body, timeout_s=1.0
        )
        if not self._known:
            self._known = True
            self.record.add(f"{self.name} has reported for the first time")
        if status != 200:
            self.record.add(f"{self.name} reports and gets {status}")

    def _advance(self) -> None:
        now = time.monotonic()
        for run in list(self.runs.values()):
            at, how = min(
                (run.done_at, "done"),
                (run.stops_at, "stopped"),
                (self.lease_until, "lapsed"),
            )
            if at <= now:
                self._finish(run, at, how)

    def _finish(
        self, run: Run, at: float, how: str, listed: bool = True
    ) -> None:
        del self.runs[run.task]
        run.ended_at, run.how = at, how
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        self.record.add(f"{self.name} ended {run.task} run {run.number} {how}")
        if listed:
            self.last_end += 1
            self.ended.append([self.last_end, run.task, run.number, how, ""])
            self._end_seen.set()

    async def _handle(self, call: Call) -> Answer | None:
        self._advance()
        if call.headers.get("expected-instance", self.name) != self.name:
            return 421, self._stamp({})
        if call.path.endswith("/hold"):
            body = call.body()
            if body["fencing_token"] < self.token:
                return 409, self._stamp({"reason": "fence"})
            self.token = body["fencing_token"]
            return await self._hold(body)
        if call.path.endswith("/run-start") and (
            random.random() < self.late_share
        ):
            task = call.body()["task"]
            self.record.add(f"{self.name} leaves an order of {task} for later")
            self.late_orders.append(call)
            self.order_left.set()
            return None
        return self._order(call)

    def _order(self, call: Call) -> Answer:
        """Carry out an order to start or stop a run."""
        body = call.body()
        if body["fencing_token"] < self.token:
            return 409, self._stamp({"reason": "fence"})
        self.token = body["fencing_token"]
        match call.path.rpartition("/")[2]:
            case "run-start":
                return self._start(body)
            case "run-stop":
                return self._stop(body)
        return 404, {}

    def _stamp(self, body: dict[str, Any]) -> dict[str, Any]:
        return {**body, "clock_ms": self._clock_ms(), "born": self.born}

    def _extend(self, deadline_ms: float) -> None:
        until = min(self._steady(deadline_ms), time.monotonic() + MAX_HOLD_S)
        self.lease_until = max(self.lease_until, until)

    def _start(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        if body["deadline_ms"] <= self._clock_ms():
            return 409, self._stamp({"reason": "late"})
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return 200, self._stamp({})
        self._extend(body["deadline_ms"])
        if known is not None or number <= self.highest.get(task, 0):
            return 409, self._stamp({"reason": "old"})
        work = self.work[task.partition(".")[0]]
        if work.cpu + sum(r.cpu for r in self.runs.values()) > self.cpu:
            return 409, self._stamp({"reason": "room"})
        now = time.monotonic()
        run = Run(
            self.name,
            self.labels,
            task,
            number,
            work.cpu,
            now,
            now + work.seconds,
        )
        self.runs[task] = run
        self.history.append(run)
        self.has_started.set()
        self.record.add(f"{self.name} started {task} run {number}")
        return 200, self._stamp({})

    def _stop(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            run.stops_at = min(run.stops_at, time.monotonic() + STOP_S)
        return 200, self._stamp({})

    async def _hold(self, body: dict[str, Any]) -> Answer:
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        seen = body["last_seen"]
        self.ended = [e for e in self.ended if e[0] > seen]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ended and (left := until - time.monotonic()) > 0:
            self._end_seen.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._end_seen.wait()
        self._advance()
        now = time.monotonic()
        running = [
            [r.task, r.number, "", self._percent(r, now), r.cpu]
            for r in self.runs.values()
        ]
        return 200, self._stamp(
            {"running": running, "ended": self.ended[:500]}
        )

    def _percent(self, run: Run, now: float) -> int:
        share = (now - run.began_at) / (run.done_at - run.began_at)
        return min(99, int(share * 100))


async def wait_for_any(events: list[asyncio.Event]) -> None:
    """Wait until one of the events is set, for five seconds at most."""
    waits = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(waits, timeout=5.0, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


class LinkProxy:
    """Forwards connections to one address, and can reset them all.

    While ``refuses`` is set, new connections are reset at once.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._pairs: set[tuple[asyncio.StreamWriter, ...]] = set()
        self._server: asyncio.Server | None = None
        self._pumps: set[asyncio.Task[None]] = set()
        self.address = ""
        self.refuses = False

    async def start(self, host: str) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def reset_all(self) -> int:
        """Reset all connections in both directions; return their number."""
        pairs = list(self._pairs)
        for pair in pairs:
            for writer in pair:
                reset(writer)
        return len(pairs)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refuses:
            reset(writer)
            return
        host, _, port = self._target.rpartition(":")
        try:
            peer_reader, peer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        pair = (writer, peer)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(reader, peer), self._pump(peer_reader, writer)
            )
        finally:
            self._pairs.discard(pair)
            writer.close()
            peer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
            # An end of the bytes is passed on, and ends both directions.
            writer.close()
