"""Every daemon as a real process: submit, drain, stop, kill."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from briarford_daemon.client import Answer, Client

SERVICE = "lease-desk"
READY_WITHIN_S = 30.0
JOB_WITHIN_S = 30.0
POLL_S = 0.05
PORTS = (20_000, 30_000)
TAKEN: set[int] = set()  # given out, though nothing may listen there yet


class Fleet:
    """Real processes on loopback, each ended by its own id."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self.http: dict[str, str] = {}
        self.rpc: dict[str, str] = {}

    async def spawn(self, name: str, module: str, *args: str) -> None:
        paths = os.pathsep.join(p for p in sys.path if p)
        with (self._folder / f"{name}.log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *args,
                stderr=log,
                env={**os.environ, "PYTHONPATH": paths},
            )
        self._processes[name] = process

    async def start_entry(self, name: str) -> None:
        text = self._settings(name) + f'rpc = "{self.rpc[name]}"\n'
        await self._start_daemon("entry", name, text)

    async def start_agent(self, name: str) -> None:
        entries = ", ".join(f'"{a}"' for a in self.rpc.values())
        text = self._settings(name) + f"entries = [{entries}]\n"
        await self._start_daemon("agent", name, text)
        await self.spawn(
            f"backend-of-{name}",
            "briarford_cli.main",
            "backend-stand-in",
            "--agent",
            self.http[name],
            "--service",
            SERVICE,
        )

    async def _start_daemon(self, role: str, name: str, text: str) -> None:
        path = self._folder / f"{name}.toml"
        path.write_text(text)
        await self.spawn(
            name, "briarford_daemon.main", role, "--settings", str(path)
        )

    def _settings(self, name: str) -> str:
        http = self.http.setdefault(name, f"127.0.0.1:{free_port()}")
        return (
            f'name = "{name}"\nzone = "zone-a"\nhttp = "{http}"\n'
            'log_level = "warning"\nstop_within_s = 20.0\n'
        )

    def signal(self, name: str, signum: int) -> None:
        self._processes[name].send_signal(signum)

    async def wait(self, name: str) -> int:
        return await self._processes[name].wait()

    async def end(self) -> None:
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self._processes.values():
            await process.wait()


def free_port() -> int:
    """Find a port that no process takes as its ephemeral one."""
    while True:
        port = random.randrange(*PORTS)
        if port in TAKEN:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            TAKEN.add(port)
            return port


def test_a_port_is_given_out_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A process may listen on it long after it was chosen."""
    first = free_port()
    drawn = iter([first, first, free_port() + 1, *range(*PORTS)])
    monkeypatch.setattr(random, "randrange", lambda *_: next(drawn))
    assert free_port() != first


async def wait_until(client: Client, entry: int, workers: int) -> None:
    deadline = time.time() + READY_WITHIN_S
    while time.time() < deadline:
        answer = await client.get("/v1/status", entry)
        if answer and answer.body["state"]["workers"] == workers:
            return
        await asyncio.sleep(POLL_S)
    raise AssertionError(f"entry {entry} has not {workers} workers in time")


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[Fleet]:
    fleet = Fleet(tmp_path)
    entries = ("entry-1", "entry-2")
    for name in entries:
        fleet.rpc[name] = f"127.0.0.1:{free_port()}"
    try:
        for name in entries:
            await fleet.start_entry(name)
        for name in ("worker-1", "worker-2"):
            await fleet.start_agent(name)
        yield fleet
    finally:
        await fleet.end()


def stop_worker(fleet: Fleet) -> None:
    fleet.signal("worker-1", signal.SIGTERM)


def withdraw_backend(fleet: Fleet) -> None:
    fleet.signal("backend-of-worker-1", signal.SIGTERM)


def stop_other_entry(fleet: Fleet) -> None:
    fleet.signal("entry-2", signal.SIGTERM)


def kill_worker(fleet: Fleet) -> None:
    fleet.signal("worker-1", signal.SIGKILL)


def do_nothing(fleet: Fleet) -> None:
    pass


WHOLE = [{"value": i} for i in range(40)]


def check_whole(answer: Answer) -> None:
    assert answer.status == 200, answer.body
    values = [r["echo"] for r in answer.body["results"]]
    assert values == [p["value"] for p in WHOLE]


def check_whole_or_failed(answer: Answer) -> None:
    if answer.status == 200:
        check_whole(answer)
        return
    assert answer.body["did_run"] == "unknown"
    assert "results" not in answer.body


@pytest.mark.parametrize(
    ("event", "check"),
    [
        pytest.param(do_nothing, check_whole, id="nothing"),
        pytest.param(stop_worker, check_whole, id="agent-stops"),
        pytest.param(withdraw_backend, check_whole, id="backend-leaves"),
        pytest.param(stop_other_entry, check_whole, id="other-entry-stops"),
        pytest.param(kill_worker, check_whole_or_failed, id="agent-killed"),
    ],
)
async def test_jobs_in_flight_through_an_event(
    fleet: Fleet,
    event: Callable[[Fleet], None],
    check: Callable[[Answer], None],
) -> None:
    addresses = [fleet.http["entry-1"], fleet.http["entry-2"]]
    async with Client(addresses) as client:
        for entry in range(2):
            await wait_until(client, entry, workers=2)
        tasks = [{"payload": {"run_ms": 100, **p}} for p in WHOLE]
        deadline = time.time() + JOB_WITHIN_S
        jobs = [
            asyncio.create_task(client.run_job(SERVICE, tasks, deadline))
            for _ in range(3)
        ]
        await asyncio.sleep(POLL_S)
        event(fleet)
        for job in jobs:
            check(await job)


async def test_entry_stops_after_its_jobs_are_answered(fleet: Fleet) -> None:
    async with Client([fleet.http["entry-1"]]) as client:
        await wait_until(client, 0, workers=2)
        tasks = [{"payload": {"run_ms": 300, **p}} for p in WHOLE]
        job = asyncio.create_task(
            client.run_job(SERVICE, tasks, time.time() + JOB_WITHIN_S)
        )
        while True:
            answer = await client.get("/v1/status")
            if answer and answer.body["state"]["jobs_running"]:
                break
            await asyncio.sleep(POLL_S)
        fleet.signal("entry-1", signal.SIGTERM)
        check_whole(await job)
        assert await fleet.wait("entry-1") == 0


async def test_a_job_submitted_at_both_entries_starts_once(
    fleet: Fleet,
) -> None:
    addresses = [fleet.http["entry-1"], fleet.http["entry-2"]]
    async with Client(addresses) as client:
        for entry in range(2):
            await wait_until(client, entry, workers=2)
        tasks = [{"payload": {"run_ms": 50, **p}} for p in WHOLE]
        deadline = time.time() + JOB_WITHIN_S
        job_id = (await client.allocate_ids(1, 0))[0]
        answers = await asyncio.gather(
            *(
                client.submit(job_id, SERVICE, tasks, deadline, entry)
                for entry in (1, 0, 1)
            )
        )
        for answer in answers:
            check_whole(answer)
        started = await count_starts(client)
        assert started == len(WHOLE)


async def count_starts(client: Client) -> int:
    """Count the attempts that ended at either entry."""
    total = 0.0
    for entry in range(2):
        answer = await client.get("/v1/status", entry)
        assert answer is not None
        total += answer.body["state"]["attempts_ended"]
    return int(total)
