"""Ends connections at their deadlines, and reports what was limited.

One per process: its budget is shared by all listeners.
"""

from __future__ import annotations

import asyncio
import logging
import resource
from collections import Counter

import msgspec.structs

from briarford.intake import (
    ConnectionQuota,
    IntakeBudget,
    IntakeLimits,
    Machine,
    Phase,
)

__all__ = ["Intake"]

LOGGER = logging.getLogger("briarford.intake")

SWEEP_PERIOD_S = 1.0
# Of the unreadable requests within a sweep period, so many are logged.
MAX_DETAILS = 5


class Intake:
    """The connections of all listeners of a process.

    :param limits: on connections and jobs.
    :param machine: what the machine has; the process may have been given
        fewer descriptors.
    """

    def __init__(self, limits: IntakeLimits, machine: Machine) -> None:
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft != resource.RLIM_INFINITY:
            machine = msgspec.structs.replace(
                machine, max_open_files=min(soft, machine.max_open_files)
            )
        self.limits = limits
        self.machine = machine
        self.budget = IntakeBudget(machine.connection_bytes(limits))
        self._quotas: list[ConnectionQuota] = []
        self._reported: Counter[str] = Counter()
        self._details_left = MAX_DETAILS
        self._sweeper: asyncio.Task[None] | None = None
        self._timeouts = (
            (Phase.LINGERING, limits.linger_s, "linger"),
            (Phase.UNREAD, limits.answer_timeout_s, "unread"),
            (Phase.UNFINISHED, limits.request_timeout_s, "unfinished"),
            (Phase.IDLE, limits.idle_timeout_s, "idle"),
        )

    def add_listener(self, connections: int) -> ConnectionQuota:
        """Return the quota of a listener, and begin to watch deadlines.

        :param connections: largest number of connections to it.
        """
        quota = self.budget.add_listener(connections)
        self._quotas.append(quota)
        if self._sweeper is None:
            self._sweeper = asyncio.create_task(self._sweep())
        return quota

    def remove_listener(self, quota: ConnectionQuota) -> None:
        """Watch the deadlines of a listener no longer."""
        self._quotas.remove(quota)
        if not self._quotas and self._sweeper is not None:
            self._sweeper.cancel()
            self._sweeper = None

    def count(self, reason: str, detail: str = "") -> None:
        """Count a connection that was limited.

        :param reason: which limit it has met.
        :param detail: what was seen, if it explains more than the reason;
            a few details a second are logged.
        """
        self.budget.counts[reason] += 1
        if detail and self._details_left:
            self._details_left -= 1
            LOGGER.info("request-unreadable", extra={"error": detail})

    def state(self) -> dict[str, float]:
        """Return the gauges of the metrics, by kind."""
        return {
            "intake_connections": self.budget.connections,
            "intake_bytes": self.budget.held,
            "intake_peak_bytes": self.budget.peak_held,
        }

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            try:
                self.sweep(asyncio.get_running_loop().time())
            except Exception:
                # Without sweeps no connection would end at its deadline.
                LOGGER.exception("sweep-failed")

    def sweep(self, now: float) -> None:
        """End the connections that are past a deadline, and report.

        :param now: seconds on the clock of the event loop.
        """
        for quota in self._quotas:
            for phase, timeout_s, reason in self._timeouts:
                for account in quota.expired(phase, now - timeout_s):
                    self.budget.counts[reason] += 1
                    self.budget.end(account)
        self._report()

    def _report(self) -> None:
        """Write one line on all that was limited since the last one."""
        self._details_left = MAX_DETAILS
        counts = self.budget.counts
        if counts == self._reported:
            return
        since = {k: n - self._reported[k] for k, n in counts.items()}
        self._reported = Counter(counts)
        LOGGER.info(
            "intake-limited",
            extra={
                "reasons": {k: n for k, n in since.items() if n},
                "connections": self.budget.connections,
                "held_bytes": self.budget.held,
            },
        )
