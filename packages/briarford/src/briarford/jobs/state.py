"""State of the jobs of which this entry is the home."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

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


class Job(msgspec.Struct):
    """One job at its home entry.

    :param job_id: its id.
    :param digest: digest of the submission, by which a resubmission with
        another body is recognised.
    :param deadline: Unix time in seconds.
    :param forget_at: Unix time in seconds until which the id is remembered.
    :param spec: the submission; None once the job has ended.
    :param results: the result of each task as a JSON document; None while it
        is missing.
    :param missing: number of missing results.
    :param attempts: number of the current attempt at each task.
    :param sent: attempts sent to agents that have not ended, and the name of
        the agent of each.
    :param delayed_retries: attempts that are queued only after a pause, as
        earlier ones were not started.
    :param not_started_counts: by index of the task, how many attempts ended
        without having been started.
    :param ran: whether any attempt may have been started.
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
    sent: dict[TaskRef, str] = msgspec.field(default_factory=dict)
    delayed_retries: dict[TaskRef, QueuedTask] = msgspec.field(
        default_factory=dict
    )
    not_started_counts: dict[int, int] = msgspec.field(default_factory=dict)
    ran: bool = False
    outcome: Outcome | None = None

    def is_current(self, ref: TaskRef) -> bool:
        """Whether the result of an attempt is still awaited.

        It is not if the job has ended, the task has its result, or a later
        attempt has replaced this one.
        """
        if self.outcome is not None:
            return False
        if self.results[ref.index] is not None:
            return False
        return self.attempts[ref.index] == ref.attempt

    @property
    def waiting(self) -> int:
        """Number of tasks without a result and without a sent attempt."""
        return self.missing - len(self.sent)

    def record_attempt_end(self, ref: TaskRef, started: bool) -> None:
        """Record that an attempt has ended.

        :param ref: the attempt.
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
        """Store the result of a task, unless its attempt is not current.

        :return: whether this was the last missing result of the job.
        """
        if not self.is_current(ref):
            return False
        self.results[ref.index] = payload
        self.missing -= 1
        return self.missing == 0

    def next_attempt(self, index: int) -> TaskRef:
        """Begin the next attempt at a task, and return it."""
        self.attempts[index] += 1
        return TaskRef(self.job_id, index, self.attempts[index])

    def completed(self) -> Completed:
        """Return the answer of the job; no result may be missing."""
        documents = tuple(r for r in self.results if r is not None)
        if len(documents) != len(self.results):
            raise AssertionError(f"job {self.job_id} is not complete")
        return Completed(documents)

    def incomplete_outcome(
        self,
        refusal: RefusalReason,
        failure: FailureReason,
        detail: str,
        step: Step,
        peer: str,
        retry_at: float | None = None,
    ) -> Outcome:
        """Return the outcome of a job that ends without its whole answer.

        That is a refusal if certainly none of its tasks ran, else a failure.

        :param refusal: reason of the refusal.
        :param failure: reason of the failure.
        :param detail: one sentence for a person.
        :param step: the step at which the job could not go on.
        :param peer: the process or backend server at which that was.
        :param retry_at: Unix time in seconds from which a refused job has a
            chance again; None if it never has.
        """
        if self.sent or self.ran:
            return Failed(failure, detail, step, peer)
        return Refused(refusal, detail, step, peer, retry_at)


class JobTable:
    """The jobs of one home by id, from submission until they are forgotten.

    Answers of ended jobs are kept within a budget of bytes. If it is
    exceeded, the answers that were kept first are dropped; the id of such a
    job stays, with an outcome that says that the answer is no longer kept.

    :param answer_budget_bytes: bytes for the answers of ended jobs. The
        latest answer is kept even if it exceeds them alone.
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
        """Number of jobs without an outcome."""
        return self._running

    @property
    def kept_bytes(self) -> int:
        """Bytes of the answers that are kept for ended jobs."""
        return self._kept_bytes

    def get(self, job_id: str) -> Job | None:
        """Return a job by its id; None if it is unknown or forgotten."""
        return self._jobs.get(job_id)

    def ended(self) -> Iterator[Job]:
        """Iterate over the jobs that have an outcome."""
        return (j for j in self._jobs.values() if j.outcome is not None)

    def running_jobs(self) -> list[Job]:
        """Return the jobs without an outcome."""
        return [j for j in self._jobs.values() if j.outcome is None]

    def add(self, spec: JobSpec, forget_at: float) -> Job:
        """Add a job that is not known yet.

        :param spec: the job.
        :param forget_at: Unix time in seconds until which its id is
            remembered.
        """
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
        """Remove a job that was refused at admission."""
        if self._jobs.pop(job_id, None) is not None:
            self._running -= 1

    def end(self, job: Job, outcome: Outcome) -> None:
        """Set the outcome of a job, and keep its answer if it has one."""
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
        """Remove an ended job and its answer."""
        self._jobs.pop(job_id, None)
        self._kept_bytes -= self._answer_sizes.pop(job_id, 0)

    def _keep_answer(self, job_id: str, size: int) -> None:
        """Count an answer, and drop the oldest ones above the budget."""
        self._answer_sizes[job_id] = size
        self._kept_bytes += size
        while (
            self._kept_bytes > self._answer_budget_bytes
            and len(self._answer_sizes) > 1
        ):
            self._drop_answer(next(iter(self._answer_sizes)))

    def _drop_answer(self, job_id: str) -> None:
        """Replace an answer by an outcome that says it is no longer kept."""
        self._kept_bytes -= self._answer_sizes.pop(job_id)
        self._jobs[job_id].outcome = Failed(
            FailureReason.ANSWER_DROPPED,
            "the job completed, but its answer is no longer kept",
            Step.ANSWER_READ,
            "",
        )
