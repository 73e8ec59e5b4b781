"""The order in which an agent serves the entries whose tasks wait.

Under overload the entries' most urgent tasks all have little slack. Entries
see different parts of the queue, so only what means the same at each of them
is compared: whether a task can still be in time, whether its job has used
capacity already, and its slack.
"""

from __future__ import annotations

from collections.abc import Iterable

from briarford.runs.state import Session

__all__ = ["LATE_FROM_S", "by_rank"]

# Entries report tasks that are late with a slack above this.
LATE_FROM_S = 100.0


def by_rank(sessions: Iterable[Session]) -> list[Session]:
    """Return the sessions with a demand, the first one to serve first.

    :param sessions: sessions of connected entries.
    """
    waiting = [s for s in sessions if s.demand is not None]
    return sorted(waiting, key=_rank)


def _rank(session: Session) -> tuple[bool, float]:
    demand = session.demand
    begun = (
        demand is not None and demand.begun and demand.slack_s < LATE_FROM_S
    )
    return not begun, session.start_by
