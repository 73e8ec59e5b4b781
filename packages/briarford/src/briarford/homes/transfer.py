"""Hands the ended jobs of a stopping entry to its heir."""

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

BATCH_BYTES = 500_000
INHERITED_ANSWER_BYTES = 32_000_000


def choose_successor(
    me: Member, members: Iterable[Member], leaving: Iterable[Member] = ()
) -> Member | None:
    """Choose who takes over the ended jobs of this entry.

    An entry of another zone is preferred: a zone is often emptied whole.
    """
    taken = {m.name for m in leaving} | {me.name}
    others = [m for m in members if m.name not in taken]
    return max(others, key=lambda m: (m.zone != me.zone, m.name), default=None)


def split_into_batches(
    home: str, incarnation: str, jobs: Iterable[TransferredJob]
) -> Iterator[TransferBatch]:
    """Cut the ended jobs of one incarnation into messages.

    There is at least one message, so that the heir knows of an incarnation
    that ran nothing.
    """
    everything = tuple(jobs)
    total = len(everything)
    batch: list[TransferredJob] = []
    size = 0
    for job in everything:
        job_size = len(encode(job))
        if batch and size + job_size > BATCH_BYTES:
            yield TransferBatch(home, incarnation, tuple(batch), total)
            batch, size = [], 0
        batch.append(job)
        size += job_size
    yield TransferBatch(home, incarnation, tuple(batch), total)


class TransferredJobTable:
    """Ended jobs of incarnations that have stopped.

    A stopping entry refuses all submits before it counts its jobs, so a job
    that a complete inheritance lacks did not run.

    :param me: the name of this entry.
    :param budget_bytes: memory for answers; what comes beyond it is kept
        without its answer.
    """

    __slots__ = ("_budget", "_held_bytes", "_jobs", "_me", "_totals")

    def __init__(
        self, me: str, budget_bytes: int = INHERITED_ANSWER_BYTES
    ) -> None:
        self._me = me
        self._budget = budget_bytes
        self._held_bytes = 0
        self._jobs: dict[tuple[str, str], dict[str, TransferredJob]] = {}
        self._totals: dict[tuple[str, str], int] = {}

    def receive_batch(self, batch: TransferBatch) -> TransferReply:
        """Take some jobs; a repeated batch does no harm."""
        process = (batch.home, batch.incarnation)
        jobs = self._jobs.setdefault(process, {})
        for job in batch.jobs:
            if job.job_id not in jobs:
                jobs[job.job_id] = self._within_budget(job)
        self._totals[process] = batch.total
        return TransferReply(len(jobs), len(jobs) == batch.total)

    def answer(
        self,
        home: str,
        incarnation: str,
        job_id: str,
        digest: bytes | None = None,
    ) -> Outcome:
        """Answer for a job of an incarnation that has stopped.

        :param digest: of the submission, if this is one.
        """
        process = (home, incarnation)
        jobs = self._jobs.get(process, {})
        job = jobs.get(job_id)
        if job is None:
            return self._unknown(process)
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

        The count of all jobs stays, so what is left proves nothing.
        """
        for jobs in self._jobs.values():
            for job in tuple(jobs.values()):
                if job.forget_at <= now:
                    del jobs[job.job_id]
                    self._held_bytes -= _answer_bytes(job)

    def list_by_process(
        self,
    ) -> dict[tuple[str, str], tuple[TransferredJob, ...]]:
        """Return all that is held, for the next heir."""
        return {p: tuple(jobs.values()) for p, jobs in self._jobs.items()}

    def _within_budget(self, job: TransferredJob) -> TransferredJob:
        size = _answer_bytes(job)
        if self._held_bytes + size <= self._budget:
            self._held_bytes += size
            return job
        dropped = Failed(
            FailureReason.ANSWER_DROPPED,
            "the job completed, but its answer is no longer kept",
            Step.ANSWER_READ,
            self._me,
        )
        return msgspec.structs.replace(job, outcome=to_wire(dropped))

    def _unknown(self, process: tuple[str, str]) -> Outcome:
        held = len(self._jobs.get(process, {}))
        if self._totals.get(process) == held:
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
