"""Budget of what the open jobs of an entry hold in memory."""

from __future__ import annotations

from collections.abc import Iterable

from briarford.requests.job import Job, JobRequest

__all__ = ["JobMemory", "job_bytes"]

# With the request that waits for it, and its place in all queues.
JOB_BYTES = 8 * 1024
STEP_BYTES = 320
TASK_BYTES = 640


def job_bytes(request: JobRequest) -> int:
    """Return what an open job costs, in bytes and rather too much."""
    # A character takes up to four bytes.
    texts = 4 * (len(request.payload) + len(request.job))
    tasks = sum(step.count for step in request.steps)
    names = tasks * len(request.job)
    return (
        JOB_BYTES
        + STEP_BYTES * len(request.steps)
        + TASK_BYTES * tasks
        + texts
        + names
    )


class JobMemory:
    """Counts what the open jobs hold.

    :param limit: bytes that they may hold together; 0 for any number.
    """

    __slots__ = ("_limit", "held")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.held = 0

    def has_room(self, request: JobRequest) -> bool:
        """Whether a job fits beside those that are open."""
        size = job_bytes(request)
        return not self._limit or self.held + size <= self._limit

    def add(self, job: Job) -> None:
        """Count a job that was admitted."""
        self.held += job_bytes(job.request)

    def remove(self, job: Job) -> None:
        """Count a job no longer, as it has ended."""
        self.held -= job_bytes(job.request)


def oldest_unstarted(jobs: Iterable[Job]) -> Job | None:
    """Return the job that waits longest and has had no run.

    :param jobs: in the order in which they were admitted.
    """
    return next((job for job in jobs if not job.started), None)


def largest_unstarted(jobs: Iterable[Job]) -> Job | None:
    """Return the job that holds most and has had no run.

    :param jobs: in the order in which they were admitted; of equal ones the
        first is returned.
    """
    waiting = (job for job in jobs if not job.started)
    return max(waiting, key=lambda j: job_bytes(j.request), default=None)
