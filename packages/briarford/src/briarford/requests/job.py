"""A request, its tasks, and how far they are."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from briarford.routes import Route

__all__ = ["Job", "JobRequest", "StepSpec", "Task", "TaskPhase"]

# An answer later than three times the objective is worth nothing any more.
EXPIRY_FACTOR = 3.0


@dataclass(slots=True, frozen=True)
class StepSpec:
    """Tasks of a request that are alike.

    :param count: number of tasks.
    :param cpu: thousandths of a processor for each.
    :param memory_mb: memory for each.
    :param gpu: accelerators for each.
    :param expected_s: rough estimate of the seconds of work of each.
    :param after: numbers of the steps that have to be done first.
    :param required_label: label that the worker must have; empty for any.
    :param preferred_rack: rack near the data; empty for any.
    :param max_per_worker: most tasks on one worker; 0 for any number.
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
        """Thousandths of a processor times seconds that a task takes."""
        return self.cpu * self.expected_s


@dataclass(slots=True, frozen=True)
class JobRequest:
    """A request of a client.

    :param job: the id that the client chose.
    :param payload: what each of its tasks gets.
    :param steps: its steps.
    :param best_effort: whether it needs no storing; the answer is sent
        once it has ended.
    :param unsupported: names of features that it asks for and that are not
        available.
    """

    job: str
    payload: str
    steps: tuple[StepSpec, ...]
    best_effort: bool
    unsupported: tuple[str, ...] = ()


class TaskPhase(enum.Enum):
    """Where a task is on its way."""

    BLOCKED = "blocked"  # by steps that are not done
    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


@dataclass(slots=True, eq=False)
class Task:
    """A task of a job.

    :param name: its name at workers.
    :param start_by: when it has to start on a fast worker so that its job
        ends within the objective.
    :param failures: attempts that ended as failed.
    :param last_run: number of its latest run.
    :param agent: where it is placed; empty if nowhere.
    :param dispatch: number of the order that placed it.
    :param failed_agents: agents where it failed.
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
    failed_agents: set[str] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class Job:
    """A request that was accepted.

    :param request: what the client sent.
    :param route: the route at the time of acceptance.
    :param accepted_at: Unix seconds.
    :param objective_at: when it has to end to meet its objective.
    :param started: whether a task of it was ever ordered.
    :param estimated: whether its wait was estimated when it was accepted.
    """

    request: JobRequest
    route: Route
    accepted_at: float
    objective_at: float
    tasks: list[Task] = field(default_factory=list)
    started: bool = False
    estimated: bool = True
    ended: bool = False

    @property
    def expires_at(self) -> float:
        """From when on an answer is of no use."""
        span = self.objective_at - self.accepted_at
        return self.accepted_at + EXPIRY_FACTOR * span

    def step_done(self, step: int) -> bool:
        """Whether all tasks of a step are done."""
        return all(
            t.phase is TaskPhase.DONE for t in self.tasks if t.step == step
        )

    @property
    def done(self) -> bool:
        """Whether all tasks are done."""
        return all(t.phase is TaskPhase.DONE for t in self.tasks)


def longest_chain_s(steps: tuple[StepSpec, ...]) -> float:
    """Return the seconds of work on the longest path through the steps."""
    ends: list[float] = []
    for step in steps:
        before = [ends[n] for n in step.after if n < len(ends)]
        ends.append(max(before, default=0.0) + step.expected_s)
    return max(ends, default=0.0)


def make_job(request: JobRequest, route: Route, now: float) -> Job:
    """Return a job with all its tasks."""
    chain_s = longest_chain_s(request.steps)
    objective_s = route.stretch * chain_s + route.target_s
    job = Job(request, route, now, now + objective_s)
    for number, step in enumerate(request.steps):
        start_by = job.objective_at - _longest_chain_from_s(
            request.steps, number
        )
        for index in range(step.count):
            name = f"{request.job}.0.{number}.{index}"
            job.tasks.append(Task(name, job, number, step, start_by))
    return job


def _longest_chain_from_s(steps: tuple[StepSpec, ...], number: int) -> float:
    """Return the seconds of work from a step to the end of the job."""
    followers = [
        _longest_chain_from_s(steps, later)
        for later in range(number + 1, len(steps))
        if number in steps[later].after
    ]
    return steps[number].expected_s + max(followers, default=0.0)
