"""Decides which runs a worker that has become slow should not finish.

Answers this load: a worker turns several times slower for some seconds while
it runs tasks of callers that need them within a second or two. What it runs
then ends late, while the other workers would end it in time.

The estimate of one job is off by a factor of two and more, so one slow run is
weak evidence. Several jobs at once, all slower than the worker was when their
tasks were placed, show that the worker is slow.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from briarford.runs.health import Slowness
from briarford.runs.messages import RunEnd
from briarford.runs.state import Run, RunPhase

__all__ = ["Stragglers", "find_stragglers", "worker_pace"]

# A worker is slow if the runs of at least two jobs take this many times as
# long as was expected of them there; the error of their estimates is smaller.
SLOW_FACTOR = 2.5
MIN_JOBS = 2
# A run is moved if it is itself that much slower.
STRAGGLER_FACTOR = 2.0
# Within it a stopped run has ended and its task has started elsewhere.
MOVE_S = 0.1


def worker_pace(runs: Iterable[Run]) -> float:
    """Return how much slower than expected a worker's runs go now.

    :param runs: all runs on the worker.
    :return: the median over its jobs of the time that a run takes at its
        present pace, divided by the time expected of it there; 0 if it is
        known of too few jobs.
    """
    by_job: dict[str, float] = {}
    for run in runs:
        if run.phase is RunPhase.RUNNING and run.pace:
            by_job[run.job] = max(by_job.get(run.job, 0.0), run.pace)
    if len(by_job) < MIN_JOBS:
        return 0.0
    return statistics.median_low(by_job.values())


def find_stragglers(runs: Iterable[Run], now: float) -> list[Run]:
    """Return the runs of a slow worker that are better started elsewhere.

    :param runs: all runs on the worker.
    :param now: Unix time in seconds.
    """
    return [
        run
        for run in runs
        if run.phase is RunPhase.RUNNING
        and run.pace >= STRAGGLER_FACTOR
        and _gains_elsewhere(run, now)
    ]


def _gains_elsewhere(run: Run, now: float) -> bool:
    """Whether a start elsewhere gives the caller an earlier useful answer."""
    ends_here = now + run.remaining_s
    restart_at = now + MOVE_S
    due_at = run.start_by + run.expected_s
    if ends_here <= due_at or restart_at > run.useful_by:
        return False
    if restart_at <= run.start_by:
        return True
    # Late either way: only if half of the remaining time is saved.
    return restart_at + run.expected_s < now + run.remaining_s / 2


class _Log(Protocol):
    def __call__(self, action: str, **fields: Any) -> None: ...


class Stragglers:
    """Carries out the decisions for one agent, and logs them.

    :param stop: called with each run to stop and how its end is reported. A
        stalled run is no failure of the task, and the entry starts the task
        on another worker.
    :param log: called with the events to log.
    """

    __slots__ = ("_log", "_stop")

    def __init__(self, stop: Callable[[Run, RunEnd], None], log: _Log) -> None:
        self._stop = stop
        self._log = log

    def review(
        self, runs: Iterable[Run], slowness: Slowness, now: float
    ) -> None:
        """Stop stragglers if the worker is slow, and learn its slowness.

        :param runs: all runs on the worker.
        :param slowness: the learnt slowness of the worker.
        :param now: Unix time in seconds.
        """
        runs = list(runs)
        pace = worker_pace(runs)
        if pace < SLOW_FACTOR:
            return
        stragglers = find_stragglers(runs, now)
        if not stragglers:
            return
        seen = statistics.median(r.pace * r.slowness for r in stragglers)
        slowness.slowed(seen, now)
        for run in stragglers:
            self._log(
                "straggler-stopped",
                task=run.task,
                run=run.run,
                entry=run.session.entry,
                pace=round(run.pace, 1),
                worker_pace=round(pace, 1),
                remaining_ms=round(run.remaining_s * 1000),
                slack_ms=round((run.start_by - now) * 1000),
                percent=run.percent,
            )
            self._stop(run, RunEnd.STALLED)
