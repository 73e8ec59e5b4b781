"""Cancels that reach an entry which does not have the job."""

from __future__ import annotations

import pytest

from briarford.outcomes import Failed, FailureReason
from briarford.requests.cancels import BURST, RecentCancels
from briarford.runs import CancelJob
from briarford.runs.cancels import KEEP_CANCEL_S, MAX_KEPT, CancelRelay
from fleet.worker import StandInWorker
from fleet.world import World, request

NOW = 1000.0
ANSWERED_WITHIN_S = 0.1
CLIENT_WAITS_S = 0.5
CANCEL_S = 3.0  # no task starts later than this after its cancel


def make_world(entries=3):
    world = World([StandInWorker(f"w{n}") for n in range(2)], entries)
    world.run(1.0)
    world.submit(world.entries["e0"], request("j", count=2, work_s=1.8))
    world.run(0.3)
    return world


def running(world):
    return [t for w in world.workers.values() for t in w.runs]


def test_a_cancel_reaches_the_entry_that_has_the_job():
    """Guards against tasks that start after their cancel was acknowledged."""
    world = make_world()
    assert running(world)
    at = world.now
    assert world.cancel_at("e1", "j")
    world.run(0.5)
    assert not running(world)
    assert not world.entries["e0"].core.open_jobs
    answered = {(e, j) for e, j, _ in world.confirmed_cancels}
    assert answered == {("e1", "j")}
    first = min(t for _, _, t in world.confirmed_cancels)
    assert first - at < ANSWERED_WITHIN_S


def freeze(world, away_s):
    world.freeze(world.entries["e0"], away_s)


def cut(world, away_s):
    for agent in world.agents:
        world.cut("e0", agent)
    world.after(away_s, world.heal)


@pytest.mark.parametrize("fault", [freeze, cut])
@pytest.mark.parametrize("away_s", [2.0, 12.0, 40.0])
def test_an_entry_that_was_away_cancels_the_job_when_it_is_back(fault, away_s):
    """Guards against a job that goes on after a freeze or a cut."""
    world = make_world()
    fault(world, away_s)
    world.run(0.2)
    at = world.now
    world.cancel_at("e1", "j")
    world.run(away_s + 2.0)
    assert not world.entries["e0"].core.open_jobs
    world.run(1.0)
    assert not running(world)
    assert all(r.start < at + CANCEL_S for r in world.history())


def just_started(world):
    world.kill(world.entries["e1"])
    world.restart_entry(world.entries["e1"])
    return CLIENT_WAITS_S


def cut_off(world):
    for agent in world.agents:
        world.cut("e1", agent)
    world.run(1.0)
    world.after(2.0, world.heal)
    return 3.0


@pytest.mark.parametrize("fault", [just_started, cut_off])
def test_a_cancel_is_passed_on_once_its_entry_has_attached(fault):
    """Guards against cancels that reach nobody and are answered."""
    world = World([StandInWorker(f"w{n}") for n in range(2)], 3)
    world.run(1.0)
    world.submit(world.entries["e0"], request("j", count=60, work_s=1.8))
    world.run(0.3)
    assert running(world)
    within_s = fault(world)
    at = world.now
    assert not world.entries["e1"].core.can_place
    assert world.cancel_at("e1", "j")
    world.run(4.0)
    assert not world.entries["e0"].core.open_jobs
    assert not running(world)
    confirmed = {(e, j): t for e, j, t in reversed(world.confirmed_cancels)}
    assert confirmed["e1", "j"] - at < within_s
    assert len(world.history()) < 60
    assert all(r.start < at + CANCEL_S for r in world.history())


@pytest.mark.parametrize("entry", ["e0", "e1", "e2"])
@pytest.mark.parametrize("is_away", [True, False])
def test_a_cancel_that_overtakes_its_job_is_carried_out(entry, is_away):
    """Guards against a job that runs although it was cancelled before.

    It was held up on its way, for instance to an entry that was frozen.
    """
    world = make_world()
    if is_away:
        world.freeze(world.entries["e0"], 3.0)
    world.cancel_at("e1", "late")
    world.run(6.0)
    node = world.entries[entry]
    outcome = world.submit(node, request("late"))
    assert isinstance(outcome, Failed)
    assert outcome.reason is FailureReason.CANCELLED
    world.run(1.0)
    assert not [r for r in world.history() if r.task.startswith("late")]
    assert not node.core.number_of("late")


def test_a_confirmed_cancel_holds_for_repeats_that_were_held_up():
    """Guards against a repeat that starts the cancelled job again."""
    world = make_world()
    world.cancel_at("e1", "j")
    world.run(1.0)
    assert world.confirmed_cancels
    for node in world.entries.values():
        assert isinstance(world.submit(node, request("j")), Failed)


def test_a_cancelled_job_is_not_refused_for_ever():
    world = make_world()
    world.cancel_at("e1", "late")
    world.run(3 * KEEP_CANCEL_S)
    for node in world.entries.values():
        assert world.submit(node, request("late")) is None


def test_a_cancel_that_waits_for_an_agent_is_kept_within_bounds():
    """Guards against state that grows with what clients make up."""
    cancels = RecentCancels(3)
    for n in range(5):
        cancels.keep(f"j{n}", NOW + n)
    assert cancels.jobs(NOW + 5) == ["j2", "j3", "j4"]
    assert not cancels.has("j1", NOW + 5)
    assert cancels.has("j2", NOW + 5)
    assert not cancels.has("j2", NOW + 2 + KEEP_CANCEL_S)
    cancels.keep("j2", NOW + 5)
    cancels.remove("j3")
    cancels.remove("other")
    assert cancels.jobs(NOW + 5) == ["j4", "j2"]
    assert cancels.jobs(NOW + 4 + KEEP_CANCEL_S) == ["j2"]
    assert cancels.jobs(NOW + 5 + KEEP_CANCEL_S) == []


def test_a_job_that_no_entry_has_is_confirmed_by_none():
    world = make_world()
    assert world.cancel_at("e1", "other")
    world.run(1.0)
    assert not world.confirmed_cancels
    assert world.entries["e0"].core.open_jobs == 1


def test_a_job_that_was_answered_here_is_asked_for_nowhere():
    world = make_world()
    world.run(5.0)
    node = world.entries["e0"]
    assert not node.core.forward_cancel("j", world.now)


def test_a_storm_of_cancels_is_bounded():
    """Guards against messages that grow with what clients make up."""
    world = make_world()
    before = world.sent[CancelJob]
    asked = sum(world.cancel_at("e1", f"x{n}") for n in range(1000))
    assert asked <= BURST + 1
    world.run(1.0)
    agents, others = 2, 2
    most = asked * agents * (1 + others)
    assert world.sent[CancelJob] - before <= most


def test_a_relay_keeps_the_latest_cancels_only():
    relay = CancelRelay()
    for n in range(MAX_KEPT + 5):
        assert relay.requested(f"j{n}", "e1", NOW)
    assert len(relay.pending_for("e2", NOW)) == MAX_KEPT
    assert relay.pending_for("e1", NOW) == []
    assert relay.confirmed(f"j{MAX_KEPT}") == {"e1"}
    assert relay.confirmed(f"j{MAX_KEPT}") == set()
    assert relay.pending_for("e2", NOW + KEEP_CANCEL_S) == []
    assert not relay.requested("x" * 9999, "e1", NOW)
