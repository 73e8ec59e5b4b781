"""Jobs whose home is this entry.

Both the entry's HTTP interface and requests that other entries forward submit,
read and cancel jobs through :class:`LocalJobs`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from briarford.dispatch.entry import EntryCore, EntryEffect, EntryMessage
from briarford.dispatch.messages import CancelJob, JobEnded
from briarford.homes.messages import TransferredJob, to_wire
from briarford.jobs import JobSpec
from briarford.outcomes import Completed, Outcome
from briarford_daemon.clock import Clock
from briarford_daemon.driver import CoreDriver
from briarford_daemon.metrics import Metrics

__all__ = ["LocalJobs"]


class LocalJobs:
    """Submits jobs to the entry's core and wakes callers at their outcome.

    :param core: the entry's core.
    :param driver: the driver of the core.
    :param clock: the process's clock.
    :param metrics: counts outcomes by kind and reason.
    """

    def __init__(
        self,
        core: EntryCore,
        driver: CoreDriver[EntryMessage, EntryEffect],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._core = core
        self._driver = driver
        self._clock = clock
        self._metrics = metrics
        self._waiters: dict[str, list[asyncio.Future[Outcome]]] = {}
        self._idle = asyncio.Event()

    def has_job(self, job_id: str) -> bool:
        """Whether the entry holds a record of the job, running or ended."""
        return self._core.jobs.get(job_id) is not None

    async def submit(
        self, spec: JobSpec, remember_until: float, wait_until: float
    ) -> Outcome | None:
        """Start a job, or join it if it was submitted before.

        :param remember_until: Unix seconds before which the id may be
            submitted again, so that the job's record must be kept.
        :param wait_until: Unix seconds at which the wait for the outcome
            ends.
        :return: None if the job still runs at ``wait_until``.
        """
        now = self._clock.now()
        outcome = self._core.submit(spec, now, remember_until)
        self._driver.wake()
        if outcome is None:
            return await self._wait_for_outcome(spec.job_id, wait_until)
        self._count_outcome(outcome)
        return outcome

    async def read(self, job_id: str, wait_until: float) -> Outcome | None:
        """Wait for the outcome of a job of which there is a record.

        :param wait_until: Unix seconds at which the wait ends.
        :return: None if the job still runs at ``wait_until``.
        """
        job = self._core.jobs.get(job_id)
        if job is None or job.outcome is not None:
            return job.outcome if job is not None else None
        return await self._wait_for_outcome(job_id, wait_until)

    def cancel(self, job_id: str) -> None:
        """Cancel a job; no effect if it is not running here."""
        self._driver.post(CancelJob(job_id))

    def on_job_ended(self, message: JobEnded) -> None:
        """Count the outcome of a job and wake the callers that wait for it."""
        self._count_outcome(message.outcome)
        if self._core.idle:
            self._idle.set()
        for fut in self._waiters.pop(message.job_id, ()):
            if not fut.done():
                fut.set_result(message.outcome)

    async def wait_idle(self) -> None:
        """Wait until no job runs.

        The core must refuse submits by then, or the wait may not end.
        """
        self._idle.clear()
        if not self._core.idle:
            await self._idle.wait()

    def list_ended(self) -> Iterator[TransferredJob]:
        """Yield all ended jobs, to be transferred to the successor."""
        for job in self._core.jobs.ended():
            if job.outcome is not None:
                yield TransferredJob(
                    job.job_id,
                    job.digest,
                    to_wire(job.outcome),
                    job.forget_at,
                )

    async def _wait_for_outcome(
        self, job_id: str, until: float
    ) -> Outcome | None:
        wait_s = until - self._clock.now()
        if wait_s <= 0:
            return None
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[Outcome] = loop.create_future()
        self._waiters.setdefault(job_id, []).append(fut)
        try:
            async with asyncio.timeout(wait_s):
                return await fut
        except TimeoutError:
            return None

    def _count_outcome(self, outcome: Outcome) -> None:
        kind = type(outcome).__name__.lower()
        if not isinstance(outcome, Completed):
            kind = f"{kind}:{outcome.reason}"
        self._metrics.jobs[kind] += 1
