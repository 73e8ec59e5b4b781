"""Entries, agents and backend servers as real processes on loopback.

Guards against answers that are lost, partial or doubled when one of the
processes is stopped or killed while jobs are in flight.
"""

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
READY_TIMEOUT_S = 30.0
JOB_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
PORT_RANGE = (20_000, 30_000)
# Ports for processes that were started or will be. A process may take a while
# to listen on its port, so binding the port does not show that it was chosen.
CHOSEN_PORTS: set[int] = set()


class Fleet:
    """Starts and stops the processes, each by its own process id."""

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

    async def kill_all(self) -> None:
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self._processes.values():
            await process.wait()


def free_port() -> int:
    """Return a free port that the system does not use as an ephemeral port."""
    while True:
        port = random.randrange(*PORT_RANGE)
        if port in CHOSEN_PORTS:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            CHOSEN_PORTS.add(port)
            return port


def test_free_port_is_not_chosen_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Until its process listens, a chosen port still looks free."""
    first = free_port()
    candidates = iter([first, first, free_port() + 1, *range(*PORT_RANGE)])
    monkeypatch.setattr(random, "randrange", lambda *_: next(candidates))
    assert free_port() != first


async def wait_until(client: Client, entry: int, workers: int) -> None:
    deadline = time.time() + READY_TIMEOUT_S
    while time.time() < deadline:
        answer = await client.get("/v1/status", entry)
        if answer and answer.body["state"]["workers"] == workers:
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError(
        f"entry {entry} does not have {workers} workers in time"
    )


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
        await fleet.kill_all()


def stop_agent(fleet: Fleet) -> None:
    fleet.signal("worker-1", signal.SIGTERM)


def withdraw_backend(fleet: Fleet) -> None:
    fleet.signal("backend-of-worker-1", signal.SIGTERM)


def stop_other_entry(fleet: Fleet) -> None:
    fleet.signal("entry-2", signal.SIGTERM)


def kill_agent(fleet: Fleet) -> None:
    fleet.signal("worker-1", signal.SIGKILL)


def do_nothing(fleet: Fleet) -> None:
    pass


PAYLOADS = [{"value": i} for i in range(40)]


def check_completed(answer: Answer) -> None:
    assert answer.status == 200, answer.body
    values = [r["echo"] for r in answer.body["results"]]
    assert values == [p["value"] for p in PAYLOADS]


def check_completed_or_unknown(answer: Answer) -> None:
    """Check for all results, or for none and ``did_run`` unknown."""
    if answer.status == 200:
        check_completed(answer)
        return
    assert answer.body["did_run"] == "unknown"
    assert "results" not in answer.body


@pytest.mark.parametrize(
    ("event", "check"),
    [
        pytest.param(do_nothing, check_completed, id="nothing"),
        pytest.param(stop_agent, check_completed, id="agent-stops"),
        pytest.param(withdraw_backend, check_completed, id="backend-leaves"),
        pytest.param(
            stop_other_entry, check_completed, id="other-entry-stops"
        ),
        pytest.param(
            kill_agent, check_completed_or_unknown, id="agent-killed"
        ),
    ],
)
async def test_jobs_in_flight_get_no_partial_answer_after_an_event(
    fleet: Fleet,
    event: Callable[[Fleet], None],
    check: Callable[[Answer], None],
) -> None:
    """Each job completes; if an agent is killed, it may fail as a whole."""
    addresses = [fleet.http["entry-1"], fleet.http["entry-2"]]
    async with Client(addresses) as client:
        for entry in range(2):
            await wait_until(client, entry, workers=2)
        tasks = [{"payload": {"run_ms": 100, **p}} for p in PAYLOADS]
        deadline = time.time() + JOB_TIMEOUT_S
        jobs = [
            asyncio.create_task(client.run_job(SERVICE, tasks, deadline))
            for _ in range(3)
        ]
        await asyncio.sleep(POLL_INTERVAL_S)
        event(fleet)
        for job in jobs:
            check(await job)


async def test_entry_stops_after_its_jobs_are_answered(fleet: Fleet) -> None:
    async with Client([fleet.http["entry-1"]]) as client:
        await wait_until(client, 0, workers=2)
        tasks = [{"payload": {"run_ms": 300, **p}} for p in PAYLOADS]
        job = asyncio.create_task(
            client.run_job(SERVICE, tasks, time.time() + JOB_TIMEOUT_S)
        )
        while True:
            answer = await client.get("/v1/status")
            if answer and answer.body["state"]["jobs_running"]:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        fleet.signal("entry-1", signal.SIGTERM)
        check_completed(await job)
        assert await fleet.wait("entry-1") == 0


async def test_a_job_submitted_at_both_entries_starts_once(
    fleet: Fleet,
) -> None:
    addresses = [fleet.http["entry-1"], fleet.http["entry-2"]]
    async with Client(addresses) as client:
        for entry in range(2):
            await wait_until(client, entry, workers=2)
        tasks = [{"payload": {"run_ms": 50, **p}} for p in PAYLOADS]
        deadline = time.time() + JOB_TIMEOUT_S
        job_id = (await client.allocate_ids(1, 0))[0]
        answers = await asyncio.gather(
            *(
                client.submit(job_id, SERVICE, tasks, deadline, entry)
                for entry in (1, 0, 1)
            )
        )
        for answer in answers:
            check_completed(answer)
        started = await count_starts(client)
        assert started == len(PAYLOADS)


async def count_starts(client: Client) -> int:
    """Count the attempts that ended at either entry."""
    total = 0.0
    for entry in range(2):
        answer = await client.get("/v1/status", entry)
        assert answer is not None
        total += answer.body["state"]["attempts_ended"]
    return int(total)
