"""Decides which runs are stopped because their worker leaves at short notice.

A worker may be taken away seconds after its notice, and its runs end with it.
A run that cannot end before is found lost only then, when its task is often
too late to be started again. Such runs are stopped at the notice, so that
their tasks are started elsewhere while their jobs can still be in time.

The notice gives a minimum: the worker may stay longer, and the work of a
stopped run is thrown away. A run is therefore stopped only if that makes a
difference to the caller, and one that may still end goes on.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import msgspec

from briarford.runs.health import Slowness
from briarford.runs.messages import RunEnd
from briarford.runs.state import Run, RunPhase
from briarford.runs.worker import WorkerReport

__all__ = ["LeaveNotices", "Move", "MoveReason", "find_moves"]

# From the order to stop a run until its entry has started the task again: a
# worker takes up to 50 ms to stop, the rest is for the messages.
MOVE_S = 0.1
# The end of a run counts only if a run listing shows it before the worker has
# left. A listing is answered within some milliseconds of an end.
LISTING_S = 0.03
# A decision that waits for more progress is made this long before it would be
# too late. Turns are at most 0.2 s apart, so one falls into this time.
LAST_CHANCE_S = 0.25
# Estimates of clients are off by 40% (standard deviation of the logarithm), so
# the work is within this factor of them for nine in ten.
ESTIMATE_FACTOR = 2.0
# Heartbeats with the same deadline give it differently by the time that they
# travelled.
SAME_DEADLINE_S = 0.25


class MoveReason(enum.StrEnum):
    """Why a run is stopped before its worker leaves."""

    IN_TIME = "in-time"  # the job can be in time if it starts elsewhere now
    OF_USE = "of-use"  # the answer is of use only if it starts elsewhere now
    SOONER = "sooner"  # late either way, and earlier if it starts elsewhere


class Move(msgspec.Struct, frozen=True):
    """A run to stop, so that its task is started on another worker.

    :param run: the run.
    :param needed_s: seconds that it still needs at least on this worker.
    :param reason: what the caller gains.
    """

    run: Run
    needed_s: float
    reason: MoveReason


def find_moves(
    runs: Iterable[Run], slowness: float, leaves_at: float, now: float
) -> list[Move]:
    """Return the runs to stop now, in the order in which to stop them.

    Those whose tasks must start soonest to be in time come first; those that
    are late already follow, the least late one first. That is the order in
    which entries place waiting tasks.

    :param runs: all runs on the worker.
    :param slowness: the learnt slowness of the worker.
    :param leaves_at: Unix time in seconds until which the worker stays at
        least.
    :param now: Unix time in seconds.
    """
    moves = []
    for run in runs:
        if run.phase is not RunPhase.RUNNING:
            continue  # being stopped, or its start is known within 0.1 s
        earliest, latest = _end_range(run, slowness, now)
        reason = _reason_to_move(run, earliest, latest, leaves_at, now)
        if reason is not None:
            moves.append(Move(run, earliest - now, reason))
    moves.sort(key=lambda m: _urgency(m.run, now))
    return moves


def _end_range(run: Run, slowness: float, now: float) -> tuple[float, float]:
    """Return the earliest and the latest time at which a run is likely to end.

    Workers list progress in whole per cent, rounded down.
    """
    if run.percent:
        progressed_s = run.progressed_at - run.started_at
        earliest = run.started_at + progressed_s * 100 / (run.percent + 1)
        latest = run.started_at + progressed_s * 100 / run.percent
    else:
        expected_s = run.expected_s * slowness
        earliest = run.started_at + expected_s / ESTIMATE_FACTOR
        latest = run.started_at + expected_s * ESTIMATE_FACTOR
    return max(now, earliest), max(now, latest)


def _reason_to_move(
    run: Run, earliest: float, latest: float, leaves_at: float, now: float
) -> MoveReason | None:
    """Return why a run is stopped now; None to let it go on.

    :param earliest: when it ends at the earliest.
    :param latest: when it ends at the latest.
    """
    if latest + LISTING_S <= leaves_at:
        return None
    restart_at = now + MOVE_S
    in_time = restart_at <= run.start_by
    if earliest <= leaves_at:
        # It may end. Its progress shows that more exactly later on.
        if in_time and run.start_by < restart_at + LAST_CHANCE_S:
            return MoveReason.IN_TIME
        return None
    if in_time:
        return MoveReason.IN_TIME
    if restart_at > run.useful_by:
        return None
    if leaves_at + MOVE_S > run.useful_by:
        return MoveReason.OF_USE
    # Late either way. The worker may stay long enough, so the run goes on
    # unless the wait for that costs more time than would be thrown away.
    waits_s = leaves_at - now
    ran_s = now - run.started_at
    return MoveReason.SOONER if ran_s < waits_s else None


def _urgency(run: Run, now: float) -> tuple[bool, float]:
    slack_s = run.start_by - now - MOVE_S
    return slack_s < 0, abs(slack_s)


class _Log(Protocol):
    def __call__(self, action: str, **fields: Any) -> None: ...


class LeaveNotices:
    """Carries out the decisions for one agent, and logs them.

    :param stop: called with each run to stop and how its end is reported. A
        run counts as lost with its worker: that is no failure of the task or
        the worker, and the entry starts the task again.
    :param log: called with the events to log.
    """

    __slots__ = ("_leaves_at", "_log", "_stop")

    def __init__(self, stop: Callable[[Run, RunEnd], None], log: _Log) -> None:
        self._stop = stop
        self._log = log
        self._leaves_at = 0.0

    def review(
        self,
        worker: WorkerReport | None,
        runs: Iterable[Run],
        slowness: Slowness,
        now: float,
    ) -> bool:
        """Stop the runs that have to move; due in each turn of the agent.

        :param worker: the last heartbeat of the worker; None if there is
            none.
        :param runs: all runs on the worker.
        :param slowness: the learnt slowness of the worker.
        :param now: Unix time in seconds.
        :return: whether the worker leaves at a known time.
        """
        if worker is None or not worker.draining or not worker.leaves_at:
            self._leaves_at = 0.0
            return False
        runs = list(runs)
        factor = slowness.factor(now)
        moves = find_moves(runs, factor, worker.leaves_at, now)
        left_ms = round((worker.leaves_at - now) * 1000)
        if abs(worker.leaves_at - self._leaves_at) > SAME_DEADLINE_S:
            self._log(
                "worker-leaving",
                worker=worker.worker,
                left_ms=left_ms,
                runs=len(runs),
                moved=len(moves),
            )
            self._leaves_at = worker.leaves_at
        for move in moves:
            run = move.run
            self._log(
                "run-moved",
                task=run.task,
                run=run.run,
                entry=run.session.entry,
                why=move.reason.value,
                left_ms=left_ms,
                needed_ms=round(move.needed_s * 1000),
                slack_ms=round((run.start_by - now) * 1000),
                percent=run.percent,
            )
            self._stop(run, RunEnd.LOST)
        return True
