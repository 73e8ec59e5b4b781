"""Decides when an agent sends the status of its worker to an entry.

In a large fleet with many short runs, a message to every entry for every
start and end would cost runs times entries. Instead, an entry gets the status
together with the end of its own run. Other entries get it periodically, as
often as the agent's budget of messages allows, and at once when free capacity
becomes scarce.
"""

from __future__ import annotations

from msgspec.structs import replace

from briarford.runs.messages import WorkerStatus
from briarford.runs.state import Session

__all__ = ["next_status", "status_period_s"]

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
