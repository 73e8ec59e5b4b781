"""Decides when an agent sends the status of its worker to an entry.

In a large fleet with many short runs, a message to every entry for every
start and end would cost runs times entries. Instead, an entry gets the status
together with the end of its own run. Other entries get it periodically, as
often as the agent's budget of messages allows, and at once when free capacity
becomes scarce.

A large worker changes its status every few milliseconds while jobs of many
short tasks run on it, and most messages that an agent receives change nothing
in it. A turn that finds the status unchanged ends before it looks at any
session.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec.structs import replace

from briarford.runs.messages import WorkerStatus
from briarford.runs.state import Session

__all__ = ["StatusSchedule", "next_status", "status_period_s"]

# With five entries, as in a large fleet, a status goes out every 0.1 s, and
# every second one together with a heartbeat.
STATUS_MESSAGES_PER_S = 50
# A status that is older than a short run takes is of little use.
MAX_STATUS_PERIOD_S = 0.1
# A status is sent at once if free capacity has fallen to this share of what
# the last status showed.
SCARCE_SHARE = 0.5
# Relative change that is reported at once; workers differ by a factor of two.
SLOWNESS_CHANGE = 0.1


class StatusSchedule:
    """Chooses the sessions that get the status of the worker in a turn.

    :attr:`due` is when a session that waits for a status gets it; None if no
    session waits.
    """

    __slots__ = (
        "_next_at",
        "_sessions_changed",
        "_status",
        "due",
    )

    def __init__(self) -> None:
        self.due: float | None = None
        self._next_at = 0.0
        self._status: WorkerStatus | None = None
        self._sessions_changed = True

    def session_changed(self) -> None:
        """Record an attachment, an order or an ended run."""
        self._sessions_changed = True

    def select(
        self,
        status: WorkerStatus,
        sessions: Sequence[Session],
        next_heartbeat: float,
        now: float,
    ) -> list[tuple[Session, WorkerStatus]]:
        """Return the statuses to send now, with their sessions.

        All entries get what is not urgent at the same times, which are those
        of the heartbeats if the period allows, so that one message carries
        both.

        :param status: the status of the worker.
        :param sessions: the sessions with a connection.
        :param next_heartbeat: Unix time in seconds of the next heartbeat.
        :param now: Unix time in seconds.
        """
        is_time = now >= self._next_at or now >= next_heartbeat
        period_s = status_period_s(len(sessions))
        if is_time:
            self._next_at = now + period_s
        changed = self._sessions_changed or status != self._status
        if not changed and not (is_time and self.due is not None):
            return []
        self._status = status
        self._sessions_changed = False
        self.due = None
        chosen = []
        for session in sessions:
            update = next_status(session, status, is_time, period_s, now)
            if update is not None:
                chosen.append((session, update))
            elif session.needs_status:
                self.due = self._next_at
        return chosen


def status_period_s(sessions: int) -> float:
    """Return the seconds between two status messages to the same entry.

    :param sessions: number of entries that get messages.
    """
    return min(MAX_STATUS_PERIOD_S, sessions / STATUS_MESSAGES_PER_S)


def next_status(
    session: Session,
    status: WorkerStatus,
    is_time: bool,
    period_s: float,
    now: float,
) -> WorkerStatus | None:
    """Return the status to send to an entry now, if any.

    ``needs_status`` of the session is set if the entry does not have the
    current status and has to wait for it.

    :param session: the session of the entry; it is updated if a status is
        returned.
    :param status: the status of the worker, the same for all sessions.
    :param is_time: whether messages that are not urgent are sent now, to
        entries that have got none for a period.
    :param period_s: seconds between two messages that are not urgent.
    :param now: Unix time in seconds.
    """
    previous = session.last_status
    session.needs_status = False
    if (
        status == previous
        and session.last_dispatch == session.last_status_dispatch
    ):
        return None
    urgent = (
        previous is None
        or session.ended_since_status
        or _is_urgent(previous, status)
    )
    is_due = is_time and now >= session.last_status_at + period_s
    if not is_due and not urgent:
        session.needs_status = True
        return None
    session.last_status = status
    session.last_status_at = now
    session.last_status_dispatch = session.last_dispatch
    session.ended_since_status = False
    return replace(status, last_dispatch=session.last_dispatch)


def _is_urgent(previous: WorkerStatus, status: WorkerStatus) -> bool:
    """Whether a new status is sent at once instead of at the next period."""
    same_worker = (
        previous.worker == status.worker and previous.cpu == status.cpu
    )
    if not same_worker or previous.accepting != status.accepting:
        return True
    if (
        abs(status.slowness - previous.slowness)
        > SLOWNESS_CHANGE * previous.slowness
    ):
        return True
    return (
        _has_become_scarce(previous.free_cpu, status.free_cpu)
        or _has_become_scarce(previous.free_gpu, status.free_gpu)
        or _has_become_scarce(previous.free_memory_mb, status.free_memory_mb)
        or not previous.free_cpu  # capacity may be used without an offer again
    )


def _has_become_scarce(previous: int, free: int) -> bool:
    return free < previous and free <= SCARCE_SHARE * previous
