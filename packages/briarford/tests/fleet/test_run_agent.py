"""Single decisions of :class:`RunAgent`, with messages made by hand."""

from __future__ import annotations

import msgspec.structs
import pytest

from briarford.runs import (
    Attach,
    Demand,
    EndedRow,
    EntryHeartbeat,
    OrderResult,
    RunAgent,
    RunEnd,
    RunEnded,
    RunListing,
    RunningRow,
    StartRun,
    StopRun,
    WorkerStatus,
)
from briarford.runs.agent import CLIENT_RETRY_DELAY_S
from briarford.runs.effects import (
    AgentEvent,
    PlaceOrder,
    RaiseToken,
    SendToEntry,
    WithdrawRun,
)
from briarford.runs.health import Slowness
from briarford.runs.leases import LEASE_S
from briarford.runs.state import SESSION_TTL_S
from briarford.runs.worker_clock import CLOCK_DRIFT_FACTOR
from fleet.worker import StandInWorker

NOW = 1000.0


def make_agent(*entries: str) -> RunAgent:
    """Return an agent that accepts runs, with attached entries."""
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
    """Start a run and confirm its start in place of the worker."""
    order = StartRun(dispatch, task, dispatch, "p", 3000, 1, 0, 0.5)
    agent.handle(link, order, NOW)
    keys = [e.key for e in agent.turn(NOW) if isinstance(e, PlaceOrder)]
    for key in keys:
        agent.order_answered(key, OrderResult.STARTED, NOW)


@pytest.mark.parametrize(
    ("percents", "stopped"),
    [
        ([], False),  # answers lost: the progress is not known
        ([0], False),
        ([0, 0, 0, 0], True),
        ([0, 10, 20, 30], False),
    ],
    ids=["none", "one", "no progress", "progress"],
)
def test_a_run_is_stopped_only_if_listings_show_no_progress(percents, stopped):
    agent = make_agent("e")
    start(agent, "j.0.0.0", 1)
    effects = []
    for n, percent in enumerate(percents):
        at = NOW + 0.5 + 0.3 * (n + 1)  # the first listing is late
        row = RunningRow("j.0.0.0", 1, percent)
        agent.listing_received(RunListing(1, (row,), ()), at - 0.01, at)
        agent.handle(0, EntryHeartbeat(at, 0), at)
        effects += agent.turn(at)
    if not percents:
        effects += agent.turn(NOW + 0.8)
    found = any(isinstance(e, WithdrawRun) for e in effects)
    assert found is stopped


def test_an_outdated_listing_does_not_withdraw_an_ended_run():
    """Answers of the worker may arrive in another order than requested."""
    agent = make_agent("e")
    start(agent, "j.0.0.0", 1)
    row = RunningRow("j.0.0.0", 1, 10)
    agent.listing_received(RunListing(1, (), ()), NOW + 0.2, NOW + 0.21)
    agent.listing_received(RunListing(1, (row,), ()), NOW + 0.1, NOW + 0.22)
    effects = agent.turn(NOW + 0.23)
    assert not any(isinstance(e, WithdrawRun) for e in effects)


def test_refused_connections_end_runs_only_with_their_lease():
    """The worker may be cut off from its agent and still run.

    If the runs counted as lost at once, the entry would start the tasks a
    second time.
    """
    agent = make_agent("e")
    start(agent, "j.0.0.0", 1)
    agent.lease_extended(NOW + LEASE_S * CLOCK_DRIFT_FACTOR)
    agent.worker_refused(NOW + 0.1)
    assert not agent.may_extend_lease(NOW + 0.1)
    assert not agent.accepting(NOW + 0.1)
    assert ends_reported_at(agent, NOW + 1.06) == []
    assert ends_reported_at(agent, NOW + 1.1) == [RunEnd.LOST]
    agent.listing_received(RunListing(1, (), ()), NOW + 1.4, NOW + 1.4)
    assert agent.accepting(NOW + 1.4)


