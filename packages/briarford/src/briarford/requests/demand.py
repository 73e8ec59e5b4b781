"""Reports to agents which tasks of an entry wait for their workers.

When a service is full, entries would race for each piece of capacity that
becomes free. An agent therefore reserves it for the entry whose waiting task
has the least slack, as the entries report it.
"""

from __future__ import annotations

from collections.abc import Mapping

from briarford.requests.agents import AgentView
from briarford.requests.attachments import Attachments
from briarford.requests.job import Task
from briarford.requests.placing import fastest_run_s, would_place_on
from briarford.requests.ranking import goes_with_those_in_time
from briarford.requests.waiting import WaitingTasks
from briarford.runs import Demand

__all__ = [
    "LATE_SLACK_S",
    "MAX_SUSPECTS_TRIED",
    "MAX_TASKS_TRIED",
    "DemandReporter",
]

DEMAND_PERIOD_S = 0.1
# Added to the lateness of late tasks. It is longer than any task may wait, so
# agents, which compare slack, rank late tasks behind all that can be in time.
LATE_SLACK_S = 100.0
# In one turn at most so many waiting tasks are tried without success, and as
# many are considered for the demand that agents are sent.
MAX_TASKS_TRIED = 8
# Of these at most so many are under suspicion: they may wait for a worker
# without such a task while there is room for all others.
MAX_SUSPECTS_TRIED = 2


class DemandReporter:
    """Reports to each agent the most urgent waiting task it could run.

    :param agents: the agents of the entry.
    :param waiting: its waiting tasks.
    :param unended_runs: numbers of runs that may not have ended, by task; such
        tasks are not reported.
    """

    def __init__(
        self,
        agents: Attachments,
        waiting: WaitingTasks,
        unended_runs: Mapping[str, int],
    ) -> None:
        self._agents = agents
        self._waiting = waiting
        self._unended_runs = unended_runs
        # Whether an agent may hold a demand of this entry or have reserved
        # capacity for it.
        self._reported = False

    @property
    def must_report(self) -> bool:
        """Whether an agent has a demand or an offer that may have ended."""
        return self._reported

    def offer_received(self) -> None:
        """Have the next report decline what is left of a capacity offer."""
        self._reported = True

    def report(self, now: float, scarce: bool = False) -> None:
        """Send each agent its demand if that has changed or is due.

        A demand is sent again every ``DEMAND_PERIOD_S`` while it lasts, and
        once with 0 when it has ended. It also declines what is left of a
        capacity offer.
        """
        urgent = self._most_urgent(now, scarce)
        if not urgent and not self._reported:
            return
        self._reported = bool(urgent)
        for view in self._agents.linked():
            if view.attached:
                self._report_to(view, urgent, scarce, now)

    def _report_to(
        self,
        view: AgentView,
        urgent: list[tuple[Task, float]],
        scarce: bool,
        now: float,
    ) -> None:
        task = next(
            (t for t, s in urgent if would_place_on(t, view, s, now)), None
        )
        cpu = task.spec.cpu if task is not None else 0
        begun = scarce and task is not None and task.job.started
        slack_s = _slack_s(task, begun, now) if task is not None else 0.0
        had_cpu = view.demand.cpu if view.demand is not None else 0
        offered = now < view.offered_until and view.offered_cpu > 0
        due = now >= view.demand_sent_at + DEMAND_PERIOD_S
        if cpu == had_cpu and not (cpu and due) and not offered:
            return
        view.demand = Demand(cpu, slack_s, begun)
        view.demand_sent_at = now
        view.offered_cpu = 0
        self._agents.send(view, view.demand)

    def _most_urgent(
        self, now: float, scarce: bool
    ) -> list[tuple[Task, float]]:
        """Return the most urgent waiting tasks, with expected run times.

        :return: up to ``MAX_TASKS_TRIED`` tasks, each with its expected
            seconds on the fastest usable worker.
        """
        urgent: list[tuple[Task, float]] = []
        if not self._waiting:
            return urgent
        usable = [v for v in self._agents.linked() if v.usable(now)]
        suspects = 0
        for task in self._waiting.in_order(now, scarce):
            if self._unended_runs.get(task.name):
                continue
            suspects += task.suspect
            if task.suspect and suspects > MAX_SUSPECTS_TRIED:
                continue
            service = task.job.route.service
            views = [
                v
                for v in usable
                if v.status is not None and v.status.service == service
            ]
            urgent.append((task, fastest_run_s(task, views)))
            if len(urgent) >= MAX_TASKS_TRIED:
                break
        return urgent


def _slack_s(task: Task, begun: bool, now: float) -> float:
    """Return the slack of a task in seconds, as agents compare it.

    Late tasks get ``LATE_SLACK_S`` plus the seconds by which they are late,
    which ranks them behind all tasks that can still be in time.

    :param begun: whether room is scarce and the job of the task has begun.
    """
    slack_s = round(task.start_by - now, 3)
    if begun and goes_with_those_in_time(task, now):
        return slack_s
    return slack_s if slack_s >= 0 else LATE_SLACK_S - slack_s
