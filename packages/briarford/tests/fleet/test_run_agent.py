"""Single decisions of an agent."""

from __future__ import annotations

import dataclasses

import pytest

from briarford.runs import (
    Attach,
    EndedRow,
    EntryHeartbeat,
    OrderResult,
    RunAgent,
    RunEnd,
    RunEnded,
    RunListing,
    RunningRow,
    StartRun,
    WorkerStatus,
)
from briarford.runs.agent import (
    CLIENT_RETRY_DELAY_S,
    LEASE_S,
    PlaceOrder,
    SendToEntry,
    WithdrawRun,
)
from briarford.runs.health import Slowness
from fleet.worker import StandInWorker

NOW = 1000.0


def make_agent(*entries: str) -> RunAgent:
    agent = RunAgent("a", "i")
    agent.has_token = True
    agent.worker_reported(StandInWorker("w", cpu=6000).report(NOW), NOW)
    agent.listing_received(RunListing(1, (), ()), NOW, NOW)
    for link, entry in enumerate(entries):
        agent.attach(link, Attach(entry, "i", 1, 0.0), NOW)
        agent.handle(link, EntryHeartbeat(NOW, 0), NOW)
    agent.turn(NOW)
    return agent


def start(agent: RunAgent, task: str, dispatch: int, link: int = 0) -> None:
    order = StartRun(dispatch, task, dispatch, "p", 3000, 1, 0, 0.5)
    agent.handle(link, order, NOW)
    keys = [e.key for e in agent.turn(NOW) if isinstance(e, PlaceOrder)]
    for key in keys:
        agent.order_answered(key, OrderResult.STARTED, NOW)


@pytest.mark.parametrize(
    ("percents", "stopped"),
    [
        ([], False),  # answers lost: nothing is known of the progress
        ([0], False),
        ([0, 0, 0, 0], True),
        ([0, 10, 20, 30], False),
    ],
    ids=["none", "one", "no progress", "progress"],
)
def test_only_listings_show_that_a_run_stalls(percents, stopped):
    agent = make_agent("e")
    start(agent, "j.0.0.0", 1)
    effects = []
    for n, percent in enumerate(percents):
        at = NOW + 0.5 + 0.3 * (n + 1)  # the first one is late
        row = RunningRow("j.0.0.0", 1, percent)
        agent.listing_received(RunListing(1, (row,), ()), at - 0.01, at)
        agent.handle(0, EntryHeartbeat(at, 0), at)
        effects += agent.turn(at)
    if not percents:
        effects += agent.turn(NOW + 0.8)
    found = any(isinstance(e, WithdrawRun) for e in effects)
    assert found is stopped


def test_a_listing_that_was_overtaken_revives_nothing():
    agent = make_agent("e")
    start(agent, "j.0.0.0", 1)
    row = RunningRow("j.0.0.0", 1, 10)
    agent.listing_received(RunListing(1, (), ()), NOW + 0.2, NOW + 0.21)
    agent.listing_received(RunListing(1, (row,), ()), NOW + 0.1, NOW + 0.22)
    effects = agent.turn(NOW + 0.23)
    assert not any(isinstance(e, WithdrawRun) for e in effects)


def test_runs_of_a_worker_that_refuses_end_with_their_lease():
    """It may be cut off and run on until then."""
    agent = make_agent("e")
    start(agent, "j.0.0.0", 1)
    agent.lease_extended(LEASE_S, NOW)
    agent.worker_refused(NOW + 0.1)
    assert not agent.may_extend_lease(NOW + 0.1)
    assert not agent.accepting(NOW + 0.1)
    assert lost(agent, NOW + 1.01) == []
    assert lost(agent, NOW + 1.1) == [RunEnd.LOST]
    agent.listing_received(RunListing(1, (), ()), NOW + 1.4, NOW + 1.4)
    assert agent.accepting(NOW + 1.4)


def lost(agent: RunAgent, now: float) -> list[RunEnd]:
    return [
        e.message.how
        for e in agent.turn(now)
        if isinstance(e, SendToEntry) and isinstance(e.message, RunEnded)
    ]


