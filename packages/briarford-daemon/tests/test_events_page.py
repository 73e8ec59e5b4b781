"""Compares the table of events for operators with the code.

Guards against an event that the code logs but the page does not explain, and
against a row of the page for an event that the code no longer logs. The
events are found by the names of the functions that log them.
"""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from briarford_daemon.fleet.events import WARNINGS

ROOT = Path(__file__).parents[3]
PAGE = ROOT / "docs" / "operations" / "fleet.md"
SOURCES = [
    ROOT / "packages/briarford/src/briarford/evacuations.py",
    *(ROOT / "packages/briarford/src/briarford/runs").glob("*.py"),
    *(ROOT / "packages/briarford/src/briarford/requests").glob("*.py"),
    *(ROOT / "packages/briarford-daemon/src/briarford_daemon/fleet").glob(
        "*.py"
    ),
    *(ROOT / "platform/src/briarford_platform").glob("*.py"),
    *(
        ROOT / "packages/briarford-daemon/src/briarford_daemon" / name
        for name in (
            "driver.py",
            "frames.py",
            "http_connection.py",
            "intake.py",
            "submissions.py",
        )
    ),
]
LOGGED = re.compile(
    r"(?:_log|_log_claim|LOGGER\.\w+|EVENTS\.\w+|_stop_session_runs)\("
    r"\s*(?:session, )?[\"']([a-z][a-z-]+)[\"']"
)


def logged() -> set[str]:
    text = "\n".join(p.read_text() for p in SOURCES)
    return set(LOGGED.findall(text))


def documented() -> set[str]:
    table = PAGE.read_text().partition("## Events")[2].partition("\n## ")[0]
    names = set()
    for row in table.splitlines():
        if row.startswith("| `"):
            names |= set(re.findall(r"`([a-z-]+)`", row.split("|")[1]))
    return names


@pytest.mark.parametrize("name", sorted(logged() | documented()))
def test_event_is_logged_and_documented(name):
    assert name in logged()
    assert name in documented()


def test_warnings_are_logged():
    """Guards against the name of a warning that no core logs."""
    assert logged() >= WARNINGS
