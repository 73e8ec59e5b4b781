"""Starts the project's programs beside stand-ins, and records what is seen."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from http3 import (
    Answer,
    Call,
    call_http,
    encode_request,
    read_response,
    serve_http,
)
from store3 import Store
from worker3 import Interval, Worker

ROOT = Path(__file__).parents[2]
HOST = "h.example"
PREFIX = "/queue/"
READY_S = 20.0
# One way, as the sheet of kyklos-ops tells: 1.4 ms between zones. For machines
# of one zone the pages give no figure; a seventh of that.
CROSS_ZONE_S = 0.0014
IN_ZONE_S = 0.0002
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": HOST,
            "prefix": PREFIX,
            "service": "desk",
            "priority": 1,
            "target_latency_ms": 60,
            "max_attempts": 3,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "desk", "rejects_overload": True}],
    "limits": {"max_body_bytes": 262144},
}


def in_trouble() -> bool:
    """Whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def lookup(context: Any, fields: dict[str, Any], name: str) -> Any:
    """Return the value of a placeholder; None if there is none."""
    if name == ".":
        return context
    for start in (context, fields):
        value = start
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = None
        if value is not None:
            return value
    return None


def render(text: str, fields: dict[str, Any], context: Any = None) -> str:
    """Fill in a template as DEPLOY.md tells."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", re.S)

    def fill_section(match: re.Match[str]) -> str:
        kind, name, inner = match.groups()
        value = lookup(context, fields, name)
        if kind == "^":
            return "" if value else render(inner, fields, context)
        if not value:
            return ""
        entries = value if isinstance(value, list) else [value]
        return "".join(render(inner, fields, e) for e in entries)

    def fill(match: re.Match[str]) -> str:
        name, as_json = match.groups()
        value = lookup(context, fields, name)
        if as_json:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = section.sub(fill_section, text)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text)


# Times after its first sending at which TCP sends a segment again that is not
# acknowledged: after 0.2 s, and then each time after twice as long.
RESENT_AFTER_S = tuple(0.2 * (2**n - 1) for n in range(1, 8))
# From the platform to a client, one way: 1 ms.
ROUND_TRIP_S = 0.002


class Proxy:
    """The path to an address, which may be cut, or its machine suspended.

    It carries connections as TCP does: what was sent meanwhile on an open
    connection is sent again at growing intervals, and arrives in its order
    with the first attempt after that. The end of the connection follows a
    round trip later. A connection that is reset takes its bytes with it, and
    none is opened through a cut.

    :param delay_s: how long bytes take, one way.
    """

    def __init__(self, target: str, delay_s: float = 0.0) -> None:
        self.target = target
        self.address = ""
        self._delay_s = delay_s
        self._whole = asyncio.Event()
        self._whole.set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, host, port)
        name = self._server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"

    def cut(self) -> None:
        """Let nothing through."""
        self._whole.clear()

    def heal(self) -> None:
        """Let bytes through again."""
        self._whole.set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self._whole.is_set():
            await self._whole.wait()
            writer.transport.abort()
            return
        if self._delay_s:
            await asyncio.sleep(2 * self._delay_s)  # the handshake
        host, _, port = self.target.rpartition(":")
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._pass(reader, back), self._pass(there, writer)
            )

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65536):
                await self._carry(time.monotonic())
                if reader.exception() is not None:
                    raise ConnectionResetError
                writer.write(data)
                await writer.drain()
            await asyncio.sleep(ROUND_TRIP_S)
            await self._carry(time.monotonic())
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            writer.transport.abort()

    async def _carry(self, sent_at: float) -> None:
        """Wait until what was sent at a time has arrived."""
        if self._delay_s:
            await asyncio.sleep(self._delay_s)
        if self._whole.is_set():
            return
        await self._whole.wait()
        now = time.monotonic()
        times = (sent_at + s for s in RESENT_AFTER_S)
        arrives_at = next((t for t in times if t >= now), now)
        await asyncio.sleep(arrives_at - now)


class StoreView:
    """The store as one process sees it: it reaches agents by way of proxies.

    :param addresses: addresses to give out, by those in the records.
    """

    def __init__(self, store: Store, addresses: dict[str, str]) -> None:
        self._store = store
        self._addresses = addresses

    async def handle(self, call: Call) -> Answer:
        """Answer one call."""
        answer = await self._store.handle(call)
        if isinstance(answer.body, dict):
            for name in ("items", "events"):
                if name in answer.body:
                    rows = [self._translate(r) for r in answer.body[name]]
                    answer.body[name] = rows
        return answer

    def _translate(self, item: dict[str, Any]) -> dict[str, Any]:
        if not item["key"].startswith("agents/") or "value" not in item:
            return item
        record = json.loads(base64.b64decode(item["value"]))
        address = record["address"]
        record["address"] = self._addresses.get(address, address)
        value = base64.b64encode(json.dumps(record).encode()).decode()
        return {**item, "value": value}


class Fleet:
    """Entries, agents and their workers, a store, and what was seen.

    :param entries: number of entries.
    :param agents: number of agents, each with a worker.
    :param folder: of the case; ``record.txt`` is written there.
    :param cut_off: the entries that are going to be cut off.
    :param distant: the entries of which only the paths to agents and the
        store have the length that the pages tell.
    """

    def __init__(
        self,
        entries: int,
        agents: int,
        folder: Path,
        cut_off: tuple[str, ...] = (),
        distant: tuple[str, ...] = (),
    ) -> None:
        self.cut_off = cut_off
        self.distant = distant
        self.paths: dict[str, list[Proxy]] = {}
        self.public: dict[str, str] = {}
        self.t0 = time.monotonic()
        self.record = (folder / "record.txt").open("w")
        self.temp = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.store = Store()
        self.store_address = ""
        self.entries = [f"entry-{n + 1}" for n in range(entries)]
        self.agents = [f"agent-{n + 1}" for n in range(agents)]
        self.fields: dict[str, dict[str, Any]] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.workers: list[Worker] = []
        self.work: dict[str, tuple[int, float]] = {}
        self.tasks: list[asyncio.Task[Any]] = []
        self.store_of: dict[str, str] = {}

    def log(self, what: str, **fields: Any) -> None:
        """Write a line into the record."""
        at = time.monotonic() - self.t0
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.record.write(f"{at:9.4f} {what} {text}\n")
        self.record.flush()

    def spawn(self, coroutine: Any) -> None:
        """Run a coroutine until the end of the test."""
        self.tasks.append(asyncio.create_task(coroutine))

    # -- start --------------------------------------------------------------

    async def start(self) -> None:
        """Start all, and wait until the entries are ready."""
        await self.start_store()
        for number, name in enumerate([*self.entries, *self.agents]):
            self.make_fields(name, f"{self.net}.{number + 10}")
        for name in (*self.cut_off, *self.distant):
            await self.put_behind_proxies(name)
        for name in [*self.entries, *self.agents]:
            self.launch(name)
        for number, name in enumerate(self.agents):
            await self.add_worker(name, number)
        await self.wait_ready()

    async def put_behind_proxies(self, entry: str) -> None:
        """Lay all paths of an entry through proxies: it may be cut off."""
        front = Proxy(self.front(entry))
        own_zone = (self.entries.index(entry)) % len(self.agents)
        proxies = {
            agent: Proxy(
                self.rpc(agent), IN_ZONE_S if n == own_zone else CROSS_ZONE_S
            )
            for n, agent in enumerate(self.agents)
        }
        host = f"{self.net}.3"
        for proxy in (front, *proxies.values()):
            await proxy.start(host)
        addresses = {p.target: p.address for p in proxies.values()}
        view = StoreView(self.store, addresses)
        server = await serve_http(host, 0, view.handle)
        name = server.sockets[0].getsockname()
        store = Proxy(f"{name[0]}:{name[1]}", CROSS_ZONE_S)
        await store.start(host)
        self.store_of[entry] = store.address
        self.paths[entry] = [front, store, *proxies.values()]
        if entry in self.cut_off:
            self.public[entry] = front.address

    def cut(self, entry: str) -> None:
        """Cut an entry off from all other machines of the system.

        Its clients still reach it.
        """
        self.log("cut-off", name=entry)
        for proxy in self.paths[entry][1:]:
            proxy.cut()

    def heal(self, entry: str) -> None:
        """End the cut."""
        self.log("cut-ended", name=entry)
        for proxy in self.paths[entry][1:]:
            proxy.heal()

    def suspend(self, entry: str) -> None:
        """Suspend the machine of an entry: nothing runs or arrives there."""
        for proxy in self.paths[entry]:
            proxy.cut()
        self.signal(entry, signal.SIGSTOP)

    def wake(self, entry: str) -> None:
        """Wake the machine of an entry."""
        self.signal(entry, signal.SIGCONT)
        for proxy in self.paths[entry]:
            proxy.heal()

    def rpc(self, agent: str) -> str:
        """Return the address of an agent for entries."""
        fields = self.fields[agent]
        return f"{fields['ip']}:{fields['internal_port_range'][0]}"

    async def start_store(self) -> None:
        """Start the store with a configuration."""
        self.store.put_json("op/config", CONFIG)
        server = await serve_http(f"{self.net}.2", 0, self.store.handle)
        host, port = server.sockets[0].getsockname()[:2]
        self.store_address = f"{host}:{port}"
        self.spawn(self.store.run())

    def make_fields(self, name: str, ip: str) -> None:
        """Choose the settings of a process, as the platform does."""
        role = name.partition("-")[0]
        ports = [free_port(ip) for _ in range(5)]
        listen = {"control": f"{ip}:{ports[0]}"}
        if role == "entry":
            listen = {"front": f"{ip}:{ports[0]}", "ready": f"{ip}:{ports[1]}"}
        self.fields[name] = {
            "node": name,
            "role": role,
            "ip": ip,
            "zone": "z1",
            "region": "r1",
            "listen_addresses": listen,
            "internal_port_range": [ports[2], ports[2] + 15],
            "limits": {
                "memory_mb": 300 if role == "entry" else 168,
                "max_open_files": 4100,
            },
            "bounds": {"grace_period_s": 6, "max_hold_ms": 1000},
            "heartbeat_interval_ms": 1500,
            "orders": "request",
            "app": f"{ip}:{ports[3]}",
            "platform": {"address": self.store_address},
        }

    def launch(self, name: str) -> None:
        """Start a process with the command of the deploy file."""
        role = name.partition("-")[0]
        fields = self.fields[name]
        address = self.store_of.get(name, self.store_address)
        fields["platform"]["address"] = address
        template = ROOT / self.deploy["roles"][role]["template"]
        path = self.temp / f"{name}.settings"
        path.write_text(render(template.read_text(), fields))
        words = self.deploy["roles"][role]["run"].split()
        words = [render(w, fields) for w in words]
        env = {
            k: v
            for k, v in os.environ.items()
            if k in ("PATH", "HOME", "LANG")
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["BRIARFORD_NODE_FILE"] = str(path)
        with (self.temp / f"{name}.log").open("ab") as out:
            self.processes[name] = subprocess.Popen(
                words, cwd=ROOT, env=env, stdout=out, stderr=out
            )
        self.log("process-started", name=name)

    async def add_worker(self, agent: str, number: int) -> Worker:
        """Start the worker of an agent."""
        fields = self.fields[agent]
        worker = Worker(
            f"i-{number + 1}",
            fields["app"],
            fields["listen_addresses"]["control"],
            fields["zone"],
            self.work_of,
            self.log,
        )
        host, _, port = worker.address.rpartition(":")
        await serve_http(host, int(port), worker.handle)
        self.spawn(worker.run())
        self.spawn(worker.beat())
        self.workers.append(worker)
        return worker

    def work_of(self, task: str) -> tuple[int, float]:
        """Return the processor share and the seconds of a task.

        ``work`` has them by job, or by job and step as in ``ID.STEP``.
        """
        job, _, step, _ = task.split(".")
        default = self.work.get(job, (1000, 0.1))
        return self.work.get(f"{job}.{step}", default)

    async def is_ready(self, name: str) -> bool:
        """Whether an entry answers the check of the load balancer with 200."""
        address = self.fields[name]["listen_addresses"]["ready"]
        status, _ = await call_http(
            address, "GET", "/briarford/ready", timeout_s=1.0
        )
        return status == 200

    async def wait_ready(self) -> None:
        """Wait until all entries are ready, and all workers are in use."""
        until = time.monotonic() + READY_S
        while not all([await self.is_ready(e) for e in self.entries]):
            if time.monotonic() > until:
                raise CannotRunError("the entries are not ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)
        self.log("ready")

    # -- clients ------------------------------------------------------------

    def front(self, entry: str) -> str:
        """Return the address of an entry for clients."""
        address: str = self.fields[entry]["listen_addresses"]["front"]
        return self.public.get(entry, address)

    async def post(
        self,
        address: str,
        job: str,
        steps: list[dict[str, Any]],
        patience_s: float,
        spec: str = "s",
    ) -> int:
        """Submit a job that need not be kept; return the status, or 0."""
        self.log("post", job=job, to=address, patience_s=patience_s)
        status, body = await call_http(
            address,
            "POST",
            PREFIX + job,
            {"Host": HOST, "Deadline-Ms": str(int(patience_s * 1000))},
            {"spec": spec, "steps": steps, "best_effort": True},
            patience_s,
        )
        self.log("answer", job=job, to=address, status=status, body=body)
        return status

    def add_company(self, count: int) -> None:
        """Submit short jobs that nobody cancels, at all entries in turn."""
        step = {"count": 1, "cpu": 250, "mem_mb": 64, "estimated_ms": 100}
        for number in range(count):
            entry = self.entries[number % len(self.entries)]
            job = new_job()
            self.work[job] = (250, 0.1)
            self.spawn(self.post(self.front(entry), job, [step], 5.0))

    async def delete(self, address: str, job: str) -> int:
        """Cancel a job; return the status of the answer, or 0."""
        self.log("delete", job=job, to=address)
        status, _ = await call_http(
            address, "DELETE", PREFIX + job, {"Host": HOST}, timeout_s=4.0
        )
        self.log("delete-answer", job=job, to=address, status=status)
        return status

    # -- what was seen ------------------------------------------------------

    def intervals(self) -> list[Interval]:
        """Return all runs on all workers."""
        found: list[Interval] = []
        for worker in self.workers:
            found += worker.history + worker.open_intervals()
        return sorted(found, key=lambda i: i.start)

    def overlaps(self) -> list[tuple[Interval, Interval]]:
        """Return the pairs of runs of one task that overlap."""
        runs = self.intervals()
        return [
            (one, other)
            for at, one in enumerate(runs)
            for other in runs[at + 1 :]
            if one.task == other.task
            and other.start < one.end
            and one.start < other.end
        ]

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this test."""
        self.log("signal", name=name, signal=number.name)
        self.processes[name].send_signal(number)

    async def stop(self) -> None:
        """End all processes of this test."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for task in self.tasks:
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(
                self.temp, os.environ["KEEP_LOGS"], dirs_exist_ok=True
            )
        shutil.rmtree(self.temp, ignore_errors=True)
        self.record.close()


class Balancer:
    """The platform's address for clients, as PROTOCOL.md tells (Ingress).

    Each new connection of a client goes to the entry that its hash selects;
    after two misses of the check each second an entry gets none until it is
    ready again. A client whose connection is refused goes to another one.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._misses = dict.fromkeys(fleet.entries, 0)

    async def run(self) -> None:
        """Check the entries each second, until cancelled."""
        while True:
            for name in self._fleet.entries:
                ready = await self._fleet.is_ready(name)
                self._misses[name] = 0 if ready else self._misses[name] + 1
            await asyncio.sleep(1.0)

    async def connect(
        self, client: int
    ) -> tuple[str, asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection; return the entry that serves it, too."""
        names = self._fleet.entries
        order = [names[(client + n) % len(names)] for n in range(len(names))]
        in_rotation = [n for n in order if self._misses[n] < 2]
        for name in in_rotation or order:
            host, _, port = self._fleet.front(name).rpartition(":")
            try:
                streams = await asyncio.open_connection(host, int(port))
            except OSError:
                continue
            return name, *streams
        raise ConnectionRefusedError

    async def call(
        self,
        client: int,
        method: str,
        job: str,
        body: Any = None,
        patience_s: float = 4.0,
    ) -> int:
        """Make a call on a new connection; return its status, or 0."""
        data = b"" if body is None else json.dumps(body).encode()
        head = {"Host": HOST, "Content-Type": "application/json"}
        if body is not None:
            head["Deadline-Ms"] = str(int(patience_s * 1000))
        entry, status = "", 0
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(patience_s):
                entry, reader, writer = await self.connect(client)
                self._fleet.log("sent", call=method, job=job, to=entry)
                writer.write(encode_request(method, PREFIX + job, head, data))
                status, _ = await read_response(reader)
        except (TimeoutError, OSError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self._fleet.log(
            "answered", call=method, job=job, to=entry, status=status
        )
        return status


class Connection:
    """An open connection of a client to an entry, on which it makes calls."""

    def __init__(self, fleet: Fleet, entry: str) -> None:
        self._fleet = fleet
        self._entry = entry
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def post(
        self,
        job: str,
        steps: list[dict[str, Any]],
        patience_s: float,
    ) -> int:
        """Submit a job; without an answer in time close the connection.

        :return: the status of the answer, or 0.
        """
        if self._streams is None:
            host, _, port = self._fleet.front(self._entry).rpartition(":")
            self._streams = await asyncio.open_connection(host, int(port))
        reader, writer = self._streams
        self._fleet.log("post", job=job, to=self._entry, patience_s=patience_s)
        head = {
            "Host": HOST,
            "Content-Type": "application/json",
            "Deadline-Ms": str(int(patience_s * 1000)),
        }
        body = {"spec": "s", "steps": steps, "best_effort": True}
        data = json.dumps(body).encode()
        writer.write(encode_request("POST", PREFIX + job, head, data))
        status = 0
        try:
            async with asyncio.timeout(patience_s):
                status, _ = await read_response(reader)
        except (TimeoutError, OSError):
            pass
        if not status:
            writer.close()
            self._streams = None
        self._fleet.log("answer", job=job, to=self._entry, status=status)
        return status


class CannotRunError(Exception):
    """The case could not be set up."""


_USED: set[int] = set()


def free_port(host: str) -> int:
    """Return a free port that was not handed out before."""
    while True:
        with socket.socket() as sock:
            sock.bind((host, 0))
            port: int = sock.getsockname()[1]
        if port not in _USED and port < 60000:
            _USED.add(port)
            return port


def new_job() -> str:
    """Return a new id of a job."""
    return f"{random.getrandbits(64):016x}"


def run_case(make: Callable[[], Any]) -> None:
    """Run a case; exit with 1 if the rule was broken, 2 if it could not run.

    :param make: returns a coroutine that returns whether the rule held.
    """
    try:
        held = asyncio.run(make())
    except Exception as exc:
        print(f"could not run: {exc!r}")
        sys.exit(2)
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
