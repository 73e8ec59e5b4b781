"""Choice of the worker that runs a task.

While much of the capacity is free, a task goes to the fastest worker. Near
full load fast workers are scarce: a task that ends in time on a slow worker
is placed there, and one that does not waits for a fast worker for as long as
it can still end in time on one.

A job ends with its last task, so it is as late as the slowest of its workers
and loses time with each worker that fails. Among workers of the same speed
those come first that run tasks of the same job already: a job of eight tasks
then depends on one or two workers in place of eight, and its payload is sent
to these only.

Each start carries the payload of its job, and bytes between zones cost money.
While much of the capacity is free, one in the zone of the entry comes first
among workers that are equal in all of this. No task waits for it: it is a
choice among free workers that end the task in time. Near full load the most
free one is chosen wherever it is: entries of one zone that press on the same
workers would find them full.

A task under which a worker was lost may crash the next one as well. Such tasks
of different jobs never share a worker, so that a second crash points to one of
them, and they go to workers with few other runs, which a crash would end too.
Other tasks avoid these workers while others end them in time.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from briarford.requests.agents import AgentView, slowness_of
from briarford.requests.job import StepSpec, Task

__all__ = [
    "choose_agent",
    "fastest_run_s",
    "may_run_at",
    "utilisation",
    "would_place_on",
]

# From this utilisation on, fast workers are kept for tasks that need them.
BUSY_UTILISATION = 0.5
# Share of the time left that the expected run may take on a slow worker. The
# slowness of a worker is learnt from the estimates of clients, which makes it
# accurate to about a fifth.
SAFE_SHARE_OF_TIME_LEFT = 0.8


def utilisation(views: Sequence[AgentView]) -> float:
    """Return the share of the processor capacity that runs and orders hold.

    :param views: the agents of the service.
    :return: from 0 to 1; 1 if there is no capacity at all.
    """
    total = sum(v.status.cpu for v in views if v.status is not None)
    if total == 0:
        return 1.0
    return 1.0 - sum(v.spare_cpu for v in views) / total


def may_run_at(task: Task, view: AgentView, now: float) -> bool:
    """Whether a worker is eligible for a task, regardless of its load.

    Its agent must be usable, and the service, the required label and the
    limit of tasks per worker must match. A task under suspicion must not meet
    that of another job.
    """
    status = view.status
    if status is None or not view.usable(now):
        return False
    if status.service != task.job.route.service:
        return False
    label = task.spec.required_label
    if label and label not in status.labels:
        return False
    if task.suspect and not view.may_try(task.job.request.job):
        return False
    limit = task.spec.max_per_worker
    return not limit or _tasks_of_step_on(task, view) < limit


def choose_agent(
    task: Task,
    views: Sequence[AgentView],
    held_share: float,
    now: float,
    zone: str = "",
) -> AgentView | None:
    """Return the agent whose worker runs a task now; None to wait.

    Agents with whose workers the task has failed are used only if no other
    one fits.
    Among workers that end the task in time, the fastest one is chosen below
    ``BUSY_UTILISATION``, and from there on the slowest one that ends it with
    some time to spare. Of several such, the one with tasks of the same job
    is chosen, then, below ``BUSY_UTILISATION``, one in the zone of the entry,
    then the one with the most free capacity.

    :param task: the task to place.
    :param views: the usable agents of the service.
    :param held_share: their :func:`utilisation`.
    :param now: Unix time in seconds.
    :param zone: of the entry; empty if no zone is preferred.
    """
    spec = task.spec
    fitting = [v for v in views if v.fits(spec, now)]
    if spec.required_label or spec.max_per_worker or task.suspect:
        fitting = [v for v in fitting if may_run_at(task, v, now)]
    if not fitting:
        return None
    if task.failed_agents:
        others = [v for v in fitting if v.name not in task.failed_agents]
        fitting = others or fitting
    left_s = _time_left_s(task, now)
    in_time = [v for v in fitting if _run_s(task, v) <= left_s]
    if not in_time:
        return _choose_for_late_task(task, fitting, views, now)
    used_by_job = _used_by_job(task)
    if task.suspect:
        return min(
            in_time, key=lambda v: (v.name not in used_by_job, v.held_cpu)
        )
    in_time = [v for v in in_time if not v.has_trial] or in_time
    if held_share < BUSY_UTILISATION:
        return min(
            in_time,
            key=lambda v: (
                _rounded_slowness(v, spec),
                v.name not in used_by_job,
                not _is_in_zone(v, zone),
                -v.free_cpu(now),
            ),
        )
    safely_in_time = [
        v
        for v in in_time
        if _run_s(task, v) <= SAFE_SHARE_OF_TIME_LEFT * left_s
    ]
    if safely_in_time:
        return max(
            safely_in_time,
            key=lambda v: (
                _rounded_slowness(v, spec),
                v.name in used_by_job,
                v.free_cpu(now),
            ),
        )
    return min(in_time, key=lambda v: _run_s(task, v))


def _is_in_zone(view: AgentView, zone: str) -> bool:
    """Whether a worker is in a zone; never if the zone is empty."""
    status = view.status
    return bool(zone) and status is not None and status.zone == zone


def _used_by_job(task: Task) -> Collection[str]:
    """Return the agents that run tasks of the same job."""
    return {t.agent for t in task.job.tasks}


def _rounded_slowness(view: AgentView, spec: StepSpec) -> float:
    """Return the slowness rounded to 0.1, as smaller differences are noise."""
    return round(slowness_of(view, spec), 1)


def _choose_for_late_task(
    task: Task,
    fitting: Sequence[AgentView],
    views: Sequence[AgentView],
    now: float,
) -> AgentView | None:
    """Choose a worker for a task that no free worker can end in time.

    The task waits if a busy worker is fast enough; else it is late anyway
    and goes to the fastest free worker.
    """
    if fastest_run_s(task, views) <= _time_left_s(task, now):
        return None  # a fast worker may become free in time
    return min(fitting, key=lambda v: _run_s(task, v))


def fastest_run_s(task: Task, views: Sequence[AgentView]) -> float:
    """Return the expected seconds of a task on the fastest worker."""
    return min((_run_s(task, v) for v in views), default=0.0)


def would_place_on(
    task: Task, view: AgentView, fastest_s: float, now: float
) -> bool:
    """Whether a waiting task would be placed on a worker with free capacity.

    That is so if the worker ends it in time, or if no worker does.

    :param task: the waiting task.
    :param view: the agent of the worker.
    :param fastest_s: expected seconds of the task on the fastest worker.
    :param now: Unix time in seconds.
    """
    if not may_run_at(task, view, now):
        return False
    left_s = _time_left_s(task, now)
    return _run_s(task, view) <= left_s or fastest_s > left_s


def _time_left_s(task: Task, now: float) -> float:
    """Return the seconds until the run of a task must have ended."""
    return task.start_by + task.spec.expected_s - now


def _run_s(task: Task, view: AgentView) -> float:
    return task.spec.expected_s * slowness_of(view, task.spec)


def _tasks_of_step_on(task: Task, view: AgentView) -> int:
    """Return how many tasks of the same step are placed on a worker."""
    return sum(
        t.agent == view.name and t.step == task.step for t in task.job.tasks
    )
