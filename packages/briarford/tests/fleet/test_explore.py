"""Single faults, a seeded sample of pairs, and bugs that the checks must see.

The sample of the pairs of ``fleet.explore`` may break no rule. To show that
the rules can break at all, bugs are planted in the cores one by one, and each
must break the rule that it is listed with.
"""

from __future__ import annotations

import random

import pytest

from briarford.evacuations import Evacuations
from briarford.requests import attachments, dispatcher
from briarford.requests.agents import Dispatch
from briarford.requests.waiting import WaitingTasks
from briarford.runs import RunEnd, state
from briarford.runs import agent as run_agent
from briarford.runs.messages import LossCause
from briarford.runs.orders import RunOrders
from fleet import explore
from fleet.explore import (
    DELAYED_FAULTS,
    FAULTS,
    FRESH_S,
    MOMENTS_S,
    PAIRED_FAULTS,
    REPEAT_DELAY_S,
    SETTLED_S,
    pairs,
    play,
    play_pair,
    play_series,
)
from fleet.world import World

SAMPLE = 60
STRAY_SAMPLE = 40
DELAYED_SAMPLE = 20
SERIES = 60
SEED = 20261204


@pytest.mark.parametrize("settled_s", [FRESH_S, SETTLED_S])
@pytest.mark.parametrize("name", FAULTS)
def test_one_fault_breaks_no_rule(name, settled_s):
    """Guards against a rule that a single fault breaks at any moment."""
    broken = {
        m: found
        for m in MOMENTS_S
        if (found := play((name, m), settled_s=settled_s))
    }
    assert not broken


def sample_of_pairs():
    """Return pairs of the faults that series draw, and of the others."""
    delayed = set(pairs(DELAYED_FAULTS))
    stray = [p for p in pairs(PAIRED_FAULTS) if p not in delayed]
    excluded = delayed | set(stray)
    others = [p for p in pairs() if p not in excluded]
    return [
        *random.Random(SEED).sample(others, SAMPLE),
        *random.Random(SEED).sample(stray, STRAY_SAMPLE),
    ]


@pytest.mark.parametrize("settled_s", [FRESH_S, SETTLED_S])
@pytest.mark.parametrize("pair", sample_of_pairs(), ids=str)
def test_two_faults_break_no_rule(pair, settled_s):
    """Guards against a rule that two faults break in combination."""
    assert play(*pair, settled_s=settled_s) == []


@pytest.mark.parametrize(
    "pair",
    random.Random(SEED).sample(pairs(DELAYED_FAULTS), DELAYED_SAMPLE),
    ids=str,
)
def test_an_agent_that_acts_late_breaks_no_rule(pair):
    """Guards against effects that are performed after their time is over."""
    assert play_pair(pair) == []


@pytest.mark.parametrize("seed", range(SERIES))
def test_a_series_of_faults_breaks_no_rule(seed):
    """Guards against a rule that overlapping faults break, also repeated."""
    assert play_series(seed) == []


def plant_overlong_sessions(monkeypatch):
    """Plant: an agent does not stop the runs of a silent entry in time."""
    monkeypatch.setattr(state, "SESSION_TTL_S", 4.0)
    monkeypatch.setattr(run_agent, "CLIENT_RETRY_DELAY_S", 9.0)


def plant_overlong_leases(monkeypatch):
    """Plant: an agent extends the lease although a run's entry is silent."""
    monkeypatch.setattr(run_agent, "CLIENT_RETRY_DELAY_S", 9.0)


def plant_early_loss(monkeypatch):
    """Plant: an entry counts runs of a silent agent as lost too early."""
    monkeypatch.setattr(attachments, "AGENT_LOST_S", 0.2)


def plant_early_end_on_restart(monkeypatch):
    """Plant: an agent gives up all runs at the first report of a restart."""
    replace_worker = run_agent.RunAgent._replace_worker

    def planted(self, report, now):
        self._orders.finish_all(LossCause.WORKER_RESTARTED)
        replace_worker(self, report, now)

    monkeypatch.setattr(run_agent.RunAgent, "_replace_worker", planted)


