"""Set-up of the logs: JSON, one line per event."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

from briarford_daemon.json_lines import JsonLineFormatter
from briarford_daemon.log_lines import (
    ERROR_LINES,
    LineRateLimiter,
    PipeHandler,
)

if TYPE_CHECKING:
    from briarford.dispatch.messages import Decision

__all__ = ["log_decision", "set_up_bounded_logs", "set_up_logs"]

LOGGER = logging.getLogger("briarford")
DECISIONS = logging.getLogger("briarford.decision")


def set_up_logs(level: str, process: str) -> None:
    """Write all logs as JSON lines to standard error.

    :param level: debug, info, warning or error.
    :param process: name of the process, in every line.
    """
    _set_up(logging.StreamHandler(sys.stderr), level, process)


def set_up_bounded_logs(level: str, process: str) -> None:
    """Write logs as JSON lines to standard output without ever blocking.

    The number of lines of each kind of event is limited, and lines that the
    reader has not consumed are kept in a bounded buffer.

    :param level: debug, info, warning or error.
    :param process: name of the process, in every line.
    """
    handler = PipeHandler(sys.stdout.fileno())
    handler.addFilter(LineRateLimiter())
    _set_up(handler, level, process)


def _set_up(handler: logging.Handler, level: str, process: str) -> None:
    handler.setFormatter(JsonLineFormatter(process))
    root = logging.getLogger()
    root.handlers[:] = [handler, ERROR_LINES]
    root.setLevel(level.upper())


def log_decision(decision: Decision) -> None:
    """Log a routing or placement decision."""
    if not DECISIONS.isEnabledFor(logging.INFO):
        return
    DECISIONS.info(
        decision.action, extra={"reason": decision.reason, **decision.fields}
    )
