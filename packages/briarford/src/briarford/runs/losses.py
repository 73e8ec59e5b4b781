"""Which runs were in progress when a worker was lost, for all entries.

A task may crash its worker. An entry then has to count the workers that
crashed under each of its tasks, also those of a job that another entry had
before it died. Only the agent knows what ran on the worker, and how the worker
was lost, so it sends this to every attached entry and repeats it to those that
attach later.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import TYPE_CHECKING, Protocol

from briarford.messages import Message

if TYPE_CHECKING:
    from briarford.runs.state import Run

__all__ = [
    "LossPeer",
    "LossState",
    "WorkerLoss",
    "WorkerLosses",
    "incarnation_of",
]

# Longer than clients repeat a request whose entry has died.
KEEP_LOSS_S = 30.0


def incarnation_of(worker: str, born_ms: int) -> str:
    """Return the incarnation of a worker as agents report it to entries.

    :param worker: its id.
    :param born_ms: when it started, in Unix milliseconds.
    """
    return f"{worker}/{born_ms}"


class LossState(enum.StrEnum):
    """What the agent knows of a worker that stopped answering."""

    CRASHED = "crashed"  # it refuses connections, or has started again
    SILENT = "silent"  # it may have crashed, or may be cut off
    SURVIVED = "survived"  # it answers again and had not crashed

    @classmethod
    def _missing_(cls, value: object) -> LossState | None:
        """Take a state that a newer agent reports for the weakest evidence."""
        return cls.SILENT if isinstance(value, str) else None


class WorkerLoss(Message, frozen=True):
    """Reports the loss of an incarnation of a worker.

    A later report of the same incarnation replaces an earlier one.

    :param incarnation: of the worker.
    :param state: what is known of it.
    :param tasks: names of the tasks that it was running.
    :param unconfirmed: names of the tasks that it may have been running: it
        had not confirmed their start, or was to stop them.
    """

    incarnation: str
    state: LossState
    tasks: tuple[str, ...]
    unconfirmed: tuple[str, ...] = ()


class LossPeer(Protocol):
    """An entry to which losses are reported.

    :param losses_sent: number of the last change that was sent to it; 0 on a
        new connection.
    """

    losses_sent: int


class _Record:
    """A report, the change that made it and the time of the loss."""

    __slots__ = ("change", "lost_at", "report")

    def __init__(self, report: WorkerLoss, change: int, at: float) -> None:
        self.report = report
        self.change = change
        self.lost_at = at


class WorkerLosses:
    """The losses of the workers of one agent in the last ``KEEP_LOSS_S``."""

    __slots__ = ("_change", "_records")

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._change = 0

    def lost(
        self,
        incarnation: str,
        state: LossState,
        runs: Iterable[Run],
        now: float,
    ) -> WorkerLoss | None:
        """Record that a worker was lost with its runs.

        Tasks that were reported for the same incarnation are kept: a worker
        that fell silent may be found to have crashed.

        :param incarnation: of the worker.
        :param state: what is known of it.
        :param runs: what it may have been running.
        :param now: Unix time in seconds.
        :return: the report; None if nothing has changed.
        """
        self._drop_old(now)
        known = self._records.get(incarnation)
        if known is not None and known.report.state is LossState.SURVIVED:
            known = None
        tasks: dict[str, bool] = {}
        if known is not None:
            tasks |= dict.fromkeys(known.report.unconfirmed, False)
            tasks |= dict.fromkeys(known.report.tasks, True)
        for run in runs:
            tasks.setdefault(run.task, run.is_confirmed)
        report = WorkerLoss(
            incarnation,
            state,
            tuple(t for t, confirmed in tasks.items() if confirmed),
            tuple(t for t, confirmed in tasks.items() if not confirmed),
        )
        if not tasks or (known and known.report == report):
            return None
        self._change += 1
        lost_at = known.lost_at if known is not None else now
        self._records[incarnation] = _Record(report, self._change, lost_at)
        return report

    def answered(self, incarnation: str, now: float) -> WorkerLoss | None:
        """Record that a worker answers; it has not crashed.

        :return: the report that withdraws an earlier one; None if there is
            none to withdraw.
        """
        known = self._records.get(incarnation)
        if known is None or known.report.state is LossState.SURVIVED:
            return None
        return self.lost(incarnation, LossState.SURVIVED, (), now)

    def restarted(
        self, incarnation: str, runs: Iterable[Run], now: float
    ) -> WorkerLoss | None:
        """Record that another incarnation has taken the place of a worker.

        :param runs: what it may have been running, besides that with which
            it fell silent.
        """
        return self.lost(incarnation, LossState.CRASHED, runs, now)

    def news_for(self, peer: LossPeer) -> tuple[WorkerLoss, ...]:
        """Return the reports that a peer has not been sent."""
        if peer.losses_sent == self._change:
            return ()
        news = tuple(
            r.report
            for r in self._records.values()
            if r.change > peer.losses_sent
        )
        peer.losses_sent = self._change
        return news

    def _drop_old(self, now: float) -> None:
        for incarnation, record in list(self._records.items()):
            if now - record.lost_at > KEEP_LOSS_S:
                del self._records[incarnation]