@pytest.mark.parametrize(
    ("result", "ends"),
    [(OrderResult.NOT_SENT, ["unavailable"]), (OrderResult.UNANSWERED, [])],
    ids=["not sent", "unanswered"],
)
def test_only_an_order_that_was_sent_waits_for_the_lease(result, ends):
    """Guards against a second of waiting, and a suspicion, without cause."""
    agent = make_agent("e")
    agent.handle(0, StartRun(1, "j.0.0.0", 1, "p", 3000, 1, 0, 0.5), NOW)
    order = next(e for e in agent.turn(NOW) if isinstance(e, PlaceOrder))
    agent.lease_extended(NOW + LEASE_S * CLOCK_DRIFT_FACTOR)
    agent.order_answered(order.key, result, NOW + 0.4)
    assert ends_reported_at(agent, NOW + 0.4) == ends
    assert not agent.accepting(NOW + 0.4)


def lose_run(agent: RunAgent) -> None:
    agent.worker_refused(NOW + 0.01)
    agent.turn(NOW + 2.0)


def stop_run(agent: RunAgent) -> None:
    agent.handle(0, StopRun(1), NOW)
    agent.turn(NOW)


def list_run(agent: RunAgent) -> None:
    row = RunningRow("j.0.0.0", 1, 0)
    agent.listing_received(RunListing(1, (row,), ()), NOW, NOW)


@pytest.mark.parametrize(
    ("change", "after_s", "due"),
    [
        (None, 0.0, True),
        (None, 0.1, True),
        (None, 0.2, False),
        (None, 1.24, False),
        (lose_run, 0.0, False),
        (stop_run, 0.0, False),
        (list_run, 0.0, False),
    ],
    ids=["now", "in time", "late", "paused", "lost", "stopped", "running"],
)
def test_an_order_is_due_while_its_run_waits_for_it(change, after_s, due):
    """Guards against an order that starts a run after it was given up."""
    agent = make_agent("e")
    agent.handle(0, StartRun(1, "j.0.0.0", 1, "p", 3000, 1, 0, 0.5), NOW)
    order = next(e for e in agent.turn(NOW) if isinstance(e, PlaceOrder))
    if change is not None:
        change(agent)
    assert agent.is_due(order, NOW + after_s) is due


def answer_start(agent: RunAgent, key: int) -> None:
    agent.order_answered(key, OrderResult.STARTED, NOW)


def withdraw(agent: RunAgent, key: int) -> None:
    stop_run(agent)
    agent.stop_answered(key, NOW)


def stop_in_vain(agent: RunAgent, key: int) -> None:
    stop_run(agent)


@pytest.mark.parametrize(
    ("before", "withdrawals", "settled"),
    [
        (lambda agent, key: None, 1, False),
        (answer_start, 0, True),
        (withdraw, 0, True),
        (stop_in_vain, 0, False),  # its withdrawal goes on
    ],
    ids=["unanswered", "started", "withdrawn", "not withdrawn"],
)
def test_a_lost_order_is_withdrawn_before_the_lease_is_extended(
    before, withdrawals, settled
):
    """Guards against a late order that runs under the lease of other runs."""
    agent = make_agent("e")
    agent.handle(0, StartRun(1, "j.0.0.0", 1, "p", 3000, 1, 0, 0.5), NOW)
    (key,) = (e.key for e in agent.turn(NOW) if isinstance(e, PlaceOrder))
    before(agent, key)
    agent.turn(NOW)
    at = NOW + 1.3
    agent.handle(0, EntryHeartbeat(at, 0), at)
    effects = agent.turn(at)
    assert ends_in(effects) == [RunEnd.LOST]
    found = [e.key for e in effects if isinstance(e, WithdrawRun)]
    assert found == [key] * withdrawals
    agent.listing_received(RunListing(1, (), ()), at, at)
    assert agent.needs_withdrawal(key) is not settled
    assert agent.accepting(at) is settled
    assert bool(agent.lease_until(at)) is settled
    agent.stop_answered(key, at)
    assert agent.accepting(at)
    assert agent.lease_until(at)


