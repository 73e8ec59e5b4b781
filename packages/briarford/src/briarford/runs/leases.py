"""How long the lease of a worker's runs is.

Answers this load: a worker crashes while its runs belong to callers who need
answers within a second or two. Its agent knows that the runs have ended only
once their lease has, as the worker may be cut off and go on; nothing can start
elsewhere before. A short lease ends that wait early, but an agent that is
paused, or short of processor time, lets it lapse under sound runs.
"""

from __future__ import annotations

__all__ = ["LEASE_S", "LeaseLength"]

LEASE_S = 1.0  # longest lease that workers grant
# A lease outlasts one renewal that is lost and a further one that is late.
CALLS_PER_LEASE = 2
# Covers the time in which a call reaches the worker.
LEASE_RESERVE_S = 0.1
# The longest gap counts for one to two of these periods; disturbances of a VM
# last as long.
GAP_PERIOD_S = 3.0


class LeaseLength:
    """Learns the length of leases from the gaps between calls to the worker.

    Calls that the worker does not answer count as well: a gap shows that this
    process was paused, not that the worker is silent. Until the first period
    is over, leases have their full length.
    """

    __slots__ = ("_called_at", "_gap_s", "_period_end", "_previous_gap_s")

    def __init__(self) -> None:
        self._called_at = 0.0
        self._period_end = 0.0
        self._gap_s = 0.0
        self._previous_gap_s = LEASE_S

    def called(self, now: float) -> None:
        """Record that a call that may renew the lease is being made.

        :param now: Unix time in seconds.
        """
        if self._called_at:
            self._gap_s = max(self._gap_s, now - self._called_at)
        self._called_at = now
        if not self._period_end:
            self._period_end = now + GAP_PERIOD_S
        elif now >= self._period_end:
            self._previous_gap_s = self._gap_s
            self._gap_s = 0.0
            self._period_end = now + GAP_PERIOD_S

    def paused(self) -> None:
        """Ignore the gap until the next call, as there is nothing to call."""
        self._called_at = 0.0

    @property
    def seconds(self) -> float:
        """How long a lease lasts that is renewed now."""
        gap_s = max(self._gap_s, self._previous_gap_s)
        return min(LEASE_S, CALLS_PER_LEASE * gap_s + LEASE_RESERVE_S)
