"""Counts the workers that were lost under each task.

Answers one load pattern: a task that crashes every worker that starts it. Its
run is lost with the worker, which is no failure of its own, so the attempts of
its route do not limit how often it is started again.

All that ran on a crashed worker is under suspicion, as any of these tasks may
have been at fault. A task is given up once workers have crashed under it three
times, on two machines at least. Until then tasks under suspicion run apart
from those of other jobs, see :mod:`briarford.requests.placing`, so that a
further crash points to one job.

A job may be shown as failed only if workers really crashed under two runs of
one task. A crash counts if the agent saw the worker run the task and then
refuse connections or start again. Even so the run may have ended in the moment
before, unseen, hence the third. All other losses only limit the starts.
"""

from __future__ import annotations

import enum

from briarford.runs.losses import LossState, WorkerLoss

__all__ = ["CrashCounts"]

# One of the three runs may have ended just before its worker crashed.
MAX_CRASHES = 3
# A worker that crashes by itself takes the same task down whenever it returns.
MIN_MACHINES = 2
# Six starts are too many if each has crashed its worker, seen or unseen.
MAX_LOSSES = 5
# Longer than clients repeat a request whose entry has died.
KEEP_COUNT_S = 30.0


class _Evidence(enum.IntEnum):
    """What is known of a worker that was lost under a task."""

    LOST = 0  # it may not have been running the task, or not have crashed
    SILENT = 1  # it was running the task and then stopped answering
    CRASHED = 2  # it was running the task and crashed


class CrashCounts:
    """The workers lost under each task, as reported by agents.

    A loss is identified by the agent and the incarnation of its worker, so a
    repeated report counts once.
    """

    __slots__ = ("_by_task", "_drop_at")

    def __init__(self) -> None:
        self._by_task: dict[str, dict[tuple[str, str], _Evidence]] = {}
        self._drop_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._by_task)

    def learn(self, agent: str, loss: WorkerLoss, now: float) -> None:
        """Adopt the report of an agent.

        :param agent: its name.
        :param loss: the report.
        :param now: Unix time in seconds.
        """
        key = agent, loss.incarnation
        for task in (*loss.tasks, *loss.unconfirmed):
            if loss.state is LossState.SURVIVED:
                self._by_task.get(task, {}).pop(key, None)
                continue
            evidence = _Evidence.LOST
            if task in loss.tasks:
                crashed = loss.state is LossState.CRASHED
                evidence = _Evidence.CRASHED if crashed else _Evidence.SILENT
            self._add(task, key, evidence, now)

    def lost_with_agent(
        self, task: str, agent: str, incarnation: str, now: float
    ) -> None:
        """Count a run whose agent died, so that nobody saw its worker.

        :param task: name of the task.
        :param agent: name of the agent.
        :param incarnation: of the worker.
        :param now: Unix time in seconds.
        """
        if (agent, incarnation) not in self._by_task.get(task, {}):
            self._add(task, (agent, incarnation), _Evidence.LOST, now)

    def survived(self, agent: str, incarnation: str) -> list[str]:
        """Withdraw all losses of a worker, as it takes runs again.

        :param agent: name of its agent.
        :param incarnation: of the worker.
        :return: names of the tasks that were lost with it.
        """
        key = agent, incarnation
        return [
            task
            for task, losses in self._by_task.items()
            if losses.pop(key, None) is not None
        ]

    def replaced(self, agent: str, incarnation: str) -> None:
        """Count what a worker was running as crashed, as another one is up.

        Its agent may have died before it could report that.

        :param agent: name of its agent.
        :param incarnation: of the worker that has taken its place.
        """
        for losses in self._by_task.values():
            for key, evidence in losses.items():
                silent = evidence is _Evidence.SILENT
                if key[0] == agent and key[1] != incarnation and silent:
                    losses[key] = _Evidence.CRASHED

    def crashes(self, task: str) -> int:
        """Return how many workers have crashed under a task."""
        losses = self._by_task.get(task, {}).values()
        return sum(evidence is _Evidence.CRASHED for evidence in losses)

    def is_suspect(self, task: str) -> bool:
        """Whether a worker was lost under a task."""
        return bool(self._by_task.get(task))

    def is_exhausted(self, task: str) -> bool:
        """Whether a task is not to be started again."""
        losses = self._by_task.get(task, {})
        if len(losses) >= MAX_LOSSES:
            return True
        crashes = [
            agent
            for (agent, _), evidence in losses.items()
            if evidence is _Evidence.CRASHED
        ]
        return (
            len(crashes) >= MAX_CRASHES and len(set(crashes)) >= MIN_MACHINES
        )

    def drop_old(self, now: float) -> None:
        """Forget tasks under which no worker was lost for a while."""
        for task, at in list(self._drop_at.items()):
            if now >= at:
                del self._drop_at[task]
                del self._by_task[task]

    def _add(
        self, task: str, key: tuple[str, str], evidence: _Evidence, now: float
    ) -> None:
        losses = self._by_task.setdefault(task, {})
        losses[key] = max(evidence, losses.get(key, evidence))
        self._drop_at[task] = now + KEEP_COUNT_S