def test_an_order_of_the_turn_that_ends_its_run_is_dropped():
    """A pause lies between the arrival of the order and the turn."""
    agent = make_agent("e")
    agent.handle(0, StartRun(1, "j.0.0.0", 1, "p", 3000, 1, 0, 0.5), NOW)
    at = NOW + 1.3
    agent.handle(0, EntryHeartbeat(at, 0), at)
    effects = agent.turn(at)
    assert ends_in(effects) == [RunEnd.LOST]
    orders = [e for e in effects if isinstance(e, PlaceOrder | WithdrawRun)]
    assert orders == []


def other_token(agent: RunAgent) -> None:
    agent.token_raised()


def other_worker(agent: RunAgent) -> None:
    report = StandInWorker("w2").report(NOW)
    report = msgspec.structs.replace(report, address="10.0.0.9:1")
    agent.worker_reported(report, NOW + 1.3)


def departure(agent: RunAgent) -> None:
    agent.worker_left("w", NOW + 1.3)
    agent.worker_reported(StandInWorker("w").report(NOW), NOW + 1.3)


@pytest.mark.parametrize("change", [other_token, other_worker, departure])
def test_what_excludes_a_late_order_replaces_its_withdrawal(change):
    """Guards against an agent that accepts no runs any more."""
    agent = make_agent("e")
    agent.handle(0, StartRun(1, "j.0.0.0", 1, "p", 3000, 1, 0, 0.5), NOW)
    agent.turn(NOW)
    at = NOW + 1.3
    agent.turn(at)
    change(agent)
    raised = any(isinstance(e, RaiseToken) for e in agent.turn(at))
    assert raised is (change is not other_token)
    agent.listing_received(RunListing(1, (), ()), at, at)
    assert agent.accepting(at)


@pytest.mark.parametrize(
    ("results", "withdrawn"),
    [
        ([OrderResult.EXPIRED] * 3, False),
        ([OrderResult.EXPIRED, OrderResult.NO_ROOM], False),
        ([OrderResult.EXPIRED, OrderResult.UNANSWERED, None], True),
        ([OrderResult.UNANSWERED, OrderResult.EXPIRED, None], True),
        ([OrderResult.UNANSWERED, OrderResult.NO_ROOM], True),
    ],
    ids=["unsent", "rejected", "then sent", "sent before", "sent twice"],
)
def test_only_an_order_that_was_sent_is_withdrawn(results, withdrawn):
    """Guards against a run whose end waits for a worker without cause."""
    agent = make_agent("e")
    agent.handle(0, StartRun(1, "j.0.0.0", 1, "p", 3000, 1, 0, 0.5), NOW)
    effects = []
    for result in results:
        found = agent.turn(NOW)
        effects += found
        orders = [e for e in found if isinstance(e, PlaceOrder)]
        agent.order_answered(orders[0].key, result or OrderResult.EXPIRED, NOW)
    effects += agent.turn(NOW)
    assert any(isinstance(e, WithdrawRun) for e in effects) is withdrawn
    assert bool(ends_in(effects)) is not withdrawn


def test_a_repeated_order_of_a_run_that_has_started_is_dropped():
    """Guards against a sound run that is stopped for an order not sent."""
    agent = make_agent("e")
    agent.handle(0, StartRun(1, "j.0.0.0", 1, "p", 3000, 1, 0, 0.5), NOW)
    (key,) = (e.key for e in agent.turn(NOW) if isinstance(e, PlaceOrder))
    agent.order_answered(key, OrderResult.UNANSWERED, NOW)
    (order,) = (e for e in agent.turn(NOW) if isinstance(e, PlaceOrder))
    list_run(agent)
    assert not agent.is_due(order, NOW)
    agent.order_answered(key, OrderResult.EXPIRED, NOW)
    effects = agent.turn(NOW)
    assert not any(isinstance(e, WithdrawRun) for e in effects)
    assert ends_in(effects) == []


