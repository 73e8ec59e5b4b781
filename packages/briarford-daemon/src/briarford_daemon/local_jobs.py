"""The jobs whose home is this entry, for its HTTP and for other entries."""

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
    """Submits to the entry's core and lets callers wait for outcomes.

    :param core: the entry's core.
    :param driver: runs it.
    :param clock: the process's clock.
    :param metrics: counts outcomes.
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

    def knows(self, job_id: str) -> bool:
        """Whether the job is remembered here."""
        return self._core.jobs.get(job_id) is not None

    async def submit(
        self, spec: JobSpec, remember_until: float, wait_until: float
    ) -> Outcome | None:
        """Run a job or join it; None if it runs still at ``wait_until``."""
        now = self._clock.now()
        outcome = self._core.submit(spec, now, remember_until)
        self._driver.wake()
        if outcome is None:
            return await self._wait(spec.job_id, wait_until)
        self._count(outcome)
        return outcome

    async def read(self, job_id: str, wait_until: float) -> Outcome | None:
        """Wait for the outcome of a known job; None if it runs still."""
        job = self._core.jobs.get(job_id)
        if job is None or job.outcome is not None:
            return job.outcome if job is not None else None
        return await self._wait(job_id, wait_until)

    def cancel(self, job_id: str) -> None:
        """Cancel a job if it runs here."""
        self._driver.post(CancelJob(job_id))

    def ended(self, message: JobEnded) -> None:
        """Tell those who wait for a job that it has ended."""
        self._count(message.outcome)
        if self._core.idle:
            self._idle.set()
        for fut in self._waiters.pop(message.job_id, ()):
            if not fut.done():
                fut.set_result(message.outcome)

    async def wait_idle(self) -> None:
        """Wait until no job runs; nothing may be submitted meanwhile."""
        self._idle.clear()
        if not self._core.idle:
            await self._idle.wait()

    def handed(self) -> Iterator[TransferredJob]:
        """Return all ended jobs, for the heir of this entry."""
        for job in self._core.jobs.ended():
            if job.outcome is not None:
                yield TransferredJob(
                    job.job_id,
                    job.digest,
                    to_wire(job.outcome),
                    job.forget_at,
                )

    async def _wait(self, job_id: str, until: float) -> Outcome | None:
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

    def _count(self, outcome: Outcome) -> None:
        kind = type(outcome).__name__.lower()
        if not isinstance(outcome, Completed):
            kind = f"{kind}:{outcome.reason}"
        self._metrics.jobs[kind] += 1
