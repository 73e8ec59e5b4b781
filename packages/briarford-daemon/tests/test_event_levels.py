"""Which decisions of the cores are logged as warnings."""

from __future__ import annotations

import logging

import pytest

from briarford_daemon.fleet.events import WARNINGS, log_event


@pytest.mark.parametrize(
    ("action", "level"),
    [
        ("accepted", logging.INFO),
        ("run-ended", logging.INFO),
        *((action, logging.WARNING) for action in sorted(WARNINGS)),
    ],
)
def test_rare_events_are_warnings(caplog, action, level):
    """Guards against a record of an incident that lacks them."""
    caplog.set_level(logging.INFO)
    log_event(action, {"agent": "a1"})
    assert [(r.levelno, r.message) for r in caplog.records] == [
        (level, action)
    ]