def test_an_order_of_a_run_that_is_stopped_ends_it_unsent():
    agent = make_agent("e")
    agent.handle(0, StartRun(1, "j.0.0.0", 1, "p", 3000, 1, 0, 0.5), NOW)
    (key,) = (e.key for e in agent.turn(NOW) if isinstance(e, PlaceOrder))
    stop_run(agent)
    agent.order_answered(key, OrderResult.EXPIRED, NOW)
    assert ends_reported_at(agent, NOW) == [RunEnd.STOPPED]


@pytest.mark.parametrize(
    ("after_s", "ends"), [(0.1, []), (1.24, [RunEnd.UNAVAILABLE])]
)
def test_an_order_that_was_not_sent_is_repeated_while_the_worker_answers(
    after_s, ends
):
    agent = make_agent("e")
    agent.handle(0, StartRun(1, "j.0.0.0", 1, "p", 3000, 1, 0, 0.5), NOW)
    order = next(e for e in agent.turn(NOW) if isinstance(e, PlaceOrder))
    at = NOW + after_s
    agent.order_answered(order.key, OrderResult.EXPIRED, at)
    effects = agent.turn(at)
    assert [e for e in effects if isinstance(e, WithdrawRun)] == []
    assert any(isinstance(e, PlaceOrder) for e in effects) is (not ends)
    assert ends_in(effects) == ends


@pytest.mark.parametrize(
    ("calls", "renewed"),
    [
        ([(0.0, 0.1)], True),
        ([(0.0, 0.1), (0.05, 0.1)], True),  # both on connections of before
        ([(0.0, 0.1), (0.12, 0.13)], False),
    ],
    ids=["one", "all open connections", "a new connection"],
)
def test_calls_to_a_flapping_worker_do_not_renew_its_lease(calls, renewed):
    """Guards against a second of waiting for a worker that resets all."""
    agent = make_agent("e")
    start(agent, "j.0.0.0", 1)
    agent.lease_extended(agent.lease_until(NOW + 0.1))
    for requested_s, lost_s in calls:
        agent.connection_reset(NOW + requested_s, NOW + lost_s)
    assert agent.may_extend_lease(NOW + 0.13) is renewed
    assert agent.accepting(NOW + 0.13) is renewed
    if not renewed:
        assert ends_reported_at(agent, NOW + 1.1) == []
        assert ends_reported_at(agent, NOW + 1.2) == [RunEnd.LOST]
    agent.listing_received(RunListing(1, (), ()), NOW + 1.3, NOW + 1.3)
    assert agent.accepting(NOW + 1.3)


@pytest.mark.parametrize(
    ("answers", "orders", "ends"),
    [
        ([OrderResult.UNANSWERED] * 3, 3, ["unanswered"]),
        ([OrderResult.UNANSWERED, OrderResult.STARTED], 2, []),
        # The first order may have started it, and may do so still.
        (
            [OrderResult.UNANSWERED, OrderResult.OUTDATED],
            2,
            ["unanswered"],
        ),
        ([OrderResult.UNANSWERED, OrderResult.NO_ROOM], 2, ["unanswered"]),
        ([OrderResult.UNANSWERED, OrderResult.NOT_SENT], 2, ["unanswered"]),
        ([OrderResult.NO_ROOM], 1, ["no-room"]),
    ],
)
def test_an_order_left_unanswered_is_sent_again(answers, orders, ends):
    """Guards against tasks that are held up by one lost answer.

    The run is given up only once it is known that no order started it.
    """
    agent = make_agent("e")
    agent.handle(0, StartRun(1, "j.0.0.0", 1, "p", 3000, 1, 0, 0.5), NOW)
    sent = []
    for n, answer in enumerate(answers):
        at = NOW + 0.02 * (n + 1)
        sent += [e for e in agent.turn(at) if isinstance(e, PlaceOrder)]
        agent.order_answered(sent[-1].key, answer, at)
    assert len({(e.task, e.run) for e in sent}) == 1
    assert len(sent) == orders
    at = NOW + 0.1
    stops = [e for e in agent.turn(at) if isinstance(e, WithdrawRun)]
    assert bool(stops) is (ends == ["unanswered"])
    for stop in stops:
        agent.stop_answered(stop.key, at)
        agent.listing_received(RunListing(1, (), ()), at + 0.01, at + 0.01)
    assert agent.counts["unanswered"] + agent.counts["no-room"] == len(ends)


