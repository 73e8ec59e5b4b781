"""The demonstration: a complete system in one process, and a check of it.

Jobs and single requests run while the preset is switched, a worker is drained
and an entry is stopped. The starts that the backend servers recorded are then
compared with the answers that the clients got.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

from briarford_bench.backend_core import BackendProfile, find_duplicate_starts
from briarford_bench.preset_changes import switch_preset
from briarford_bench.stack import Stack
from briarford_daemon.client import Answer, Client
from briarford_daemon.exceptions import EntryUnreachableError
from briarford_daemon.store_client import HttpStore

__all__ = ["DemoReport", "as_record", "run_demo"]

SERVICE = "lease-desk"
SPEEDS = (1.0, 1.0, 0.8, 0.6, 1.25, 0.5)
SLOTS = 8
ZONES = ("zone-a", "zone-b")
JOBS = 40
SINGLES = 40
MAX_TASKS = 200
MIN_RUN_MS = 50
MAX_RUN_MS = 1000
ARRIVAL_SPAN_S = 12.0
JOB_TIMEOUT_S = 30.0
READY_POLL_S = 0.05
SWITCH_AT_S = 3.0
DRAIN_AT_S = 5.0
STOP_ENTRY_AT_S = 8.0
RESUBMIT_SHARE = 0.3
RESUBMIT_DELAY_S = 0.2
ROUND_TRIP_S = 0.002


@dataclass(slots=True)
class DemoReport:
    """Figures of a demonstration.

    :param jobs_submitted: jobs and single requests that were sent.
    :param jobs_completed: those that were answered as completed.
    :param jobs_failed: those that failed or got no answer.
    :param jobs_partial: completed ones with missing or wrong results.
    :param tasks: tasks of all jobs and single requests.
    :param duplicate_starts: tasks that started more than once.
    :param refused_did_not_run: jobs that were refused and, by the answer,
        did not run.
    :param refused_but_ran: refused jobs of which a task started all the
        same.
    :param response_ratio_p50: median latency of completed jobs over its
        lower bound.
    :param response_ratio_p99: 99th percentile of the same.
    :param wasted_messages_per_task: batches that entries sent without a
        start or received without a result, for each task.
    """

    jobs_submitted: int = 0
    jobs_completed: int = 0
    jobs_failed: int = 0
    jobs_partial: int = 0
    tasks: int = 0
    duplicate_starts: int = 0
    refused_did_not_run: int = 0
    refused_but_ran: int = 0
    response_ratio_p50: float = 0.0
    response_ratio_p99: float = 0.0
    wasted_messages_per_task: float = 0.0

    @property
    def all_answers_correct(self) -> bool:
        """Whether every answer was complete and true.

        False if an answer was partial, a task started twice or a task of a
        refused job started. A job that failed does not make it false.
        """
        return not (
            self.jobs_partial or self.duplicate_starts or self.refused_but_ran
        )


@dataclass(slots=True)
class _DemoRun:
    """State of one demonstration.

    :param rng: draws jobs, arrival times and entries.
    :param on_progress: called with lines of text.
    :param ratios: latency of completed jobs over its lower bound.
    :param refused: ids of the jobs that were refused.
    """

    stack: Stack
    client: Client
    rng: random.Random
    on_progress: Callable[[str], None]
    report: DemoReport = field(default_factory=DemoReport)
    ratios: list[float] = field(default_factory=list)
    refused: set[str] = field(default_factory=set)


async def run_demo(
    seed: int, on_progress: Callable[[str], None]
) -> DemoReport:
    """Run the demonstration.

    :param seed: seed of jobs, arrivals and stand-ins.
    :param on_progress: called with lines of text that say what is done.
    """
    profiles = [
        BackendProfile(name=f"worker-{i}", service=SERVICE, speed=s)
        for i, s in enumerate(SPEEDS, start=1)
    ]
    stack = Stack(2, profiles, ZONES, seed)
    await stack.start()
    try:
        async with Client(stack.http_addresses) as client:
            run = _DemoRun(stack, client, random.Random(seed), on_progress)
            await _wait_for_workers(run)
            await _run_load(run)
        await _count_wasted_messages(run)
    finally:
        await stack.stop()
    _check_starts(run)
    return run.report


async def _wait_for_workers(run: _DemoRun) -> None:
    run.on_progress("waiting for 6 workers at 2 entries")
    for entry in range(len(run.stack.entries)):
        while True:
            answer = await run.client.get("/v1/status", entry)
            if answer and answer.body["state"]["workers"] == len(SPEEDS):
                break
            await asyncio.sleep(READY_POLL_S)


async def _run_load(run: _DemoRun) -> None:
    """Send jobs and single requests, and disturb the system meanwhile."""
    starts_at = time.time()
    run.on_progress(f"submitting {JOBS} jobs and {SINGLES} single requests")
    async with asyncio.TaskGroup() as group:
        for _ in range(JOBS):
            at = starts_at + run.rng.uniform(0, ARRIVAL_SPAN_S)
            group.create_task(_run_job(run, at, _draw_tasks(run.rng)))
        for _ in range(SINGLES):
            at = starts_at + run.rng.uniform(0, ARRIVAL_SPAN_S)
            run_ms = run.rng.uniform(MIN_RUN_MS, MAX_RUN_MS)
            group.create_task(_run_single(run, at, run_ms))
        group.create_task(_switch_preset(run, starts_at + SWITCH_AT_S))
        group.create_task(_drain_worker(run, starts_at + DRAIN_AT_S))
        group.create_task(_stop_entry(run, starts_at + STOP_ENTRY_AT_S))


def _draw_tasks(rng: random.Random) -> list[dict[str, Any]]:
    count = max(1, min(MAX_TASKS, int(rng.lognormvariate(2.0, 1.3))))
    return [
        {
            "payload": {
                "run_ms": rng.uniform(MIN_RUN_MS, MAX_RUN_MS),
                "value": index,
            }
        }
        for index in range(count)
    ]


async def _run_job(
    run: _DemoRun, at: float, tasks: list[dict[str, Any]]
) -> None:
    await _sleep_until(at)
    entry = run.rng.randrange(2)
    job_id = (await run.client.allocate_ids(1, entry))[0]
    run.report.jobs_submitted += 1
    run.report.tasks += len(tasks)
    deadline = time.time() + JOB_TIMEOUT_S
    submits = [run.client.submit(job_id, SERVICE, tasks, deadline, entry)]
    if run.rng.random() < RESUBMIT_SHARE:
        submits.append(_resubmit(run, job_id, tasks, deadline, entry + 1))
    answers = await asyncio.gather(*submits, return_exceptions=True)
    for answer in answers[1:]:
        if isinstance(answer, BaseException):
            run.on_progress(f"resubmitted job got no answer: {answer}")
    _count_answer(run, job_id, answers[0], tasks, time.time() - at)


async def _resubmit(
    run: _DemoRun,
    job_id: str,
    tasks: list[dict[str, Any]],
    deadline: float,
    entry: int,
) -> Answer:
    await asyncio.sleep(RESUBMIT_DELAY_S)
    return await run.client.submit(job_id, SERVICE, tasks, deadline, entry)


async def _run_single(run: _DemoRun, at: float, run_ms: float) -> None:
    await _sleep_until(at)
    run.report.jobs_submitted += 1
    run.report.tasks += 1
    payload = {"run_ms": run_ms, "value": 0}
    entry = run.rng.randrange(2)
    answer: Answer | BaseException
    try:
        answer = await run.client.request(
            SERVICE, payload, time.time() + JOB_TIMEOUT_S, entry=entry
        )
    except EntryUnreachableError as exc:
        answer = exc
    job_id = "" if isinstance(answer, BaseException) else answer.body["id"]
    tasks = [{"payload": payload}]
    _count_answer(run, job_id, answer, tasks, time.time() - at)


async def _switch_preset(run: _DemoRun, at: float) -> None:
    await _sleep_until(at)
    store = HttpStore(run.stack.store.address)
    try:
        name = await switch_preset(store)
    finally:
        await store.close()
    run.on_progress(f"switched to preset '{name}'")


async def _drain_worker(run: _DemoRun, at: float) -> None:
    await _sleep_until(at)
    run.on_progress("draining worker-6")
    await run.stack.workers[-1].backend.withdraw()


async def _stop_entry(run: _DemoRun, at: float) -> None:
    await _sleep_until(at)
    run.on_progress("stopping entry-2 gracefully")
    await run.stack.entries[1].stop()
    run.on_progress("entry-2 has stopped")


def _count_answer(
    run: _DemoRun,
    job_id: str,
    answer: Answer | BaseException,
    tasks: list[dict[str, Any]],
    latency_s: float,
) -> None:
    report = run.report
    if isinstance(answer, BaseException):
        run.on_progress(f"no answer: {answer}")
        report.jobs_failed += 1
    elif answer.completed:
        values = [r["echo"] for r in answer.body["results"]]
        expected = [t["payload"]["value"] for t in tasks]
        report.jobs_completed += 1
        report.jobs_partial += int(values != expected)
        run.ratios.append(latency_s / _ideal_s(tasks))
    elif answer.did_run == "no":
        run.on_progress(f"refused: {answer.body['detail']}")
        report.refused_did_not_run += 1
        run.refused.add(job_id)
    else:
        run.on_progress(f"failed: {answer.body['detail']}")
        report.jobs_failed += 1


def _ideal_s(tasks: list[dict[str, Any]]) -> float:
    """Return a lower bound of a job's latency on an idle system, seconds."""
    work: list[float] = [t["payload"]["run_ms"] / 1000 for t in tasks]
    capacity = sum(s * SLOTS for s in SPEEDS)
    return max(max(work) / max(SPEEDS), sum(work) / capacity) + ROUND_TRIP_S


async def _count_wasted_messages(run: _DemoRun) -> None:
    """Count batches sent without a start or received without a result."""
    wasted = 0
    for entry in run.stack.entries:
        counts = entry.daemon.metrics.messages
        wasted += counts["idle_out"] + counts["idle_in"]
    run.report.wasted_messages_per_task = wasted / max(1, run.report.tasks)


def _check_starts(run: _DemoRun) -> None:
    """Compare the recorded starts with the answers; compute the ratios."""
    starts = [s for w in run.stack.workers for s in w.backend.starts]
    report = run.report
    report.duplicate_starts = len(find_duplicate_starts(starts))
    report.refused_but_ran = len(
        run.refused & {start.job_id for start in starts}
    )
    ratios = sorted(run.ratios)
    if ratios:
        report.response_ratio_p50 = ratios[len(ratios) // 2]
        report.response_ratio_p99 = ratios[int(len(ratios) * 0.99)]


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(max(0.0, at - time.time()))


def as_record(report: DemoReport) -> dict[str, Any]:
    """Return the report as plain JSON types."""
    return asdict(report)
