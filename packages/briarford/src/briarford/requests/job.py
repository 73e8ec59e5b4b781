"""Jobs that an entry has admitted, and the state of their tasks."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterator

import msgspec

from briarford.requests.ranking import JobRank
from briarford.routes import Route

__all__ = ["Job", "JobRequest", "StepSpec", "Task", "TaskPhase"]

# Clients have no use for an answer that takes longer than three times the
# objective.
EXPIRY_FACTOR = 3.0


class StepSpec(msgspec.Struct, frozen=True):
    """One step of a job: a number of tasks with the same requirements.

    :param count: number of tasks.
    :param cpu: thousandths of a processor per task.
    :param memory_mb: megabytes of memory per task.
    :param gpu: accelerators per task.
    :param expected_s: the client's rough estimate of the run time of a task
        in seconds, on a worker of nominal speed.
    :param after: numbers of the steps that must be done before this one
        starts.
    :param required_label: label that the worker must have; empty for any.
    :param preferred_rack: rack that holds the data; empty for any.
    :param max_per_worker: how many tasks of the step may be placed on one
        worker at a time; 0 for any number.
    """

    count: int
    cpu: int
    memory_mb: int
    gpu: int
    expected_s: float
    after: tuple[int, ...] = ()
    required_label: str = ""
    preferred_rack: str = ""
    max_per_worker: int = 0

    @property
    def work(self) -> float:
        """Expected work of a task: thousandths of a processor x seconds."""
        return self.cpu * self.expected_s


class JobRequest(msgspec.Struct, frozen=True):
    """A job as its client submitted it.

    :param job: the id that the client chose.
    :param payload: what the worker gets with each task.
    :param steps: its steps, by number.
    :param best_effort: whether the job need not be stored; its client waits
        for the answer on the open connection. Other jobs are refused.
    :param unsupported: names of requested features that are not available.
    """

    job: str
    payload: str
    steps: tuple[StepSpec, ...]
    best_effort: bool
    unsupported: tuple[str, ...] = ()


class TaskPhase(enum.Enum):
    """State of a task at its entry."""

    BLOCKED = "blocked"  # a step that must come first is not done
    WAITING = "waiting"  # for a worker
    PLACED = "placed"  # a run of it has been ordered from an agent
    DONE = "done"


class Task(msgspec.Struct, eq=False):
    """A task of a job.

    :param name: its name at workers, unique across jobs.
    :param job: the job that it belongs to.
    :param step: number of its step.
    :param spec: requirements of its step.
    :param start_by: latest Unix time in seconds at which it can start, on a
        worker of nominal speed, for its job to end within the objective.
    :param failures: number of its runs that failed.
    :param last_run: number of its latest run.
    :param agent: name of the agent that was ordered to run it; empty if it
        is not placed.
    :param dispatch: number of its latest order.
    :param failed_agents: names of agents whose worker failed, stalled or
        rejected it, or was lost with it; others are preferred for the next
        attempt.
    :param suspect: whether a worker was lost under it, so that it may crash
        the next one.
    """

    name: str
    job: Job
    step: int
    spec: StepSpec
    start_by: float
    phase: TaskPhase = TaskPhase.BLOCKED
    failures: int = 0
    last_run: int = 0
    agent: str = ""
    dispatch: int = 0
    failed_agents: set[str] = msgspec.field(default_factory=set)
    suspect: bool = False

    @property
    def useful_by(self) -> float:
        """Latest Unix time in seconds at which it is of use to start it.

        Like ``start_by``, for the expiry of the job in place of its
        objective.
        """
        return self.start_by + self.job.expires_at - self.job.objective_at

    @property
    def is_waiting(self) -> bool:
        """Whether no run of it is in progress and it is not done."""
        return self.phase in (TaskPhase.BLOCKED, TaskPhase.WAITING)


class Job(msgspec.Struct, eq=False):
    """A job that was admitted and has no outcome yet.

    :param request: what the client sent.
    :param route: the route as it was when the job was admitted.
    :param accepted_at: Unix time in seconds.
    :param objective_at: Unix time in seconds by which it has to end to meet
        the objective of its route.
    :param tasks: the tasks of all its steps.
    :param started: whether a run of any of its tasks was ever ordered.
    :param ended: whether it has got its outcome.
    :param open_tasks: number of tasks that are not done, by step.
    :param estimates_s: the client's estimates, by step; the steps of
        ``request`` have the expected work.
    :param observed: whether one of its runs has been used to learn from.
    :param rank: its rank while room is scarce; None for the highest.
    :param number: of its admission, unique within this process.
    :param deadline: Unix time in seconds at which the last of its clients
        stops waiting; infinite if they have not said.
    :param place_not_before: Unix time in seconds until which its client may
        have left without a sign.
    """

    request: JobRequest
    route: Route
    accepted_at: float
    objective_at: float
    tasks: list[Task] = msgspec.field(default_factory=list)
    started: bool = False
    ended: bool = False
    open_tasks: list[int] = msgspec.field(default_factory=list)
    estimates_s: tuple[float, ...] = ()
    observed: bool = False
    rank: JobRank | None = None
    number: int = 0
    deadline: float = math.inf
    place_not_before: float = -math.inf

    @property
    def expires_at(self) -> float:
        """Unix time in seconds after which its answer is of no use."""
        span = self.objective_at - self.accepted_at
        return self.accepted_at + EXPIRY_FACTOR * span

    def step_done(self, step: int) -> bool:
        """Whether all tasks of a step are done."""
        return step >= len(self.open_tasks) or not self.open_tasks[step]

    def mark_done(self, task: Task) -> None:
        """Record that a task is done."""
        task.phase = TaskPhase.DONE
        self.open_tasks[task.step] -= 1

    @property
    def done(self) -> bool:
        """Whether all tasks are done."""
        return not any(self.open_tasks)


def total_work(steps: tuple[StepSpec, ...]) -> float:
    """Return the expected work of all tasks of all steps."""
    return sum(s.count * s.work for s in steps)


def longest_chain_s(steps: tuple[StepSpec, ...]) -> float:
    """Return the expected seconds of the longest chain of dependent steps."""
    ends: list[float] = []
    for step in steps:
        before = [ends[n] for n in step.after if n < len(ends)]
        ends.append(max(before, default=0.0) + step.expected_s)
    return max(ends, default=0.0)


def make_job(
    request: JobRequest,
    route: Route,
    now: float,
    stop_by: float | None = None,
) -> Job:
    """Create an admitted job with its tasks, their deadlines included.

    :param stop_by: when the process stops, if it does; the job has to end
        before.
    """
    chain_s = longest_chain_s(request.steps)
    objective_s = route.stretch * chain_s + route.target_s
    job = Job(request, route, now, now + objective_s)
    job.open_tasks = [s.count for s in request.steps]
    end_by = job.objective_at
    if stop_by is not None:
        end_by = min(end_by, stop_by)
    chains_s = _longest_chains_from_s(request.steps)
    for number, step in enumerate(request.steps):
        start_by = end_by - chains_s[number]
        for index in range(step.count):
            name = _task_name(request.job, number, index)
            job.tasks.append(Task(name, job, number, step, start_by))
    return job


def task_names(request: JobRequest) -> Iterator[str]:
    """Iterate over the names that the tasks of a job have at workers."""
    for number, step in enumerate(request.steps):
        for index in range(step.count):
            yield _task_name(request.job, number, index)


def job_of(task: str) -> str:
    """Return the id of the job that a task belongs to, by its name."""
    return task.partition(".")[0]


def _task_name(job: str, step: int, index: int) -> str:
    return f"{job}.0.{step}.{index}"


def _longest_chains_from_s(steps: tuple[StepSpec, ...]) -> list[float]:
    """Return the expected seconds of the longest chain from each step on."""
    chains_s = [s.expected_s for s in steps]
    for number in range(len(steps) - 1, -1, -1):
        for earlier in steps[number].after:
            if earlier < number:
                chain_s = steps[earlier].expected_s + chains_s[number]
                chains_s[earlier] = max(chains_s[earlier], chain_s)
    return chains_s
