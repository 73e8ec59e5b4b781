"""Starts the project's processes as the deploy file says, on loopback."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from record import Record
from store import Store
from web import call
from worker import Worker

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
HOST = "desk.example"
PREFIX = "/jobs/"
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
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-desk",
            "host": HOST,
            "prefix": PREFIX,
            "service": "desk",
            "priority": 0,
            "max_attempts": 3,
            "stretch": 1.6,
            "target_latency_ms": 60,
        }
    ],
    "services": [{"name": "desk", "rejects_overload": True}],
    "limits": {},
}


class CannotRunError(Exception):
    """The case could not run."""


def _lookup(scopes: list[Any], name: str) -> Any:
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
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


def render(text: str, scopes: list[Any]) -> str:
    """Fill in a template of settings as the platform does."""
    section = re.compile(
        r"\{\{([#^])([\w.]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", re.DOTALL
    )

    def fill_section(match: re.Match[str]) -> str:
        kind, name, inner = match.groups()
        value = _lookup(scopes, name)
        if kind == "^":
            return "" if value else render(inner, scopes)
        if not value:
            return ""
        entries = value if isinstance(value, list) else [value]
        return "".join(render(inner, [*scopes, e]) for e in entries)

    def fill(match: re.Match[str]) -> str:
        name, as_json = match.groups()
        value = _lookup(scopes, name)
        if as_json:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = section.sub(fill_section, text)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text)


def free_port(host: str) -> int:
    """Return a port that is free on an address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
        return port


class Process:
    """One process of a role."""

    def __init__(
        self, role: str, name: str, ip: str, store: str, folder: Path
    ) -> None:
        self.role = role
        self.name = name
        self.ip = ip
        self._folder = folder
        self._popen: subprocess.Popen[bytes] | None = None
        ports = [free_port(ip) for _ in range(4)]
        side = role == "agent"
        listen = {"control": f"{ip}:{ports[0]}"}
        if not side:
            listen = {
                "front": f"{ip}:{ports[0]}",
                "ready": f"{ip}:{ports[1]}",
            }
        self.fields: dict[str, Any] = {
            "node": name,
            "role": role,
            "machine_class": "side" if side else "front",
            "ip": ip,
            "zone": "zone-a",
            "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "listen_addresses": listen,
            "internal_port_range": [ports[2], ports[2] + 15],
            "bounds": BOUNDS,
            "heartbeat_interval_ms": 1500,
            "platform": {"address": store, "form": "kv"},
            "orders": "request",
        }
        self.listen = listen

    def start(self) -> None:
        """Start it with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"][self.role]
        template = (ROOT / role["template"]).read_text()
        settings = self._folder / f"{self.name}.toml"
        settings.write_text(render(template, [self.fields]))
        command = render(role["run"], [self.fields]).split()
        env = {k: v for k, v in os.environ.items() if k in {"PATH", "HOME"}}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["BRIARFORD_NODE_FILE"] = str(settings)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._popen = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if it runs."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(number)

    def status(self) -> int | None:
        """Return the exit status; None while it runs."""
        return None if self._popen is None else self._popen.poll()

    def end(self) -> None:
        """Kill it and wait for its end."""
        if self._popen is not None:
            self._popen.kill()
            self._popen.wait()

    def log(self) -> str:
        """Return what it has logged."""
        return (self._folder / f"{self.name}.log").read_text()


class Fleet:
    """Some entries and agents, and the store."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self.net = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        self._hosts = iter(range(10, 250))
        self.store = Store(self.host())
        self.processes: dict[str, Process] = {}
        self._store_address = ""

    def host(self) -> str:
        """Return a loopback address that nothing else uses."""
        return f"{self.net}.{next(self._hosts)}"

    async def start_store(self, config: dict[str, Any] | None = None) -> None:
        """Start the store with the first configuration."""
        value = json.dumps(config or CONFIG).encode()
        self.store.put("op/config", base64.b64encode(value).decode())
        self._store_address = await self.store.start()

    def launch(self, role: str, name: str) -> Process:
        """Start a process on an address of its own."""
        process = Process(
            role, name, self.host(), self._store_address, self.folder
        )
        self.processes[name] = process
        process.start()
        self._record.add("process-started", name=name, ip=process.ip)
        return process

    async def until_ready(self, entry: Process, timeout_s: float) -> None:
        """Wait until the load balancer would send requests to an entry."""
        try:
            async with asyncio.timeout(timeout_s):
                while not await self.is_ready(entry):  # noqa: ASYNC110
                    await asyncio.sleep(0.1)
        except TimeoutError as exc:
            raise CannotRunError(f"{entry.name} is not ready") from exc

    async def until_controlled(
        self, workers: Iterable[Worker], timeout_s: float
    ) -> None:
        """Wait until each worker has been called by its agent."""
        for worker in workers:
            try:
                async with asyncio.timeout(timeout_s):
                    while not worker.life.token:  # noqa: ASYNC110
                        await asyncio.sleep(0.1)
            except TimeoutError as exc:
                raise CannotRunError(f"{worker.name} is not called") from exc
        # Entries dial the agents and get the status of their workers.
        await asyncio.sleep(2.0)

    async def is_ready(self, entry: Process) -> bool:
        """Return what an entry answers to the load balancer."""
        address = entry.listen["ready"]
        try:
            status, _ = await call(
                address, "GET", "/briarford/ready", timeout_s=1.0
            )
        except (OSError, TimeoutError):
            return False
        return status == 200

    async def stop(self) -> None:
        """End all processes and the store."""
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.end()
        await self.store.stop()
        self._temporary.cleanup()


def job(
    ms: list[int], count: int = 1, cpu: int = 3000, estimated: bool = True
) -> dict[str, Any]:
    """Return a job; its steps follow one another.

    :param ms: for each step, the milliseconds that its tasks work.
    """
    steps = []
    for number, work_ms in enumerate(ms):
        step: dict[str, Any] = {"count": count, "cpu": cpu, "mem_mb": 64}
        step["estimated_ms"] = work_ms if estimated else 100
        if number:
            step["after"] = [number - 1]
        steps.append(step)
    spec = json.dumps({"ms": ms, "cpu": cpu})
    return {"spec": spec, "steps": steps, "best_effort": True}


def new_id() -> str:
    """Return an id for a job."""
    return f"{random.getrandbits(64):016x}"


async def submit(
    record: Record,
    entry: Process,
    job_id: str,
    body: dict[str, Any],
    deadline_ms: int = 15000,
) -> int:
    """Hand a job in and wait for its answer; return its status.

    0 if there was none.
    """
    record.add("job-sent", entry=entry.name, job=job_id)
    headers = {"Host": HOST, "Deadline-Ms": str(deadline_ms)}
    path = PREFIX + job_id
    try:
        status, answer = await call(
            entry.listen["front"],
            "POST",
            path,
            body,
            headers,
            deadline_ms / 1000,
        )
    except (OSError, TimeoutError) as exc:
        record.add("job-unanswered", job=job_id, error=repr(exc))
        return 0
    record.add("job-answered", job=job_id, status=status, answer=answer)
    return status
