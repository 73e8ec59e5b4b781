"""How long leases are, and what a short one brings when workers crash."""

from __future__ import annotations

import statistics

import pytest

from briarford.runs.leases import GAP_PERIOD_S, LEASE_S, LeaseLength
from fleet.load import KINDS, STRETCH, TARGET_S, play

NOW = 1000.0


@pytest.mark.parametrize(
    ("gaps", "low", "high"),
    [
        ([], LEASE_S, LEASE_S),
        ([0.1] * 5, LEASE_S, LEASE_S),  # the first period is not over
        ([0.2] * 40, 0.45, 0.6),
        ([0.05] * 200, 0.15, 0.3),
        ([0.2] * 40 + [0.7], LEASE_S, LEASE_S),
        ([0.2] * 40 + [0.7] + [0.2] * 10, LEASE_S, LEASE_S),
        ([0.2] * 40 + [0.7] + [0.2] * 40, 0.45, 0.6),
    ],
    ids=[
        "no call",
        "a new process",
        "regular",
        "frequent",
        "paused",
        "just after a pause",
        "long after a pause",
    ],
)
def test_a_lease_outlasts_the_gaps_between_calls(gaps, low, high):
    length, at = LeaseLength(), NOW
    length.called(at)
    for gap_s in gaps:
        at += gap_s
        length.called(at)
    assert low <= length.seconds <= high


def test_time_without_a_worker_is_no_gap():
    length = LeaseLength()
    for n in range(40):
        length.called(NOW + 0.2 * n)
    length.paused()
    length.called(NOW + 2 * GAP_PERIOD_S + 5.0)
    assert length.seconds < LEASE_S


def test_tasks_of_a_crashed_worker_start_elsewhere_in_time():
    """Guards against callers who wait for the end of a long lease.

    Four of eleven workers crash one after the other, at a load at which the
    others have room. A task of the kind with
    the most work can then be in time if no more than half of its slack passes
    before it starts again.
    """
    most_work_s = max(kind.work_s for kind in KINDS.values())
    slack_s = (STRETCH - 1) * most_work_s + TARGET_S
    lost = [(2.6 + 0.4 * n, n) for n in range(4)]
    waits = []
    for seed in range(1, 5):
        _, world = play(
            0.6, 5.0, seed, fleet="measured", lost=lost, refused=True
        )
        assert not world.overlaps()
        runs = sorted(world.history(), key=lambda run: run.start)
        for crashed in (run for run in runs if run.how == "crash"):
            later = (
                run.start
                for run in runs
                if run.task == crashed.task and run.start >= crashed.end
            )
            waits += [at - crashed.end for at in [next(later, None)] if at]
    assert len(waits) > 20
    assert statistics.median(waits) <= slack_s / 2
