"""Waiting, refusing and placing under the load of the deployments."""

from __future__ import annotations

import pytest

from fleet.load import STARTED_AT, play

# The users ask for a mean worth of about 0.87 in trouble, after prices of
# about 0.09; before prices that is 0.96 in calm and 0.87 under bursts.
MIN_SHARE_CALM = 0.96
MIN_SHARE_BURST = 0.87


@pytest.mark.parametrize(
    ("load", "slow", "fleet", "least"),
    [
        (1.0, 0, "some slow", MIN_SHARE_CALM),
        (1.3, 0, "some slow", MIN_SHARE_CALM),
        (1.6, 0, "some slow", MIN_SHARE_BURST),
        (1.0, 0, "measured", MIN_SHARE_CALM),
        (1.6, 0, "measured", MIN_SHARE_CALM),
        (1.9, 0, "measured", MIN_SHARE_BURST),
    ],
)
def test_share_of_worth_that_is_earned(load, slow, fleet, least):
    tallies, world = play(load, seconds=4.0, slow=slow, fleet=fleet)
    attainable = sum(t.attainable for t in tallies.values())
    earned = sum(t.earned for t in tallies.values())
    assert earned / attainable >= least
    assert not world.overlaps()
    assert not any(w.rejected_for_capacity for w in world.workers.values())


def test_overload_is_refused_rather_than_served_late():
    """A quarter more than the capacity, for as long as it takes to fill."""
    tallies, world = play(2.2, seconds=5.0)
    assert sum(t.refused for t in tallies.values()) > 0
    attainable = sum(t.attainable for t in tallies.values())
    earned = sum(t.earned for t in tallies.values())
    assert earned / attainable >= 0.6
    assert not world.overlaps()


def test_jobs_that_waited_for_agents_do_not_cause_later_refusals():
    """Requests come for 0.6 s before the agents do, and go on."""
    tallies, world = play(1.0, seconds=4.0, agents_after_s=0.6)
    late = [
        job
        for job, at in world.refused_at.items()
        if at > STARTED_AT + 0.6 + 1.0
    ]
    assert not late
    attainable = sum(t.attainable for t in tallies.values())
    earned = sum(t.earned for t in tallies.values())
    assert earned / attainable >= 0.75
