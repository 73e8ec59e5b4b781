"""Decides when an entry is told what a worker has free.

Answers a high rate of short runs in a large fleet: with a message to each
entry for each start and end, their number grows with the product of runs and
entries. An entry that asked for a run learns what is free with its end;
others are told as often as the agent can afford, and at once when room
becomes scarce.
"""

from __future__ import annotations

from msgspec.structs import replace

from briarford.runs.messages import WorkerStatus
from briarford.runs.state import Session

__all__ = ["next_status", "status_period_s"]

# A message takes about 0.1 ms of processor time: 1% of a processor.
STATUS_MESSAGES_PER_S = 100
# Longer than a short run takes, a status is of little use.
MAX_STATUS_PERIOD_S = 0.1
SCARCE_SHARE = 0.5  # of the room that was told last
SLOWNESS_CHANGE = 0.1  # workers differ by a factor of two


def status_period_s(sessions: int) -> float:
    """Return how often to tell each of so many entries what is free."""
    return min(MAX_STATUS_PERIOD_S, sessions / STATUS_MESSAGES_PER_S)


def next_status(
    session: Session, status: WorkerStatus, period_s: float, now: float
) -> WorkerStatus | float | None:
    """Return the status to send now, or when to send one, or None.

    :param status: of the worker, as for all sessions.
    :param period_s: seconds between messages without urgency.
    """
    previous = session.last_status
    same = (
        status == previous
        and session.last_dispatch == session.last_status_dispatch
    )
    if same:
        return None
    due = session.last_status_at + period_s
    urgent = (
        previous is None
        or session.ended_since_status
        or _is_urgent(previous, status)
    )
    if now < due and not urgent:
        return due
    session.last_status = status
    session.last_status_at = now
    session.last_status_dispatch = session.last_dispatch
    session.ended_since_status = False
    return replace(status, last_dispatch=session.last_dispatch)


def _is_urgent(previous: WorkerStatus, status: WorkerStatus) -> bool:
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
        or not previous.free_cpu  # room is for whoever comes first again
    )


def _has_become_scarce(previous: int, free: int) -> bool:
    return free < previous and free <= SCARCE_SHARE * previous
