"""Whether a worker answers its agent, and how long its runs have a lease.

Answers these loads: workers that crash, flap or are cut off while they run
tasks, and workers that leave a part of the calls unanswered. The runs of a
worker that does not answer have ended only once their lease has, so the lease
is not renewed from the first sign of that. Such a sign costs little if it is
wrong, as the next answer renews the lease.
"""

from __future__ import annotations

from briarford.runs.leases import LeaseLength
from briarford.runs.worker_clock import CLOCK_DRIFT_FACTOR

__all__ = ["LISTING_WAIT_S", "WorkerContact"]

# Covers the rounding of lease ends, and the time in which a worker ends a run.
LEASE_MARGIN_S = 0.05
# A worker answers ten requests for its run listing per second. After three
# missed answers it gets no new runs; after five its lease is not renewed.
UNRESPONSIVE_AFTER_S = 0.3
STOP_RENEWAL_AFTER_S = 0.5
# The worker sends a requested run listing when a run ends, or after this time.
LISTING_WAIT_S = 0.2
# If a listing takes longer, or comes longer after the one before, the agent or
# the worker was paused, and the progress does not show the pace.
STEADY_LISTING_S = LISTING_WAIT_S + 0.08
# The runs that end while an answer is lost are known with the next listing. A
# worker that loses answers is asked more often for a while, as disturbances
# last seconds.
SHORT_LISTING_WAIT_S = 0.04
SHORT_WAITS_FOR_S = 3.0


class WorkerContact:
    """What an agent knows of the answers of its worker and of their lease.

    :attr:`answered_at` is when the worker last answered, and :attr:`refuses`
    whether it has refused connections since.
    """

    __slots__ = (
        "_lease_end",
        "_lease_length",
        "_listed_at",
        "_reset_at",
        "_short_waits_until",
        "answered_at",
        "refuses",
    )

    def __init__(self) -> None:
        self.answered_at = 0.0
        self.refuses = False
        self._listed_at = 0.0
        self._reset_at = 0.0
        self._short_waits_until = 0.0
        self._lease_end = 0.0
        self._lease_length = LeaseLength()

    def joined(self, now: float) -> None:
        """Start over with another worker or another incarnation of it."""
        self.listed(now)
        self._lease_length.paused()

    def listed(self, now: float, requested_at: float = 0.0) -> bool:
        """Record that the worker has sent its run listing.

        :param requested_at: when the listing was requested.
        :return: whether it came soon after its request and the one before.
        """
        is_steady = (
            now - requested_at <= STEADY_LISTING_S
            and now - self._listed_at <= STEADY_LISTING_S
        )
        self._listed_at = now
        self.answered_at = now
        self.refuses = False
        self._reset_at = 0.0
        return is_steady

    def answered(self, now: float) -> None:
        """Record the answer to another call."""
        self.answered_at = max(self.answered_at, now)

    def refused(self, now: float) -> None:
        """Record that the worker has refused a connection."""
        self.refuses = True
        self._stop_renewal(now)

    def reset(self, requested_at: float, now: float) -> None:
        """Record that a connection has ended before the answer to a call.

        All connections of a process may be reset at once while new ones work.
        A call that was made after that and is lost in the same way shows that
        the worker does not serve.

        :param requested_at: when the call was made.
        """
        if not self._reset_at:
            self._reset_at = now
        elif requested_at >= self._reset_at:
            self._stop_renewal(now)

    @property
    def may_have_restarted(self) -> bool:
        """Whether a connection has ended since the last run listing."""
        return self.refuses or bool(self._reset_at)

    def listing_lost(self, now: float) -> None:
        """Record that a request for a run listing got no answer in time."""
        self._short_waits_until = now + SHORT_WAITS_FOR_S

    def listing_wait_s(self, now: float) -> float:
        """Return for how long the worker may wait for a run to end."""
        if now < self._short_waits_until:
            return SHORT_LISTING_WAIT_S
        return LISTING_WAIT_S

    def is_responsive(self, now: float) -> bool:
        """Whether the worker answers well enough to get new runs."""
        return now - self.answered_at < UNRESPONSIVE_AFTER_S

    def may_extend_lease(self, now: float) -> bool:
        """Whether the next call to the worker may renew its lease."""
        return now - self.answered_at < STOP_RENEWAL_AFTER_S

    def lease_until(self, repeats_at: float, now: float) -> float:
        """Return by when the lease of the call made now has certainly ended.

        By the clock of the agent, however slow that of the worker is.

        :param repeats_at: the lease ends before this time.
        :return: Unix time in seconds; 0 if the call grants none.
        """
        self._lease_length.called(now)
        if not self.may_extend_lease(now):
            return 0.0
        longest_s = self._lease_length.seconds * CLOCK_DRIFT_FACTOR
        until = min(now + longest_s, repeats_at - LEASE_MARGIN_S)
        return until if until > now else 0.0

    def lease_extended(self, until: float) -> None:
        """Record that a call that extends the lease is being sent.

        From this time on the worker may hold the lease, with or without an
        answer.

        :param until: by when that lease has ended, in Unix seconds.
        """
        self._lease_end = max(self._lease_end, until + LEASE_MARGIN_S)

    @property
    def lease_end(self) -> float:
        """When all that was ordered has ended, unless the lease is extended.

        In Unix seconds.
        """
        return self._lease_end

    def lease_has_ended(self, now: float) -> bool:
        """Whether the worker is silent and all that it ran has ended."""
        return not self.may_extend_lease(now) and now > self._lease_end

    def _stop_renewal(self, now: float) -> None:
        self.answered_at = min(self.answered_at, now - STOP_RENEWAL_AFTER_S)
