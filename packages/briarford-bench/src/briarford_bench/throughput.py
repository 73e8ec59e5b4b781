"""Measures how many task starts a second one entry process can handle."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

import aiohttp

from briarford.dispatch.messages import CallBackend, CallEnded
from briarford.sessions import TaskResult, TaskStatus, WorkerInfo
from briarford_bench.daemons import Daemon, free_address
from briarford_daemon.agent import AgentDaemon
from briarford_daemon.clock import Clock
from briarford_daemon.settings import AgentSettings

__all__ = ["Throughput", "measure_throughput"]

SERVICE = "bench"
ZONE = "z-1"
SLOTS = 8
TASKS_PER_JOB = 100
SETTLE_S = 2.0
ANNOUNCEMENT_TTL_S = 3600.0
ANSWER_TIMEOUT_S = 30.0
POLL_PERIOD_S = 0.1
MAX_START_POLLS = 100
TASK_ANSWER = b'{"worker":"pause","echo":0}'
STATUS_OK = 200


@dataclass(slots=True, frozen=True)
class Throughput:
    """Throughput of one entry process, and the processor time it took.

    :param starts_per_s: tasks of completed jobs a second.
    :param entry_percent: processor time of the entry, percent of one core.
    :param tool_percent: processor time of this process, which runs the
        agents and the client, percent of one core.
    :param starts_per_core_s: tasks for each second of processor time of the
        entry.
    """

    starts_per_s: float
    entry_percent: float
    tool_percent: float
    starts_per_core_s: float


class _SimulatedAgent(AgentDaemon):
    """An agent that sleeps for each task instead of calling a backend server.

    :param run_ms: mean run time of a task in milliseconds; run times are
        spread evenly between half of it and one and a half times.
    """

    def __init__(self, settings: AgentSettings, run_ms: float) -> None:
        super().__init__(settings, Clock())
        self._run_ms = run_ms
        self._run_rng = random.Random(settings.name)

    async def _call(self, effect: CallBackend) -> None:
        run_ms = self._run_ms * self._run_rng.uniform(0.5, 1.5)
        await asyncio.sleep(run_ms / 1000)
        result = TaskResult(
            effect.ref, TaskStatus.DONE, TASK_ANSWER, "", run_ms
        )
        self._driver.post(CallEnded(result))


async def measure_throughput(
    seconds: float,
    workers: int,
    run_ms: float,
    log_level: str,
    profile: str = "",
) -> Throughput:
    """Send jobs through one entry that keep all slots of the workers busy.

    :param seconds: length of the measurement.
    :param workers: workers of 8 slots.
    :param run_ms: mean run time of a task in milliseconds.
    :param log_level: log level of the entry; ``info`` logs each decision.
    :param profile: file to which cProfile writes a profile of the entry;
        empty to run without profiling.
    """
    http, rpc = free_address(), free_address()
    entry = Daemon(
        "entry",
        f'name = "entry-1"\nzone = "{ZONE}"\nhttp = "{http}"\n'
        f'rpc = "{rpc}"\nlog_level = "{log_level}"\nstop_within_s = 2.0\n',
        profile,
    )
    await entry.start()
    agents = [_make_agent(index, rpc, run_ms) for index in range(workers)]
    try:
        await _wait_for_entry(http)
        for agent in agents:
            await _start_agent(agent)
        concurrent_jobs = 1 + 2 * workers * SLOTS // TASKS_PER_JOB
        return await _measure(entry, http, seconds, concurrent_jobs)
    finally:
        await asyncio.gather(*(agent.close() for agent in agents))
        await entry.stop()


def _make_agent(index: int, rpc: str, run_ms: float) -> AgentDaemon:
    settings = AgentSettings(
        name=f"agent-{index + 1}",
        zone=ZONE,
        http="127.0.0.1:0",
        entries=(rpc,),
    )
    return _SimulatedAgent(settings, run_ms)


async def _start_agent(agent: AgentDaemon) -> None:
    await agent.start()
    info = WorkerInfo(SERVICE, SLOTS, 32.0, 65536)
    expires_at = time.time() + ANNOUNCEMENT_TTL_S
    await agent.announce(info, "127.0.0.1:9", SLOTS, expires_at)


async def _wait_for_entry(http: str) -> None:
    async with aiohttp.ClientSession() as session:
        for _ in range(MAX_START_POLLS):
            try:
                async with session.get(f"http://{http}/healthz"):
                    return
            except aiohttp.ClientError:
                await asyncio.sleep(POLL_PERIOD_S)
    raise TimeoutError(f"no entry answers at {http}")


async def _measure(
    entry: Daemon, http: str, seconds: float, concurrent_jobs: int
) -> Throughput:
    completed_jobs: list[int] = []
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        senders = [
            asyncio.create_task(_send_jobs(session, http, completed_jobs))
            for _ in range(concurrent_jobs)
        ]
        await asyncio.sleep(SETTLE_S)
        before, completed_before = entry.read(), len(completed_jobs)
        processor_s = time.process_time()
        await asyncio.sleep(seconds)
        usage = before.usage_until(entry.read())
        processor_s = time.process_time() - processor_s
        starts = (len(completed_jobs) - completed_before) * TASKS_PER_JOB
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)
    return Throughput(
        starts / seconds,
        usage.processor_percent,
        100 * processor_s / seconds,
        starts / seconds / (usage.processor_percent / 100),
    )


async def _send_jobs(
    session: aiohttp.ClientSession, http: str, completed_jobs: list[int]
) -> None:
    task = {"payload": {"run_ms": 1, "value": 0}}
    body = {"service": SERVICE, "tasks": [task] * TASKS_PER_JOB}
    while True:
        async with session.post(f"http://{http}/v1/jobs") as response:
            job_id = (await response.json())["ids"][0]
        deadline = f"{time.time() + ANSWER_TIMEOUT_S:.3f}"
        async with session.put(
            f"http://{http}/v1/jobs/{job_id}",
            json=body,
            headers={"Briarford-Deadline": deadline},
        ) as response:
            await response.read()
            if response.status == STATUS_OK:
                completed_jobs.append(1)
            else:
                await asyncio.sleep(POLL_PERIOD_S)
