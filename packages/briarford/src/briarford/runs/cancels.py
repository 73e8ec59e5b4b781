"""Passes cancels of jobs from one entry to the others, at an agent.

A client's cancel may reach an entry that does not have the job, and entries
do not know each other. Each agent is attached to by several, so it passes the
cancel on to those, and the confirmation of the one that has the job back.
"""

from __future__ import annotations

from collections import OrderedDict

__all__ = ["KEEP_CANCEL_S", "MAX_JOB_ID_LENGTH", "CancelRelay"]

# An entry that was paused or cut off gets the cancel when it attaches again.
# It has the job until then, and clients wait for tens of seconds.
KEEP_CANCEL_S = 60.0
MAX_KEPT = 1000  # each entry that attaches gets all of them
MAX_JOB_ID_LENGTH = 200


class _Cancel:
    """A cancel that was passed on.

    ``expires_at`` is the Unix time in seconds until which it is kept.
    """

    __slots__ = ("askers", "expires_at")

    def __init__(self, expires_at: float) -> None:
        self.askers: set[str] = set()
        self.expires_at = expires_at


class CancelRelay:
    """The cancels that were passed on lately, the oldest first."""

    __slots__ = ("_cancels",)

    def __init__(self) -> None:
        self._cancels: OrderedDict[str, _Cancel] = OrderedDict()

    def requested(self, job: str, entry: str, now: float) -> bool:
        """Record that an entry asks the others to cancel a job.

        :return: whether the cancel is to be passed on.
        """
        if len(job) > MAX_JOB_ID_LENGTH:
            return False
        cancel = self._cancels.pop(job, None) or _Cancel(0.0)
        cancel.askers.add(entry)
        cancel.expires_at = now + KEEP_CANCEL_S
        self._cancels[job] = cancel
        if len(self._cancels) > MAX_KEPT:
            self._cancels.popitem(last=False)
        return True

    def confirmed(self, job: str) -> set[str]:
        """Return the entries that asked for a cancel that was confirmed."""
        cancel = self._cancels.pop(job, None)
        return set() if cancel is None else cancel.askers

    def pending_for(self, entry: str, now: float) -> list[str]:
        """Return the jobs to cancel of which an entry may not know.

        :param entry: it has just attached.
        """
        while self._cancels:
            cancel = next(iter(self._cancels.values()))
            if cancel.expires_at > now:
                break
            self._cancels.popitem(last=False)
        return [j for j, c in self._cancels.items() if entry not in c.askers]
