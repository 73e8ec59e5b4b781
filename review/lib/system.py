"""Starts the programs of this repository with the deploy file's commands."""

from __future__ import annotations

import asyncio
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
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from stand_ins import HttpServer, Record, Store, Work, Worker, request

ROOT = Path(__file__).resolve().parents[2]
LIMIT_S = 110.0
METRICS_PORT = 9464
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "desk.example"
PREFIX = "/jobs/"
# As on the page of the small deployment kyklos-ops.
BOUNDS = {
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "drain_timeout_ms": 2000,
    "grace_period_s": 6,
    "config_apply_ms": 2000,
    "max_hold_ms": 1000,
    "stop_timeout_ms": 50,
    "cancel_ms": 3000,
    "retransmit_ms": 1300,
}
CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "swap-approval",
            "host": HOST,
            "prefix": PREFIX,
            "service": "desk",
            "target_latency_ms": 60,
            "priority": 2,
            "max_attempts": 4,
            "stretch": 2.0,
        }
    ],
    "services": [{"name": "desk", "rejects_overload": True}],
    "limits": {},
}


class CannotRunError(Exception):
    """The case could not be set up."""


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of settings as the page on deployment tells."""

    def find(name: str, scope: list[Any]) -> Any:
        if name == ".":
            return scope[-1]
        for entry in reversed(scope):
            value: Any = entry
            for part in name.split("."):
                if isinstance(value, dict):
                    value = value.get(part)
                elif isinstance(value, list) and part.isdigit():
                    value = value[int(part)]
                else:
                    value = None
            if value is not None:
                return value
        return None

    def fill(text: str, scope: list[Any]) -> str:
        section = re.compile(
            r"\{\{([#^])([\w.]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", re.DOTALL
        )

        def expand(found: re.Match[str]) -> str:
            sign, name, inner = found.groups()
            value = find(name, scope)
            if sign == "^":
                return "" if value else fill(inner, scope)
            return fill(inner, [*scope, value]) if value else ""

        text = section.sub(expand, text)

        def replace(found: re.Match[str]) -> str:
            name, _, form = found.group(1).partition("|")
            value = find(name, scope)
            if form == "json" or isinstance(value, dict | list):
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.|]+)\}\}", replace, text)

    return fill(template, [fields])


class Machine:
    """One machine of the system, with one process of a role."""

    def __init__(
        self, system: System, role: str, name: str, zone: str
    ) -> None:
        self._system = system
        self.role = role
        self.name = name
        self.zone = zone
        self.ip = system.free_ip()
        self.serves = "front" if role == "entry" else "control"
        self.address = f"{self.ip}:{free_port(self.ip)}"
        self.ready = f"{self.ip}:{free_port(self.ip)}"
        self.rpc_port = free_port(self.ip)
        self.process: subprocess.Popen[bytes] | None = None
        self.store = ""

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        listen = {self.serves: self.address}
        if self.role == "entry":
            listen["ready"] = self.ready
        fields = {
            "node": self.name,
            "role": self.role,
            "ip": self.ip,
            "zone": self.zone,
            "listen_addresses": listen,
            "internal_port_range": [self.rpc_port, self.rpc_port + 15],
            "bounds": BOUNDS,
            "heartbeat_interval_ms": 1500,
            "platform": {"address": self.store, "form": "kv"},
        }
        deploy = self._system.deploy["roles"][self.role]
        template = (ROOT / deploy["template"]).read_text()
        path = self._system.folder / f"{self.name}.settings"
        path.write_text(render(template, fields))
        words = render(deploy["run"], fields).split()
        env = {
            k: v
            for k, v in os.environ.items()
            if k in ("PATH", "HOME", "LANG")
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["BRIARFORD_NODE_FILE"] = str(path)
        log = (self._system.folder / f"{self.name}.log").open("ab")
        with log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send(self, sig: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None:
            self.process.send_signal(sig)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    def log(self) -> str:
        """Return what the process has written so far."""
        return (self._system.folder / f"{self.name}.log").read_text()


class System:
    """A small deployment: entries, agents with a worker each, and a store."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )
        self.store = Store(record)
        self.entries: list[Machine] = []
        self.agents: list[Machine] = []
        self.workers: list[Worker] = []
        self.work: dict[str, Work] = {}
        self._net = random.randrange(20, 250), random.randrange(1, 250)
        self._last_ip = 9
        self._servers: list[HttpServer] = []

    def free_ip(self) -> str:
        """Return a loopback address on which the metrics port is free."""
        while True:
            self._last_ip += 1
            ip = f"127.{self._net[0]}.{self._net[1]}.{self._last_ip}"
            with socket.socket() as sock, contextlib.suppress(OSError):
                sock.bind((ip, METRICS_PORT))
                return ip

    async def serve(self, server: HttpServer, ip: str = "") -> str:
        """Start a server of the test; return its address."""
        await server.start(ip or self.free_ip())
        self._servers.append(server)
        return server.address

    async def start(
        self,
        entries: int,
        workers: int,
        config: dict[str, Any] | None = None,
        labels: list[tuple[str, ...]] | None = None,
        addresses: dict[int, dict[str, str]] | None = None,
        agents_made: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Start all processes, and wait until all entries are ready.

        :param labels: of each worker.
        :param addresses: by entry, the addresses at which it sees agents.
        :param agents_made: called once the addresses of agents are known.
        """
        value = json.dumps(CONFIG if config is None else config).encode()
        self.store.put("op/config", value)
        address = await self.serve(HttpServer(self.store.handler()))
        zones = ["attica-a", "attica-b", "piraeus", "patras"]
        for n in range(workers):
            agent = Machine(self, "agent", f"side-{n + 1}", zones[n % 4])
            agent.store = address
            self.agents.append(agent)
        if agents_made is not None:
            await agents_made()
        for n in range(entries):
            entry = Machine(self, "entry", f"front-{n + 1}", zones[n % 4])
            entry.store = address
            if addresses is not None and n in addresses:
                handler = self.store.handler(addresses[n])
                entry.store = await self.serve(HttpServer(handler))
            self.entries.append(entry)
        for machine in (*self.agents, *self.entries):
            machine.start()
        for n, agent in enumerate(self.agents):
            worker = Worker(
                self.record,
                f"i-{n + 1}",
                agent.ip,
                agent.zone,
                agent.address,
                self.work,
            )
            if labels is not None:
                worker.labels = labels[n]
            self.workers.append(worker)
            await worker.boot()
        await self.wait_until_serving()

    async def wait_until_serving(self) -> None:
        """Wait until each entry has served a job that uses all workers."""
        for entry in self.entries:
            await self.wait_until_ready(entry)
            while self.record.now() < 30.0:
                job = new_id()
                self.work[job] = Work(1000, 0.05)
                status, _ = await self.submit(
                    entry, job, [step(4, cpu=1000, estimated_ms=50)]
                )
                if status == 200:
                    break
                await asyncio.sleep(0.2)
            else:
                raise CannotRunError(f"{entry.name} serves nothing")
        # The attachments of all entries to all agents settle.
        await asyncio.sleep(1.5)
        self.record.add("all entries serve")

    async def wait_until_ready(self, entry: Machine) -> None:
        """Wait until the check of the balancer succeeds."""
        while self.record.now() < 30.0:
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                status, _ = await request(
                    entry.ready, "GET", "/briarford/ready", timeout_s=1.0
                )
                if status == 200:
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{entry.name} is not ready")

    async def submit(
        self, entry: Machine, job: str, steps: list[dict[str, Any]]
    ) -> tuple[int, bytes]:
        """Submit a job and wait for its answer."""
        return await request(
            entry.address, "POST", PREFIX + job, job_body(steps), CLIENT
        )

    async def stop(self) -> None:
        """End all that was started."""
        for machine in (*self.entries, *self.agents):
            machine.kill()
        for worker in self.workers:
            await worker.crash()
        for server in self._servers:
            await server.stop()


CLIENT = {"Host": HOST, "Deadline-Ms": "30000"}


def job_body(steps: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the body that submits a job."""
    return {"spec": "swap 4711", "best_effort": True, "steps": steps}


def step(count: int, **fields: Any) -> dict[str, Any]:
    """Return a step of a job."""
    return {"count": count, "mem_mb": 64, **fields}


def new_id() -> str:
    """Return a fresh job id."""
    return f"{random.randrange(1, 2**64):016x}"


def free_port(ip: str) -> int:
    """Return a port that is free at present."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        port: int = sock.getsockname()[1]
        return port


def overlaps(workers: list[Worker], job: str) -> list[str]:
    """Describe the pairs of runs of one task that went on together."""
    runs = [
        r for w in workers for r in w.history if r.task.startswith(f"{job}.")
    ]
    found = []
    for at, run in enumerate(runs):
        for other in runs[at + 1 :]:
            if run.task != other.task:
                continue
            now = time.monotonic()
            until = min(run.ended_at, other.ended_at, now)
            span_s = until - max(run.began_at, other.began_at)
            if span_s > 0:
                found.append(
                    f"{run.task}: run {run.number} on {run.worker} and run"
                    f" {other.number} on {other.worker} at the same time for"
                    f" {span_s * 1000:.0f} ms"
                )
    return found


Case = Callable[[System, bool], Awaitable[list[str]]]


def run_case(case: Case, folder: Path) -> None:
    """Run a case, write its record, and exit with its result.

    :param case: gets the system and whether the disruption takes place;
        returns how the rule was broken.
    :param folder: of the case.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: run the build of the deploy file")
        sys.exit(NOT_RUN)
    record = Record()
    work = Path(tempfile.mkdtemp(prefix="review-"))
    status = NOT_RUN
    try:
        broken = asyncio.run(_run(case, record, work, trouble))
        for text in broken:
            record.add(f"BROKEN: {text}")
        status = BROKEN if broken else HELD
        if not broken:
            record.add("the rule held")
    except Exception as exc:
        record.add(f"could not run: {exc!r}")
    finally:
        text = "\n".join(record.lines) + "\n"
        (folder / "record.txt").write_text(text)
        if os.environ.get("KEEP_LOGS") and work.is_dir():
            shutil.copytree(work, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(work, ignore_errors=True)
    print(record.lines[-1].strip())
    sys.exit(status)


async def _run(
    case: Case, record: Record, folder: Path, trouble: bool
) -> list[str]:
    system = System(record, folder)
    try:
        async with asyncio.timeout(LIMIT_S):
            return await case(system, trouble)
    finally:
        await system.stop()