def _statuses(effects, link: int) -> list[WorkerStatus]:
    return [
        e.message
        for e in effects
        if isinstance(e, SendToEntry)
        and e.link == link
        and isinstance(e.message, WorkerStatus)
    ]


def _play_short_runs(agent: RunAgent, runs: int, gap_s: float) -> list:
    """Start runs of the first entry one after the other, each ends soon."""
    effects = []
    at = NOW
    for n in range(1, runs + 1):
        for entry in range(2):
            agent.handle(entry, EntryHeartbeat(at, 0), at)
        order = StartRun(n, f"j.0.0.{n}", n, "p", 500, 1, 0, 0.5)
        agent.handle(0, order, at)
        effects += agent.turn(at)
        agent.order_answered(n, OrderResult.STARTED, at)
        ended = EndedRow(n, f"j.0.0.{n}", n, "done")
        agent.listing_received(RunListing(1, (), (ended,)), at, at + gap_s / 2)
        at += gap_s
        effects += agent.turn(at - gap_s / 2)
    return effects


def test_status_messages_do_not_follow_each_run():
    """50 runs in a second at a worker with much room."""
    agent = make_agent("e0", "e1")
    effects = _play_short_runs(agent, runs=50, gap_s=0.02)
    assert len(_statuses(effects, 1)) <= 50  # of 100, and few of many
    assert len(_statuses(effects, 0)) <= 51  # beside the end of a run


@pytest.mark.parametrize(
    ("cpu", "told"),
    [(500, False), (3000, True), (6000, True)],
    ids=["a little", "half", "all"],
)
def test_other_entries_are_told_at_once_when_room_becomes_scarce(cpu, told):
    agent = make_agent("e0", "e1")
    order = StartRun(1, "j.0.0.0", 1, "p", cpu, 1, 0, 0.5)
    agent.handle(0, order, NOW)
    assert bool(_statuses(agent.turn(NOW), 1)) is told
    later = _statuses(agent.turn(NOW + 0.11), 1)
    assert bool(later) is not told


def test_a_status_that_is_held_back_is_sent_without_another_input():
    agent = make_agent("e0", "e1")
    order = StartRun(1, "j.0.0.0", 1, "p", 500, 1, 0, 0.5)
    agent.handle(0, order, NOW)
    agent.turn(NOW)
    assert agent.next_deadline() <= NOW + 0.1


def test_an_end_is_told_together_with_the_room_it_leaves():
    agent = make_agent("e0", "e1")
    order = StartRun(1, "j.0.0.0", 1, "p", 500, 1, 0, 0.5)
    agent.handle(0, order, NOW)
    agent.turn(NOW)
    agent.order_answered(1, OrderResult.STARTED, NOW)
    ended = EndedRow(1, "j.0.0.0", 1, "done")
    agent.listing_received(RunListing(1, (), (ended,)), NOW, NOW + 0.01)
    (status,) = _statuses(agent.turn(NOW + 0.01), 0)
    assert status.free_cpu == 6000
    assert status.last_dispatch == 1


@pytest.mark.parametrize(
    ("silent_s", "accepting"), [(0.2, True), (0.35, False)]
)
def test_a_worker_that_misses_answers_gets_no_new_runs(silent_s, accepting):
    agent = make_agent("e")
    assert agent.accepting(NOW + silent_s) is accepting
    assert agent.may_extend_lease(NOW + silent_s)


def test_a_new_process_of_an_agent_knows_the_speed_of_its_worker():
    agent = make_agent("e")
    for n in range(1, 9):
        agent.handle(0, EntryHeartbeat(NOW + n, 0), NOW + n)
        order = StartRun(n, f"j.0.0.{n}", n, "p", 500, 1, 0, 0.5)
        agent.handle(0, order, NOW + n)
        agent.turn(NOW + n)
        agent.order_answered(n, OrderResult.STARTED, NOW + n)
        ended = EndedRow(n, f"j.0.0.{n}", n, "done")
        listing = RunListing(1, (), (ended,))
        agent.listing_received(listing, NOW + n, NOW + n + 0.9)
    assert agent.recorded_slowness == pytest.approx(1.8)
    report = agent.worker
    heir = RunAgent("a", "i2")
    heir.restore_worker(report, agent.recorded_slowness, NOW)
    assert heir.state(NOW)["worker_slowness"] == pytest.approx(1.8)