def plant_assumed_withdrawal(monkeypatch):
    """Plant: an agent counts an unanswered order as not carried out."""
    monkeypatch.setattr(
        RunOrders, "stop", lambda self, run, end: self.finish(run, end)
    )


def plant_early_moves(monkeypatch):
    """Plant: an agent reports a run that has to move before it has ended."""
    stop = RunOrders.stop

    def planted(self, run, end):
        stop(self, run, end)
        if end is RunEnd.LOST:
            self.finish(run, end)

    monkeypatch.setattr(RunOrders, "stop", planted)


def plant_stops_sent_once(monkeypatch):
    """Plant: an entry does not repeat stops on a new connection."""
    monkeypatch.setattr(Dispatch, "is_wanted", True)


def plant_unlimited_attempts(monkeypatch):
    """Plant: an entry starts a task again however often it has failed."""
    monkeypatch.setattr(
        dispatcher.Dispatcher,
        "_task_failed",
        lambda self, task, view, now: self._waiting.add(task),
    )


def plant_unreported_failures(monkeypatch):
    """Plant: an agent does not report failed runs of its previous process."""
    monkeypatch.setattr(
        run_agent.RunAgent, "_report_earlier_failure", lambda self, row: None
    )


def plant_untrue_refusals(monkeypatch):
    """Plant: an entry refuses late jobs although they have started."""
    late = WaitingTasks.late

    def late_and_unstarted(self, now):
        for task in late(self, now):
            task.job.started = False
        return late(self, now)

    monkeypatch.setattr(WaitingTasks, "late", late_and_unstarted)
    monkeypatch.setattr(
        dispatcher, "_ends_after_expiry", lambda task, now: True
    )


def plant_tokens_that_stay(monkeypatch):
    """Plant: an agent keeps its token when its worker has restarted."""
    monkeypatch.setattr(World, "_raise_token", lambda *args: None)


def plant_entry_that_keeps_lost_agents(monkeypatch):
    """Plant: an entry never counts the runs of a lost agent as ended."""
    monkeypatch.setattr(attachments, "AGENT_LOST_S", 1e9)
    monkeypatch.setattr(attachments, "LEASE_EXPIRY_S", 1e9)


def plant_orders_that_stay_due(monkeypatch):
    """Plant: an agent sends the orders of runs that it has given up.

    It withdraws none of them either; each of the two mends holds alone.
    """
    monkeypatch.setattr(run_agent.RunAgent, "is_due", lambda *args: True)
    monkeypatch.setattr(
        RunOrders, "finish_lapsed", lambda self, cause: self.finish_all(cause)
    )


def plant_leases_from_their_sending(monkeypatch):
    """Plant: a lease has its length from when it is sent."""
    monkeypatch.setattr(
        World,
        "_lease_end",
        lambda self, until, granted_at: until + self.now - granted_at,
    )


def plant_unread_evacuations(monkeypatch):
    """Plant: no process adopts a request to evacuate a zone."""
    monkeypatch.setattr(Evacuations, "_adopt", lambda *args: None)


def plant_evacuations_not_passed_on(monkeypatch):
    """Plant: each process knows of evacuations only what it reads itself."""
    monkeypatch.setattr(Evacuations, "news_for", lambda self, peer: None)


