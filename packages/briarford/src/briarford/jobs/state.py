"""The jobs of one home entry."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from briarford.jobs.messages import JobSpec, QueuedTask, TaskRef
from briarford.outcomes import (
    Completed,
    Failed,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
    Step,
)

__all__ = ["Job", "JobTable"]


@dataclass(slots=True)
class Job:
    """One job at its home.

    :param job_id: its id.
    :param digest: digest of the submission, to recognise a different body.
    :param deadline: Unix time in seconds.
    :param forget_at: Unix time in seconds until which the id is remembered.
    :param spec: the submission; None once the job has ended.
    :param results: one JSON document per task; None where it is missing.
    :param missing: how many results are missing.
    :param attempts: the current attempt of each task.
    :param sent: attempts that have no result yet, and the worker of each.
    :param delayed_retries: attempts that wait before they are queued again.
    :param not_started_counts: how often tasks of the job came back un-started.
    :param ran: whether an attempt ended in another way than un-started.
    :param outcome: None while the job runs.
    """

    job_id: str
    digest: bytes
    deadline: float
    forget_at: float
    spec: JobSpec | None
    results: list[bytes | None]
    missing: int
    attempts: list[int]
    sent: dict[TaskRef, str] = field(default_factory=dict)
    delayed_retries: dict[TaskRef, QueuedTask] = field(default_factory=dict)
    not_started_counts: dict[int, int] = field(default_factory=dict)
    ran: bool = False
    outcome: Outcome | None = None

    def is_current(self, ref: TaskRef) -> bool:
        """Whether an attempt is the one whose result is awaited."""
        if self.outcome is not None:
            return False
        if self.results[ref.index] is not None:
            return False
        return self.attempts[ref.index] == ref.attempt

    @property
    def waiting(self) -> int:
        """How many tasks have neither a result nor an attempt under way."""
        return self.missing - len(self.sent)

    def record_attempt_end(self, ref: TaskRef, started: bool) -> None:
        """Note that an attempt has ended.

        :param started: False only with proof that it was not started.
        """
        self.sent.pop(ref, None)
        if started:
            self.ran = True
            return
        self.not_started_counts[ref.index] = (
            self.not_started_counts.get(ref.index, 0) + 1
        )

    def store_result(self, ref: TaskRef, payload: bytes) -> bool:
        """Store the result of a task.

        :return: whether the job is complete with it.
        """
        if not self.is_current(ref):
            return False
        self.results[ref.index] = payload
        self.missing -= 1
        return self.missing == 0

    def next_attempt(self, index: int) -> TaskRef:
        """Move a task on to its next attempt."""
        self.attempts[index] += 1
        return TaskRef(self.job_id, index, self.attempts[index])

    def completed(self) -> Completed:
        """Return the whole answer; every result must be there."""
        whole = tuple(r for r in self.results if r is not None)
        if len(whole) != len(self.results):
            raise AssertionError(f"job {self.job_id} is not complete")
        return Completed(whole)

    def incomplete_outcome(
        self,
        refusal: RefusalReason,
        failure: FailureReason,
        detail: str,
        step: Step,
        peer: str,
        retry_at: float | None = None,
    ) -> Outcome:
        """Return a refusal if no task can have run, else a failure."""
        if self.sent or self.ran:
            return Failed(failure, detail, step, peer)
        return Refused(refusal, detail, step, peer, retry_at)


class JobTable:
    """Jobs by id, from their submission until they may be forgotten.

    Ended jobs keep their answer within a budget of bytes; the oldest
    answers go first, the ids and outcomes without results stay.

    :param answer_budget_bytes: memory for answers of ended jobs.
    """

    def __init__(self, answer_budget_bytes: int) -> None:
        self._jobs: dict[str, Job] = {}
        self._answer_budget_bytes = answer_budget_bytes
        self._answer_sizes: dict[str, int] = {}
        self._kept_bytes = 0
        self._running = 0

    def __len__(self) -> int:
        return len(self._jobs)

    @property
    def running(self) -> int:
        """How many jobs have no outcome yet."""
        return self._running

    @property
    def kept_bytes(self) -> int:
        """Bytes of answers kept for ended jobs."""
        return self._kept_bytes

    def get(self, job_id: str) -> Job | None:
        """Return a job that is remembered."""
        return self._jobs.get(job_id)

    def ended(self) -> Iterator[Job]:
        """Return the jobs that have an outcome and are remembered."""
        return (j for j in self._jobs.values() if j.outcome is not None)

    def running_jobs(self) -> list[Job]:
        """Return the jobs that have no outcome yet."""
        return [j for j in self._jobs.values() if j.outcome is None]

    def add(self, spec: JobSpec, forget_at: float) -> Job:
        """Add a job that is not yet known."""
        count = len(spec.tasks)
        job = Job(
            job_id=spec.job_id,
            digest=spec.digest(),
            deadline=spec.deadline,
            forget_at=forget_at,
            spec=spec,
            results=[None] * count,
            missing=count,
            attempts=[0] * count,
        )
        self._jobs[spec.job_id] = job
        self._running += 1
        return job

    def discard(self, job_id: str) -> None:
        """Drop a job that was refused at admission."""
        if self._jobs.pop(job_id, None) is not None:
            self._running -= 1

    def end(self, job: Job, outcome: Outcome) -> None:
        """Set the final outcome of a job."""
        job.outcome = outcome
        job.spec = None
        job.results = []
        job.attempts = []
        job.sent = {}
        job.delayed_retries = {}
        job.not_started_counts = {}
        self._running -= 1
        if isinstance(outcome, Completed):
            self._keep_answer(job.job_id, sum(map(len, outcome.results)))

    def forget(self, job_id: str) -> None:
        """Forget an ended job."""
        self._jobs.pop(job_id, None)
        self._kept_bytes -= self._answer_sizes.pop(job_id, 0)

    def _keep_answer(self, job_id: str, size: int) -> None:
        self._answer_sizes[job_id] = size
        self._kept_bytes += size
        while (
            self._kept_bytes > self._answer_budget_bytes
            and len(self._answer_sizes) > 1
        ):
            self._drop_answer(next(iter(self._answer_sizes)))

    def _drop_answer(self, job_id: str) -> None:
        self._kept_bytes -= self._answer_sizes.pop(job_id)
        self._jobs[job_id].outcome = Failed(
            FailureReason.ANSWER_DROPPED,
            "the job completed, but its answer is no longer kept",
            Step.ANSWER_READ,
            "",
        )