def test_another_boot_of_the_worker_is_learnt_anew():
    agent = make_agent("e")
    other = dataclasses.replace(agent.worker, born_ms=2)
    agent.worker_reported(other, NOW)
    agent.restore_worker(dataclasses.replace(other, born_ms=1), 1.8, NOW)
    assert agent.state(NOW)["worker_slowness"] == 1.0


def test_a_stored_speed_is_not_rewritten_for_scatter():
    slowness = Slowness()
    for ratio in (1.8, 1.9, 1.7, 1.8):
        slowness.observe(ratio, NOW)
    stored = slowness.recorded
    for ratio in (1.7, 2.0, 1.6, 2.1, 1.5, 2.2):
        slowness.observe(ratio, NOW)
        assert slowness.recorded == stored


def test_an_order_may_have_reached_a_boot_before_its_first_heartbeat():
    """It counts as ended only once the lists of that boot show so."""
    agent = make_agent("e")
    start(agent, "j.0.0.0", 1)
    reborn = StandInWorker("w", cpu=6000, born_ms=2)
    agent.worker_reported(reborn.report(NOW), NOW + 0.1)
    effects = agent.turn(NOW + 0.1)
    assert any(isinstance(e, WithdrawRun) for e in effects)
    assert not _ends(effects)
    row = RunningRow("j.0.0.0", 1, 10)
    at = NOW + 0.12
    agent.listing_received(RunListing(2, (row,), ()), at, at)
    agent.stop_answered(1, at + 0.01)
    assert not _ends(agent.turn(at + 0.01))
    ended = EndedRow(1, "j.0.0.0", 1, "stopped")
    agent.listing_received(RunListing(2, (), (ended,)), at + 0.02, at + 0.06)
    assert _ends(agent.turn(at + 0.06)) == [RunEnd.LOST]


def _ends(effects) -> list[RunEnd]:
    return [
        e.message.how
        for e in effects
        if isinstance(e, SendToEntry) and isinstance(e.message, RunEnded)
    ]


def test_a_listing_shows_a_new_boot_before_its_heartbeat():
    agent = make_agent("e")
    start(agent, "j.0.0.0", 1)
    at = NOW + 0.2
    agent.listing_received(RunListing(2, (), (), clock_ms=70), at, at)
    effects = agent.turn(at)
    assert _ends(effects) == [RunEnd.LOST]
    assert agent.worker.born_ms == 2
    assert agent.worker.clock_ms == 70
    assert agent.accepting(at)


def test_a_delayed_listing_of_a_former_boot_changes_nothing():
    agent = make_agent("e")
    reborn = StandInWorker("w", cpu=6000, born_ms=2)
    agent.worker_reported(reborn.report(NOW), NOW)
    agent.listing_received(RunListing(1, (), ()), NOW, NOW)
    assert agent.worker.born_ms == 2
    assert not agent.reconciled


@pytest.mark.parametrize("silent_s", [0.0, 0.3, 0.6, 0.9])
def test_the_lease_ends_before_a_client_of_a_dead_entry_repeats(silent_s):
    """The agent may die as well, before it stops the runs of the entry."""
    agent = make_agent("e")
    start(agent, "j.0.0.0", 1)
    at = NOW + silent_s
    agent.listing_received(
        RunListing(1, (RunningRow("j.0.0.0", 1, 5),), ()), at, at
    )
    assert 0.0 < agent.lease_s(at) <= LEASE_S
    assert at + agent.lease_s(at) * 1.02 < NOW + CLIENT_RETRY_DELAY_S


def test_a_lease_without_runs_is_as_long_as_it_may_be():
    agent = make_agent("e")
    assert agent.lease_s(NOW + 0.1) == LEASE_S
