"""Logs the decisions of the cores.

Each job and each run has lines of its own, hundreds a second. The rare events
that show which runs are believed to have ended, and why, are warnings, so that
they are found in a log that has been cut short or filtered.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import Any

__all__ = ["WARNINGS", "log_event"]

EVENTS = logging.getLogger("briarford.decision")

WARNINGS = frozenset(
    {
        "agent-lost",
        "agent-misses-orders",
        "agent-restarted",
        "agent-silent",
        "demand-expired",
        "entry-restarted",
        "paused",
        "session-expired",
        "stops-repeated",
        "unknown-run",
        "worker-claimed",
        "worker-loss",
        "worker-refused",
        "worker-resets",
        "worker-silent",
        "worker-suspended",
    }
)


def log_event(action: str, fields: Mapping[str, Any]) -> None:
    """Log a decision, as a warning if it is one of the rare ones.

    :param action: name of the event.
    :param fields: its structured fields.
    """
    level = logging.WARNING if action in WARNINGS else logging.INFO
    EVENTS.log(level, action, extra=fields)