def test_a_run_that_ended_before_its_repeated_order_is_done():
    """Guards against a second run of a task that is done."""
    agent = make_agent("e")
    agent.handle(0, StartRun(1, "j.0.0.0", 1, "p", 3000, 1, 0, 0.5), NOW)
    for result in (OrderResult.UNANSWERED, OrderResult.OUTDATED):
        orders = [e for e in agent.turn(NOW) if isinstance(e, PlaceOrder)]
        agent.order_answered(orders[0].key, result, NOW + 0.03)
    done = EndedRow(1, "j.0.0.0", 1, "done")
    listing = RunListing(1, (), (done,))
    agent.listing_received(listing, NOW + 0.02, NOW + 0.04)
    assert ends_reported_at(agent, NOW + 0.04) == [RunEnd.DONE]


def test_an_offer_does_not_outlive_the_room_that_it_was_made_of():
    """Guards against starts beyond a capacity that has shrunk."""
    agent = make_agent("e")
    start(agent, "j.0.0.0", 1)
    agent.handle(0, Demand(3000, 0.1), NOW)
    agent.turn(NOW)
    worker = StandInWorker("w", cpu=4000, sequence=5)
    agent.worker_reported(worker.report(NOW), NOW)
    start(agent, "k.0.0.0", 2)
    assert agent.counts["no-room"] == 1


def restart(agent: RunAgent, at: float) -> None:
    """Have the worker report that it has restarted, and confirm the stops."""
    worker = StandInWorker("w", cpu=6000, born_ms=2)
    agent.worker_reported(worker.report(at), at)
    for run in (e for e in agent.turn(at) if isinstance(e, WithdrawRun)):
        agent.stop_answered(run.key, at)
    agent.listing_received(RunListing(2, (), ()), at + 0.1, at + 0.1)


def drain_and_leave(agent: RunAgent, at: float) -> None:
    worker = StandInWorker("w", cpu=6000, sequence=5)
    agent.worker_reported(worker.report(at, draining=True), at)
    agent.worker_left("w", at)


def test_a_departure_of_a_worker_that_does_not_drain_ends_no_run():
    """Guards against a second run while the first one goes on.

    A late announcement of its previous incarnation, or one of another writer.
    """
    agent = make_agent("e")
    start(agent, "j.0.0.0", 1)
    agent.worker_left("w", NOW + 0.1)
    assert not _run_ends(agent.turn(NOW + 0.1))
    assert agent.accepting(NOW + 0.1)
    agent.worker_refused(NOW + 0.2)
    agent.worker_left("w", NOW + 0.3)
    assert _run_ends(agent.turn(NOW + 0.3)) == [RunEnd.LOST]


@pytest.mark.parametrize(
    ("happen", "cause"),
    [
        (lambda a: a.worker_refused(NOW + 0.1), "worker-refuses"),
        (lambda a: None, "worker-silent"),
        (lambda a: restart(a, NOW + 0.5), "worker-restarted"),
        (lambda a: drain_and_leave(a, NOW + 0.1), "worker-left"),
        (
            lambda a: a.listing_received(
                RunListing(1, (), ()), NOW + 0.5, NOW + 0.5
            ),
            "not-listed",
        ),
        (
            lambda a: a.listing_received(
                RunListing(1, (), (EndedRow(1, "j.0.0.0", 1, "lapsed"),)),
                NOW + 0.5,
                NOW + 0.5,
            ),
            "lease-lapsed",
        ),
    ],
    ids=["refuses", "silent", "restarted", "left", "not listed", "lapsed"],
)
def test_the_log_says_why_a_run_was_lost(happen, cause):
    """Guards against losses that cannot be explained after an incident."""
    agent = make_agent("e")
    start(agent, "j.0.0.0", 1)
    agent.lease_extended(NOW + LEASE_S * CLOCK_DRIFT_FACTOR)
    happen(agent)
    causes = [
        e.fields["cause"]
        for e in agent.turn(NOW + 1.2)
        if isinstance(e, AgentEvent) and e.action == "run-ended"
    ]
    assert causes == [cause]
    assert agent.counts[f"lost-{cause}"] == 1


