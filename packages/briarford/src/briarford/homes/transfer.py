"""Transfers the ended jobs of a stopping entry to a successor.

Clients read outcomes for a while after a job has ended. An entry that stops as
planned therefore sends its ended jobs to another entry, its successor, and
names it in the view. From then on the successor answers for these jobs.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from briarford.homes.messages import (
    TransferBatch,
    TransferredJob,
    TransferReply,
    WireCompleted,
    from_wire,
    to_wire,
)
from briarford.homes.view import Member
from briarford.messages import encode
from briarford.outcomes import (
    Failed,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
    Step,
)

__all__ = ["TransferredJobTable", "choose_successor", "split_into_batches"]

BATCH_MAX_BYTES = 500_000
TRANSFERRED_ANSWERS_MAX_BYTES = 32_000_000


def choose_successor(
    me: Member, members: Iterable[Member], leaving: Iterable[Member] = ()
) -> Member | None:
    """Choose the entry that receives the ended jobs of this one.

    An entry of another availability zone is preferred, as all entries of one
    zone are often stopped together.

    :param me: this entry.
    :param members: the entries to choose from.
    :param leaving: entries that are about to stop, and are not chosen.
    :return: None if there is no other entry.
    """
    excluded = {m.name for m in leaving} | {me.name}
    others = [m for m in members if m.name not in excluded]
    return max(others, key=lambda m: (m.zone != me.zone, m.name), default=None)


def split_into_batches(
    home: str, incarnation: str, jobs: Iterable[TransferredJob]
) -> Iterator[TransferBatch]:
    """Split the ended jobs of one incarnation into messages of bounded size.

    There is at least one message: an empty one reports to the successor that
    the incarnation ran no job. A single job may exceed the size.

    :param home: the name of the entry whose jobs they are.
    :param incarnation: its incarnation.
    :param jobs: the jobs.
    """
    all_jobs = tuple(jobs)
    total = len(all_jobs)
    batch: list[TransferredJob] = []
    size = 0
    for job in all_jobs:
        job_size = len(encode(job))
        if batch and size + job_size > BATCH_MAX_BYTES:
            yield TransferBatch(home, incarnation, tuple(batch), total)
            batch, size = [], 0
        batch.append(job)
        size += job_size
    yield TransferBatch(home, incarnation, tuple(batch), total)


class TransferredJobTable:
    """Ended jobs that stopped processes have transferred to this entry.

    A stopping entry counts its jobs only after it has begun to refuse all
    submits. So if all of its jobs have arrived here, a job that is not among
    them did not run.

    :param me: the name of this entry.
    :param budget_bytes: limit on the size of all answers kept; a job that
        would exceed it is kept without its answer.
    """

    __slots__ = ("_budget_bytes", "_jobs", "_kept_bytes", "_me", "_totals")

    def __init__(
        self, me: str, budget_bytes: int = TRANSFERRED_ANSWERS_MAX_BYTES
    ) -> None:
        self._me = me
        self._budget_bytes = budget_bytes
        self._kept_bytes = 0
        self._jobs: dict[tuple[str, str], dict[str, TransferredJob]] = {}
        self._totals: dict[tuple[str, str], int] = {}

    def receive_batch(self, batch: TransferBatch) -> TransferReply:
        """Store the jobs of a batch.

        Jobs that are here already stay as they are, so the sender may repeat
        a batch.

        :return: how many jobs of that incarnation are here, and whether these
            are all that it transfers.
        """
        process = (batch.home, batch.incarnation)
        jobs = self._jobs.setdefault(process, {})
        for job in batch.jobs:
            if job.job_id not in jobs:
                jobs[job.job_id] = self._apply_answer_budget(job)
        self._totals[process] = batch.total
        return TransferReply(len(jobs), len(jobs) == batch.total)

    def answer(
        self,
        home: str,
        incarnation: str,
        job_id: str,
        digest: bytes | None = None,
    ) -> Outcome:
        """Return the outcome of a job of an incarnation that has stopped.

        :param home: the name of the entry that was the job's home.
        :param incarnation: its incarnation.
        :param job_id: the job.
        :param digest: of the submitted body if the job is being submitted
            again; another body under the same id is refused.
        :return: if the job is not here: a refusal if all jobs of that
            incarnation are, as the job then did not run; otherwise a
            failure, as it may have run.
        """
        process = (home, incarnation)
        jobs = self._jobs.get(process, {})
        job = jobs.get(job_id)
        if job is None:
            return self._answer_unknown(process)
        if digest is not None and digest != job.digest:
            return Refused(
                RefusalReason.BODY_DIFFERS,
                "the id belongs to a job with another body",
                Step.SUBMIT,
                self._me,
            )
        return from_wire(job.outcome)

    def forget_expired(self, now: float) -> None:
        """Drop the jobs whose ids need not be remembered any longer.

        The total of the incarnation is not lowered. The jobs that are left
        are therefore no longer complete, and a job that is not among them is
        not taken for one that did not run.
        """
        for jobs in self._jobs.values():
            for job in tuple(jobs.values()):
                if job.forget_at <= now:
                    del jobs[job.job_id]
                    self._kept_bytes -= _answer_bytes(job)

    def list_by_process(
        self,
    ) -> dict[tuple[str, str], tuple[TransferredJob, ...]]:
        """Return the jobs by name and incarnation of their home.

        They are meant to be transferred on when this entry stops.
        """
        return {p: tuple(jobs.values()) for p, jobs in self._jobs.items()}

    def _apply_answer_budget(self, job: TransferredJob) -> TransferredJob:
        """Replace the answer by a failure if it would exceed the budget."""
        size = _answer_bytes(job)
        if self._kept_bytes + size <= self._budget_bytes:
            self._kept_bytes += size
            return job
        dropped = Failed(
            FailureReason.ANSWER_DROPPED,
            "the job completed, but its answer is no longer kept",
            Step.ANSWER_READ,
            self._me,
        )
        return msgspec.structs.replace(job, outcome=to_wire(dropped))

    def _answer_unknown(self, process: tuple[str, str]) -> Outcome:
        """Return the outcome of an id that is not among the transferred jobs.

        If all jobs of the stopped process have arrived, the job did not run
        and is refused. Otherwise it may have run, and counts as failed.
        """
        known = len(self._jobs.get(process, {}))
        if self._totals.get(process) == known:
            return Refused(
                RefusalReason.STOPPING,
                "the home of the id has stopped; submit under a new id",
                Step.SUBMIT,
                process[0],
            )
        return Failed(
            FailureReason.HOME_LOST,
            "the home of the job has stopped and its record is not here",
            Step.FORWARD,
            process[0],
        )


def _answer_bytes(job: TransferredJob) -> int:
    if not isinstance(job.outcome, WireCompleted):
        return 0
    return sum(map(len, job.outcome.results))
