"""Chooses the worker of a task.

Answers two load patterns. With spare capacity the fastest worker takes the
task. Near capacity fast workers are the scarce part: a task that ends in time
on a slow worker goes there, and one that does not waits for a fast worker as
long as it may.
"""

from __future__ import annotations

from collections.abc import Sequence

from briarford.requests.agents import AgentView, slowness_of
from briarford.requests.job import StepSpec, Task

__all__ = [
    "choose_agent",
    "fastest_run_s",
    "may_run_at",
    "utilisation",
    "would_place_on",
]

BUSY_UTILISATION = (
    0.5  # of the capacity taken; from here on fast workers are kept
)
# Share of the time left that a run on a slow worker may take: the speed is
# learnt from estimates and known to a fifth.
SAFE_SHARE_OF_TIME_LEFT = 0.8


def utilisation(views: Sequence[AgentView]) -> float:
    """Return the share of the capacity that runs hold."""
    total = sum(v.status.cpu for v in views if v.status is not None)
    if total == 0:
        return 1.0
    return 1.0 - sum(v.spare_cpu for v in views) / total


def may_run_at(task: Task, view: AgentView, now: float) -> bool:
    """Whether an agent's worker may run a task, whatever its load."""
    status = view.status
    if status is None or not view.usable(now):
        return False
    if status.service != task.job.route.service:
        return False
    label = task.spec.required_label
    if label and label not in status.labels:
        return False
    limit = task.spec.max_per_worker
    return not limit or _tasks_of_step_on(task, view) < limit


def choose_agent(
    task: Task, views: Sequence[AgentView], busy: float, now: float
) -> AgentView | None:
    """Return the agent that is to run a task now; None if it is to wait.

    :param views: the agents of the service.
    :param busy: share of the capacity that is taken.
    """
    spec = task.spec
    fitting = [
        v for v in views if v.fits(spec, now) and may_run_at(task, v, now)
    ]
    if not fitting:
        return None
    not_failed_on = [v for v in fitting if v.name not in task.failed_agents]
    fitting = not_failed_on or fitting
    left_s = _time_left_s(task, now)
    in_time = [v for v in fitting if _run_s(task, v) <= left_s]
    if not in_time:
        return _choose_for_late_task(task, fitting, views, now)
    if busy < BUSY_UTILISATION:
        return min(
            in_time,
            key=lambda v: (_rounded_slowness(v, spec), -v.free_cpu(now)),
        )
    safely_in_time = [
        v
        for v in in_time
        if _run_s(task, v) <= SAFE_SHARE_OF_TIME_LEFT * left_s
    ]
    if safely_in_time:
        return max(
            safely_in_time,
            key=lambda v: (_rounded_slowness(v, spec), v.free_cpu(now)),
        )
    return min(in_time, key=lambda v: _run_s(task, v))


def _rounded_slowness(view: AgentView, spec: StepSpec) -> float:
    """Return the slowness, rounded: less is scatter of what was learnt."""
    return round(slowness_of(view, spec), 1)


def _choose_for_late_task(
    task: Task,
    fitting: Sequence[AgentView],
    views: Sequence[AgentView],
    now: float,
) -> AgentView | None:
    """Choose for a task that no free worker can end in time."""
    if fastest_run_s(task, views) <= _time_left_s(task, now):
        return None  # a fast worker may still become free in time
    return min(fitting, key=lambda v: _run_s(task, v))


def fastest_run_s(task: Task, views: Sequence[AgentView]) -> float:
    """Return the seconds that a task takes on the fastest worker."""
    return min((_run_s(task, v) for v in views), default=0.0)


def would_place_on(
    task: Task, view: AgentView, fastest_s: float, now: float
) -> bool:
    """Whether a waiting task would take room on a worker.

    :param fastest_s: seconds that it takes on the fastest worker.
    """
    if not may_run_at(task, view, now):
        return False
    left_s = _time_left_s(task, now)
    return _run_s(task, view) <= left_s or fastest_s > left_s


def _time_left_s(task: Task, now: float) -> float:
    return task.start_by + task.spec.expected_s - now


def _run_s(task: Task, view: AgentView) -> float:
    return task.spec.expected_s * slowness_of(view, task.spec)


def _tasks_of_step_on(task: Task, view: AgentView) -> int:
    return sum(
        t.agent == view.name and t.step == task.step for t in task.job.tasks
    )
