"""Runs the product and the naive dispatcher on the same traces.

Each run of a system on a trace is a round; its figures are printed as JSON.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from briarford_bench.backend_core import Start, find_duplicate_starts
from briarford_bench.load import (
    LoadGenerator,
    LoadSummary,
    Sample,
    summarize,
)
from briarford_bench.network import ZoneDelayLoop, dialler_zone
from briarford_bench.profiles import CLIENT_ZONE, Profile
from briarford_bench.systems import NaiveSystem, ProductSystem, System
from briarford_bench.trace import Arrival, make_trace

__all__ = ["Plan", "Round", "compare", "run_round"]

LOADS = (0.7, 1.0, 1.5, 3.0)
SYSTEMS: dict[str, Callable[[Profile, int], System]] = {
    "product": ProductSystem,
    "naive": NaiveSystem,
}


@dataclass(slots=True, frozen=True)
class Plan:
    """The trace, faults and deployment of a round.

    :param profile: the deployment.
    :param load: offered work over capacity.
    :param seconds: length of the trace.
    :param seed: seed of the stand-ins.
    :param trace: the jobs and single requests that clients send.
    :param faults: changes to the profiles of backend servers, by index of
        the backend server.
    :param entries: number of entries to which clients send; all if 0.
    """

    profile: Profile
    load: float
    seconds: float
    seed: int
    trace: list[Arrival]
    faults: dict[int, dict[str, Any]] = field(default_factory=dict)
    entries: int = 0


@dataclass(slots=True, frozen=True)
class Round:
    """Figures of one system on one trace.

    :param system: product or naive.
    :param load: offered work over capacity.
    :param summary: outcomes and latencies, as the clients saw them.
    :param tasks: number of tasks that backend servers started.
    :param wasted: messages that served no answer, by kind.
    :param wasted_per_task: number of wasted messages for each started task.
    :param duplicate_starts: tasks that started more than once, other than
        those of idempotent single requests.
    :param processor_share: processor time of the whole process, stand-ins
        and clients included, over the time that the round took.
    :param failed_by_worker: failed jobs of which a task started on the
        worker, by worker.
    :param starts_by_worker: tasks that started on the worker, by worker.
    :param decisions: number of decisions of the daemons, by action.
    """

    system: str
    load: float
    summary: LoadSummary
    tasks: int
    wasted: dict[str, int]
    wasted_per_task: float
    duplicate_starts: int
    processor_share: float
    failed_by_worker: dict[str, int]
    starts_by_worker: dict[str, int]
    decisions: dict[str, int]

    def describe(self) -> str:
        """Return the main figures on one line, to report progress."""
        summary = self.summary
        return (
            f"{self.system} at {self.load:g}:"
            f" ratio p50 {summary.ratio_p50:.2f} p99 {summary.ratio_p99:.2f},"
            f" waste {self.wasted_per_task:.3f} per task,"
            f" goodput {summary.goodput:.3f}, {summary.outcomes}"
        )


def compare(
    profile: Profile,
    seed: int,
    seconds: float,
    loads: tuple[float, ...] = LOADS,
    on_progress: Callable[[str], None] = lambda line: None,
) -> list[Round]:
    """Run a trace of each load through both systems, one after the other.

    :param seed: seed of the traces and the stand-ins.
    :param seconds: length of each trace.
    :param loads: offered work of each trace over capacity.
    :param on_progress: called with a line of text after each round.
    """
    rounds = []
    for load in loads:
        trace = make_trace(profile, load, seconds, seed)
        plan = Plan(profile, load, seconds, seed, trace)
        for name in SYSTEMS:
            rounds.append(run_round(name, plan))
            on_progress(rounds[-1].describe())
    return rounds


def run_round(name: str, plan: Plan) -> Round:
    """Run one plan through one system, on an event loop of its own.

    :param name: product or naive.
    """
    with asyncio.Runner(
        loop_factory=lambda: ZoneDelayLoop(plan.profile)
    ) as runner:
        system = SYSTEMS[name](plan.profile, plan.seed)
        started_at = time.monotonic()
        processor_s = time.process_time()
        samples, wasted = runner.run(_run_load(system, plan))
        processor_s = time.process_time() - processor_s
        elapsed_s = time.monotonic() - started_at
    starts = system.list_starts()
    failed = {s.job_id for s in samples if s.outcome == "failed"}
    return Round(
        system=name,
        load=plan.load,
        summary=summarize(plan.profile, samples, plan.seconds),
        tasks=len(starts),
        wasted=dict(wasted),
        wasted_per_task=wasted.total() / max(1, len(starts)),
        duplicate_starts=len(
            find_duplicate_starts(starts, _idempotent_jobs(samples))
        ),
        processor_share=processor_s / elapsed_s,
        failed_by_worker=_jobs_by_worker(starts, failed),
        starts_by_worker=dict(Counter(start.worker for start in starts)),
        decisions=dict(system.count_decisions()),
    )


async def _run_load(
    system: System, plan: Plan
) -> tuple[list[Sample], Counter[str]]:
    await system.start()
    try:
        for index, changes in plan.faults.items():
            system.backends[index].core.set_faults(changes)
        before = system.count_wasted_messages()
        dialler_zone.set(CLIENT_ZONE)
        entries = system.addresses[: plan.entries or None]
        load = LoadGenerator(entries, plan.profile.service)
        samples = await load.run(plan.trace)
        wasted = system.count_wasted_messages()
        wasted.subtract(before)
        return samples, wasted
    finally:
        await system.stop()


def _jobs_by_worker(starts: list[Start], jobs: set[str]) -> dict[str, int]:
    pairs = {(s.worker, s.job_id) for s in starts if s.job_id in jobs}
    return dict(Counter(worker for worker, _ in pairs))


def _idempotent_jobs(samples: list[Sample]) -> set[str]:
    return {s.job_id for s in samples if s.arrival.idempotent}
