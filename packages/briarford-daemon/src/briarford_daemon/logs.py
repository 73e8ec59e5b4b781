"""Logs as JSON, one line per event."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from briarford.dispatch.messages import Decision

__all__ = ["log_decision", "set_up_logs"]

LOGGER = logging.getLogger("briarford")
DECISIONS = logging.getLogger("briarford.decision")


def set_up_logs(level: str, process: str, stream: TextIO = sys.stderr) -> None:
    """Write all logs as JSON lines.

    :param level: debug, info, warning or error.
    :param process: name of the process, in every line.
    :param stream: where they go.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        JsonFormatter(
            "{created}{levelname}{name}{message}",
            style="{",
            rename_fields={"created": "time", "levelname": "level"},
            static_fields={"process": process},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def log_decision(decision: Decision) -> None:
    """Log a routing or placement decision."""
    if not DECISIONS.isEnabledFor(logging.INFO):
        return
    DECISIONS.info(
        decision.action, extra={"reason": decision.reason, **decision.fields}
    )
