"""Clients that have left without a sign that the entry has seen.

Two entries, two agents and their workers, as real processes.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import time

import pytest

from fleet.worker import Interval
from soak import JOB, REPEAT_DELAY_S, Soak

WORK_S = 4.0
DEADLINE_S = 1.0
START_S = 30.0
JOBS = 20
# An entry serves shortly before it logs that it has started.
SERVED_EARLY_S = 0.02
# A request that is held arrives while its repeat runs at the other entry.
HELD_S = 2.6
PATIENCE_S = 1.0
REPEATED_AFTER_S = 1.0
REPEAT_WORK_S = 2.0
# The workers have room for all requests and their repeats at once.
CPU = 200
SMALL_JOB = {**JOB, "steps": [{**JOB["steps"][0], "cpu": CPU}]}


@pytest.fixture
async def fleet(tmp_path):
    fleet = Soak(1, tmp_path, entries=2, agents=2, is_metered=False)
    await fleet.start()
    for entry in fleet.entries:
        await serve(fleet, entry)
    yield fleet
    await fleet.stop()


async def serve(fleet: Soak, entry: str) -> None:
    """Wait until an entry serves jobs."""
    async with asyncio.timeout(START_S):
        while True:
            if await fleet.submit(entry, new_job(fleet, 0.05), 5.0) == 200:
                return
            await asyncio.sleep(0.1)


def new_job(fleet: Soak, work_s: float, cpu: int = 1000) -> str:
    job = f"{next(fleet._jobs):016x}"
    for worker in fleet.workers:
        worker.core.needs[job] = (cpu, work_s)
    return job


async def wait_for_run(fleet: Soak, job: str) -> None:
    async with asyncio.timeout(START_S):
        while True:
            if any(r.task.startswith(job) for r in fleet.runs()):
                return
            await asyncio.sleep(0.01)


def overlaps(fleet: Soak, job: str) -> list[tuple[Interval, Interval]]:
    found = [r for r in fleet.runs() if r.task.startswith(job)]
    return [
        (one, other)
        for one in found
        for other in found
        if one.task == other.task
        and one.run < other.run
        and one.start < other.end
        and other.start < one.end
    ]


async def test_a_job_whose_client_waits_no_longer_ends(fleet: Soak):
    """Guards against a job that goes on beside its repeat elsewhere.

    The connection stays open, as if its end had been lost on the way.
    """
    job = new_job(fleet, WORK_S)
    _, writer = await fleet.send("entry-0", job, DEADLINE_S)
    with contextlib.closing(writer):
        await wait_for_run(fleet, job)
        await asyncio.sleep(DEADLINE_S + REPEAT_DELAY_S)
        assert await fleet.submit("entry-1", job, 10.0) == 200
    assert not overlaps(fleet, job)


async def leave_early(fleet: Soak, entry: str) -> dict[str, float]:
    """Send jobs to an entry that is starting, and close the connections.

    :return: when each connection was closed, in Unix seconds.
    """
    closed: dict[str, float] = {}
    async with asyncio.timeout(START_S):
        while len(closed) < JOBS:
            job = new_job(fleet, WORK_S)
            try:
                _, writer = await fleet.send(entry, job, 8.0)
                await writer.drain()
            except OSError:
                await asyncio.sleep(0.01)  # it does not listen yet
                continue
            writer.close()
            await writer.wait_closed()
            closed[job] = time.time()
    return closed


def started_at(fleet: Soak, entry: str) -> float:
    """Return when an entry has begun to serve, in Unix seconds."""
    lines = (fleet.folder / f"{entry}.log").read_text().splitlines()
    events = [json.loads(line) for line in lines]
    return max(e["time"] for e in events if e["message"] == "started")


async def test_a_request_whose_client_has_left_runs_nothing(fleet: Soak):
    """Guards against a run that starts before the end of its connection shows.

    The request waits in the socket on which the entry listens early.
    """
    process = fleet.processes["entry-0"]
    fleet.signal("entry-0", signal.SIGKILL)
    await process.wait()
    closed = await leave_early(fleet, "entry-0")
    await serve(fleet, "entry-0")
    began = started_at(fleet, "entry-0")
    waited = {job for job, at in closed.items() if at < began - SERVED_EARLY_S}
    assert waited
    assert not [r for r in fleet.runs() if r.task.partition(".")[0] in waited]


def encode(job: str, deadline_ms: int = 0) -> bytes:
    body = json.dumps(SMALL_JOB)
    deadline = f"Deadline-Ms: {deadline_ms}\r\n" if deadline_ms else ""
    return (
        f"POST /p/{job} HTTP/1.1\r\nHost: h.example\r\n{deadline}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


async def read_status(reader: asyncio.StreamReader) -> int:
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length:")[2].split()[0])
    await reader.readexactly(length)
    return int(head.split()[1])


class HeldClient:
    """A client whose requests are held on their way to entry-0.

    :param in_use: whether its connection has carried a request before.
    :param deadline_ms: value of its ``Deadline-Ms``; 0 if it sends none.
    :param requests: number of requests that it sends without an answer.
    :param head_bytes: how much of its request arrives before the path is
        held.
    """

    def __init__(
        self,
        in_use: bool = True,
        deadline_ms: int = 1000,
        requests: int = 1,
        head_bytes: int = 0,
    ) -> None:
        self.in_use = in_use
        self.deadline_ms = deadline_ms
        self.requests = requests
        self.head_bytes = head_bytes

    async def connect(self, fleet: Soak) -> None:
        self.fleet = fleet
        host, _, port = fleet.paths["entry-0"].address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, port)
        if self.in_use:
            self.writer.write(encode(new_job(fleet, 0.05, CPU)))
            assert await read_status(self.reader) == 200
        self.jobs = [
            new_job(fleet, REPEAT_WORK_S, CPU) for _ in range(self.requests)
        ]
        self.data = b"".join(encode(j, self.deadline_ms) for j in self.jobs)
        self.writer.write(self.data[: self.head_bytes])

    async def leave_and_repeat(self) -> list[int]:
        """Send requests, leave, and repeat them at the other entry."""
        self.writer.write(self.data[self.head_bytes :])
        await asyncio.sleep(PATIENCE_S)
        self.writer.close()
        await asyncio.sleep(REPEATED_AFTER_S)
        return await asyncio.gather(*map(self.repeat, self.jobs))

    async def repeat(self, job: str) -> int:
        """Send a request on a connection of its own to entry-1."""
        address = self.fleet.settings["entry-1"]["http"]
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, port)
        with contextlib.closing(writer):
            writer.write(encode(job, 10_000))
            return await read_status(reader)

    async def stay(self) -> list[int]:
        """Send requests late, and wait for their answers."""
        await asyncio.sleep(HELD_S - 0.9)
        self.writer.write(self.data[self.head_bytes :])
        return [await read_status(self.reader) for _ in self.jobs]


LEAVING_CLIENTS = {
    "in use": {},
    "in use, no deadline": {"deadline_ms": 0},
    "fresh": {"in_use": False},
    "fresh, no deadline": {"in_use": False, "deadline_ms": 0},
    "two requests": {"requests": 2},
    "sent in part": {"head_bytes": 150},
}
STAYING_CLIENTS = {
    "stays": {"deadline_ms": 9000},
    "stays, fresh, no deadline": {"in_use": False, "deadline_ms": 0},
}


@pytest.mark.parametrize("suspended", [False, True], ids=["cut", "suspended"])
async def test_a_held_request_does_not_run_beside_its_repeat(fleet, suspended):
    """Guards against a request that arrives late and starts its job again.

    The path of the clients to entry-0 is cut, or its machine is suspended.
    What clients have sent meanwhile arrives after they have repeated it at
    entry-1, just before the end of its connection.
    """
    path = fleet.paths["entry-0"]
    kinds = LEAVING_CLIENTS | STAYING_CLIENTS
    clients = {name: HeldClient(**kind) for name, kind in kinds.items()}
    for client in clients.values():
        await client.connect(fleet)
    await asyncio.sleep(0.1)
    path.hold()
    if suspended:
        fleet.signal("entry-0", signal.SIGSTOP)
    calls = [
        asyncio.create_task(
            c.stay() if name in STAYING_CLIENTS else c.leave_and_repeat()
        )
        for name, c in clients.items()
    ]
    await asyncio.sleep(HELD_S)
    if suspended:
        fleet.signal("entry-0", signal.SIGCONT)
    path.release()
    answers = dict(zip(clients, await asyncio.gather(*calls), strict=True))
    twice = [
        (name, overlaps(fleet, job))
        for name, client in clients.items()
        for job in client.jobs
    ]
    assert not [(name, found) for name, found in twice if found]
    assert not {
        n: found for n, found in answers.items() if set(found) != {200}
    }