@pytest.mark.parametrize(
    ("plant", "rule", "steps"),
    [
        (plant_overlong_sessions, "TWICE", [("entry_loses_power", 0.2)]),
        (
            plant_overlong_leases,
            "TWICE",
            [("entry_loses_power", 0.05), ("agent_is_gone", 0.7)],
        ),
        (plant_early_loss, "TWICE", [("agent_freezes", 0.2)]),
        (plant_assumed_withdrawal, "TWICE", [("orders_carried_out_late", 0)]),
        (plant_early_moves, "TWICE", [("worker_leaves", 0.2)]),
        (
            plant_stops_sent_once,
            "TWICE",
            [("client_is_reset", 0.2), ("links_reset", 0.2)],
        ),
        (plant_unlimited_attempts, "BUDGET", [("all_workers_fail", 0.0005)]),
        (
            plant_unreported_failures,
            "BUDGET",
            [("agent_killed", 0.05), ("all_workers_fail", 0.7)],
        ),
        (plant_entry_that_keeps_lost_agents, "LOST", [("agent_is_gone", 0.2)]),
        (
            plant_untrue_refusals,
            "REFUSED",
            [("worker_crashes", 0.2), ("agent_is_gone", 0.39)],
        ),
        (
            plant_tokens_that_stay,
            "TWICE",
            [
                ("orders_carried_out_late", 0.0005),
                ("worker_boots_at_once", 0.39),
            ],
        ),
        (
            plant_unread_evacuations,
            "EVAC",
            [("zone_evacuated", 0.05), ("more_requests_come", 0.7)],
        ),
        (
            plant_evacuations_not_passed_on,
            "EVAC",
            [
                ("entry_cut_off_from_store", 0.0005),
                ("zone_evacuated", 0.05),
                ("more_requests_come", 0.7),
            ],
        ),
        (
            plant_early_end_on_restart,
            "TWICE",
            [("worker_boots_at_once", 0.0005), ("more_requests_come", 0.39)],
        ),
    ],
)
def test_each_planted_bug_breaks_its_rule(monkeypatch, plant, rule, steps):
    """Guards against checks that would not notice a broken rule."""
    assert play(*steps) == []
    plant(monkeypatch)
    assert any(found.startswith(rule) for found in play(*steps))


@pytest.mark.parametrize(
    ("plant", "steps"),
    [
        (plant_orders_that_stay_due, [("agent_pauses_at_task_0.6", 0.0005)]),
        (
            plant_leases_from_their_sending,
            [("agent_pauses_at_write_1.24", 0.2)],
        ),
        (
            plant_leases_from_their_sending,
            [("agent_pauses_at_write_2.4", 0.2)],
        ),
        (
            plant_leases_from_their_sending,
            [
                ("agent_pauses_at_listing_0.6", 0.0005),
                ("agent_runs_slowly", 0.002),
            ],
        ),
    ],
)
def test_each_planted_bug_of_late_agents_runs_a_task_twice(
    monkeypatch, plant, steps
):
    """Guards against a world in which agents act at once."""
    assert play_pair(steps) == []
    plant(monkeypatch)
    assert "TWICE: two runs at once" in play_pair(steps)


@pytest.mark.parametrize("seconds", [0.5, 0.8, 1.2, 2.0, 5.0, 10.0])
@pytest.mark.parametrize("moment", MOMENTS_S)
@pytest.mark.parametrize("paused", ["entry", "agent", "both"])
def test_a_pause_of_any_length_breaks_no_rule(
    monkeypatch, paused, moment, seconds
):
    """A paused process acts on nothing that has run out meanwhile.

    Its session, its lease at the worker, and orders that it had received.
    """

    def pause(case) -> None:
        if paused != "agent":
            case.world.freeze(case.entry, seconds)
            case.world.after(REPEAT_DELAY_S, case.repeat_job)
            case.world.client_leaves(case.entry, "j")
        if paused != "entry":
            case.world.freeze(case.agent, seconds)

    monkeypatch.setitem(FAULTS, "pause", pause)
    monkeypatch.setattr(explore, "SIMULATED_S", 20.0)
    assert play(("pause", moment), ("more_requests_come", moment)) == []


KNOWN_RED = pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt")


@pytest.mark.parametrize(
    ("restart", "moment"),
    [
        ("worker_boots_at_once", 0.2),
        ("worker_boots_at_once", 0.39),
        pytest.param("worker_boots_at_once", 0.7, marks=KNOWN_RED),
        ("worker_crashes_and_boots", 0.2),
        pytest.param("worker_crashes_and_boots", 0.39, marks=KNOWN_RED),
    ],
)
def test_a_late_order_after_a_worker_restart_starts_nothing_twice(
    restart, moment
):
    """The restarted worker has forgotten the withdrawal and the token.

    The agent raises its token as soon as it sees the restart, so a late
    order, which has the previous one, is refused from then on. In the two
    red cases the order comes within 11 ms of the boot.
    """
    assert not play(("orders_carried_out_late", 0.0005), (restart, moment))