def ends_reported_at(agent: RunAgent, now: float) -> list[RunEnd]:
    return ends_in(agent.turn(now))


def ends_in(effects) -> list[RunEnd]:
    return [
        e.message.how
        for e in effects
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
    """Start runs of the first entry, each of which ends within a gap."""
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


def test_short_runs_do_not_cause_a_status_message_each():
    """50 runs in a second on a worker with much free capacity.

    A message to each entry per start and end would be too many.
    """
    agent = make_agent("e0", "e1")
    effects = _play_short_runs(agent, runs=50, gap_s=0.02)
    # Of 100 starts and ends; with many entries the share is smaller.
    assert len(_statuses(effects, 1)) <= 50
    # One with the report of each ended run.
    assert len(_statuses(effects, 0)) <= 51


@pytest.mark.parametrize(
    ("cpu", "at_once"),
    [(500, False), (3000, True), (6000, True)],
    ids=["a little", "half", "all"],
)
def test_other_entries_get_a_status_at_once_if_capacity_becomes_scarce(
    cpu, at_once
):
    agent = make_agent("e0", "e1")
    order = StartRun(1, "j.0.0.0", 1, "p", cpu, 1, 0, 0.5)
    agent.handle(0, order, NOW)
    assert bool(_statuses(agent.turn(NOW), 1)) is at_once
    later = _statuses(agent.turn(NOW + 0.11), 1)
    assert bool(later) is not at_once


def test_a_delayed_status_sets_the_next_deadline():
    agent = make_agent("e0", "e1")
    order = StartRun(1, "j.0.0.0", 1, "p", 500, 1, 0, 0.5)
    agent.handle(0, order, NOW)
    agent.turn(NOW)
    assert agent.next_deadline() <= NOW + 0.1


def test_an_ended_run_is_reported_with_the_capacity_it_frees():
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


def test_a_restarted_agent_restores_the_slowness_of_its_worker():
    agent = make_agent("e")
    for n in range(1, 9):
        agent.handle(0, EntryHeartbeat(NOW + n, 0), NOW + n)
        order = StartRun(n, f"j{n}.0.0.0", n, "p", 500, 1, 0, 0.5)
        agent.handle(0, order, NOW + n)
        agent.turn(NOW + n)
        agent.order_answered(n, OrderResult.STARTED, NOW + n)
        ended = EndedRow(n, f"j{n}.0.0.0", n, "done")
        listing = RunListing(1, (), (ended,))
        agent.listing_received(listing, NOW + n, NOW + n + 0.9)
    assert agent.recorded_slowness == pytest.approx(1.8)
    report = agent.worker
    successor = RunAgent("a", "i2")
    successor.restore_worker(report, agent.recorded_slowness, NOW)
    assert successor.state(NOW)["worker_slowness"] == pytest.approx(1.8)


def test_slowness_of_an_earlier_incarnation_is_not_restored():
    """A restarted worker may be faster or slower than before."""
    agent = make_agent("e")
    other = msgspec.structs.replace(agent.worker, born_ms=2)
    agent.worker_reported(other, NOW)
    agent.listing_received(RunListing(2, (), ()), NOW + 0.01, NOW + 0.01)
    agent.restore_worker(msgspec.structs.replace(other, born_ms=1), 1.8, NOW)
    assert agent.state(NOW)["worker_slowness"] == 1.0


def test_random_variation_does_not_rewrite_the_stored_slowness():
    slowness = Slowness()
    for ratio in (1.8, 1.9, 1.7, 1.8):
        slowness.observe(f"j{ratio}", ratio, NOW)
        slowness.observe(f"other{ratio}", ratio, NOW)
    stored = slowness.recorded
    for ratio in (1.75, 2.0, 1.6, 2.1, 1.5, 2.2):
        slowness.observe(f"later{ratio}", ratio, NOW)
        assert slowness.recorded == stored


@pytest.mark.parametrize(
    ("jobs", "slow"),
    [
        pytest.param(["j"] * 8, False, id="one job with a wrong estimate"),
        pytest.param(["i", "j"] * 4, False, id="two such jobs"),
        pytest.param(["g", "h", "i", "j"], True, id="four jobs"),
    ],
)
def test_only_several_jobs_show_that_a_worker_has_become_slow(jobs, slow):
    """The tasks of a job share the error of one estimate.

    On the users' bench a job whose estimate was a third of its work took its
    worker out of use for seconds.
    """
    slowness = Slowness()
    for n in range(20):
        slowness.observe(f"earlier{n}", 1.0, NOW)
    for job in jobs:
        slowness.observe(job, 3.0, NOW)
    assert (slowness.factor(NOW) > 2.0) is slow


def test_a_worker_restart_ends_a_run_only_once_listings_show_it():
    """The order may have reached the new incarnation before its heartbeat.

    The run counts as ended only once the listings of that incarnation show
    it; otherwise the task would run twice.
    """
    agent = make_agent("e")
    start(agent, "j.0.0.0", 1)
    restarted = StandInWorker("w", cpu=6000, born_ms=2)
    agent.worker_reported(restarted.report(NOW), NOW + 0.1)
    assert not _run_ends(agent.turn(NOW + 0.1))
    row = RunningRow("j.0.0.0", 1, 10)
    at = NOW + 0.12
    agent.listing_received(RunListing(2, (row,), ()), at, at)
    effects = agent.turn(at)
    assert any(isinstance(e, WithdrawRun) for e in effects)
    assert not _run_ends(effects)
    agent.stop_answered(1, at + 0.01)
    assert not _run_ends(agent.turn(at + 0.01))
    ended = EndedRow(1, "j.0.0.0", 1, "stopped")
    agent.listing_received(RunListing(2, (), (ended,)), at + 0.02, at + 0.06)
    assert _run_ends(agent.turn(at + 0.06)) == [RunEnd.LOST]


def _run_ends(effects) -> list[RunEnd]:
    return [
        e.message.how
        for e in effects
        if isinstance(e, SendToEntry) and isinstance(e.message, RunEnded)
    ]


def test_a_listing_reveals_a_restarted_worker_before_its_heartbeat():
    agent = make_agent("e")
    start(agent, "j.0.0.0", 1)
    at = NOW + 0.2
    agent.listing_received(RunListing(2, (), (), clock_ms=70), at, at)
    effects = agent.turn(at)
    assert _run_ends(effects) == [RunEnd.LOST]
    assert agent.worker.born_ms == 2
    assert agent.worker.clock_ms == 70
    assert agent.accepting(at)


def test_a_delayed_listing_of_an_earlier_incarnation_is_ignored():
    agent = make_agent("e")
    restarted = StandInWorker("w", cpu=6000, born_ms=2)
    agent.worker_reported(restarted.report(NOW), NOW)
    unknown = RunningRow("k.0.0.0", 1, 10)
    at = NOW + 0.01
    agent.listing_received(RunListing(2, (unknown,), ()), at, at)
    agent.listing_received(RunListing(1, (), ()), NOW, at + 0.01)
    assert agent.worker.born_ms == 2
    assert not agent.reconciled


@pytest.mark.parametrize("silent_s", [0.0, 0.3, 0.6, 0.9])
def test_the_lease_ends_before_a_client_of_a_dead_entry_repeats(silent_s):
    """The agent may die too, before it stops the runs of the dead entry.

    Then only the end of the lease prevents that the task runs twice.
    """
    agent = make_agent("e")
    start(agent, "j.0.0.0", 1)
    at = NOW + silent_s
    agent.listing_received(
        RunListing(1, (RunningRow("j.0.0.0", 1, 5),), ()), at, at
    )
    until = agent.lease_until(at)
    assert at < until <= at + LEASE_S * CLOCK_DRIFT_FACTOR
    assert until < NOW + CLIENT_RETRY_DELAY_S


def test_without_runs_the_lease_has_its_full_length():
    agent = make_agent("e")
    full_s = LEASE_S * CLOCK_DRIFT_FACTOR
    assert agent.lease_until(NOW + 0.1) == NOW + 0.1 + full_s


@pytest.mark.parametrize(
    ("listed", "ends"),
    [(True, [RunEnd.UNAVAILABLE]), (False, [])],
    ids=["goes on", "has ended"],
)
def test_a_task_does_not_start_beside_an_unknown_run_of_it(listed, ends):
    agent = make_agent("e")
    row = RunningRow("j.0.0.0", 1, 5)
    agent.listing_received(RunListing(1, (row,), ()), NOW, NOW)
    rows = (row,) if listed else ()
    agent.listing_received(RunListing(1, rows, ()), NOW + 0.01, NOW + 0.01)
    agent.turn(NOW + 0.01)
    order = StartRun(2, "j.0.0.0", 2, "p", 3000, 1, 0, 0.5)
    agent.handle(0, order, NOW + 0.01)
    assert ends_reported_at(agent, NOW + 0.01) == ends


@pytest.mark.parametrize(("after_s", "ends"), [(1.0, 0), (1.2, 1)])
def test_a_late_order_at_another_incarnation_has_its_longest_lease(
    after_s, ends
):
    """Guards against a second run beside one that it starts unseen."""
    agent = make_agent("e")
    start(agent, "j.0.0.0", 1)
    report = StandInWorker("w", born_ms=2).report(NOW + 0.1)
    agent.worker_refused(NOW + 0.05)
    agent.worker_reported(report, NOW + 0.1)
    at = NOW + 0.1 + after_s
    agent.handle(0, EntryHeartbeat(at, 0), at)
    assert len(ends_reported_at(agent, at)) == ends


def test_unknown_runs_are_stopped_once_and_again_only_after_a_while():
    """Guards against a storm of orders at a restarted agent.

    A listing follows each order to stop a run, and shows runs that are still
    being stopped. If each such listing caused new orders, they would multiply
    for as long as the worker takes.
    """
    agent = make_agent("e0")
    rows = tuple(RunningRow(f"j.0.0.{n}", 1, 10) for n in range(3))
    orders = []
    for n in range(20):
        now = NOW + 0.002 * n
        agent.listing_received(RunListing(1, rows, ()), now, now)
        orders += [e for e in agent.turn(now) if isinstance(e, WithdrawRun)]
    assert len(orders) == 3
    later = NOW + 0.5
    agent.listing_received(RunListing(1, rows, ()), later, later)
    again = [e for e in agent.turn(later) if isinstance(e, WithdrawRun)]
    assert len(again) == 3


@pytest.mark.parametrize(
    ("echo", "ordered"),
    [(0.0, True), (NOW - 0.3, True), (NOW - 0.8, False)],
    ids=["unknown", "recent", "held up"],
)
def test_an_order_that_was_held_up_starts_nothing(echo, ordered):
    """Its job may have been answered, or run elsewhere, in the meantime."""
    agent = make_agent("e")
    order = StartRun(1, "j.0.0.0", 1, "p", 3000, 1, 0, 0.5, echo=echo)
    agent.handle(0, order, NOW)
    effects = agent.turn(NOW)
    assert any(isinstance(e, PlaceOrder) for e in effects) is ordered
    ends = [RunEnd.UNAVAILABLE] if not ordered else []
    assert _run_ends(effects) == ends


def test_an_echo_of_a_clock_that_was_ahead_keeps_no_runs():
    """Guards against runs of a dead entry that outlast its client's repeat.

    The clock was stepped back, and the entry echoes a heartbeat that the
    previous process of the agent has sent.
    """
    agent = make_agent()
    agent.attach(0, Attach("e", "i", 1, NOW + 60.0), NOW)
    agent.handle(0, EntryHeartbeat(NOW + 60.0, 0), NOW)
    start(agent, "j.0.0.0", 1)
    effects = agent.turn(NOW + SESSION_TTL_S + 0.1)
    assert any(isinstance(e, WithdrawRun) for e in effects)
