"""When processes of a large fleet need a turn, and that nothing is missed."""

from __future__ import annotations

import pytest

from briarford.requests import Dispatcher
from briarford.runs import (
    AgentHeartbeat,
    Attach,
    Attached,
    CapacityOffer,
    Demand,
    EntryHeartbeat,
    OrderResult,
    RunAgent,
    RunEnd,
    RunEnded,
    RunListing,
    StartRun,
    WorkerStatus,
)
from briarford.runs.agent import HEARTBEAT_PERIOD_S
from briarford.runs.contact import UNRESPONSIVE_AFTER_S
from fleet.load import play
from fleet.worker import StandInWorker
from fleet.world import TICK_S, World, request

NOW = 1000.0
LINK = 1
STATUS = WorkerStatus("w", "desk", "a", (), True, 9, 9, 9, 0, 1.0, 0, 9)


def _agent() -> RunAgent:
    """Return an agent with an entry, after a turn."""
    agent = RunAgent("a", "i")
    agent.has_token = True
    agent.worker_reported(StandInWorker("w").report(NOW), NOW)
    agent.listing_received(RunListing(1, (), ()), NOW, NOW)
    agent.attach(LINK, Attach("e", "i", 1, 0.0), NOW)
    agent.handle(LINK, EntryHeartbeat(NOW, 0), NOW)
    agent.turn(NOW)
    return agent


@pytest.mark.parametrize(
    ("message", "needed"),
    [
        (EntryHeartbeat(NOW, 0), False),
        (Demand(3000, 0.1), True),
        (StartRun(1, "j.0.0.0", 1, "p", 3000, 1, 0, 0.5), True),
    ],
    ids=["heartbeat", "demand", "start"],
)
def test_an_agent_has_a_turn_after_what_may_change_a_decision(message, needed):
    agent = _agent()
    agent.handle(LINK, message, NOW + 0.01)
    assert agent.needs_turn(NOW + 0.01) is needed
    assert agent.needs_turn(NOW + HEARTBEAT_PERIOD_S)


@pytest.mark.parametrize(
    ("result", "after_s", "needed"),
    [
        (OrderResult.STARTED, 0.01, False),
        # The worker had not answered for so long that it got no runs.
        (OrderResult.STARTED, UNRESPONSIVE_AFTER_S + 0.1, True),
        (OrderResult.NO_ROOM, 0.01, True),
        (OrderResult.UNANSWERED, 0.01, True),
    ],
)
def test_a_confirmed_start_needs_no_turn(result, after_s, needed):
    agent = _agent()
    order = StartRun(1, "j.0.0.0", 1, "p", 3000, 1, 0, 0.5)
    agent.handle(LINK, order, NOW)
    agent.turn(NOW + after_s - 0.005)
    agent.order_answered(1, result, NOW + after_s)
    assert agent.needs_turn(NOW + after_s) is needed


@pytest.mark.parametrize(
    ("message", "needed"),
    [
        (AgentHeartbeat(NOW), False),
        (STATUS, False),
        (CapacityOffer(3000), True),
        (RunEnded(1, 1, RunEnd.NO_ROOM, 0.0), True),
    ],
    ids=["heartbeat", "status", "offer", "end"],
)
def test_an_entry_has_a_turn_after_what_may_change_a_decision(message, needed):
    world = World([StandInWorker("w")], 1)
    world.run(0.5)
    node = world.entries["e0"]
    world.cut("e0", "a0")
    if isinstance(message, RunEnded):
        world.submit(node, request("j", count=1))
    core: Dispatcher = node.core
    core.turn(world.now)
    (link,) = world.links
    core.handle(link, message, world.now)
    assert core.needs_turn(world.now) is needed
    assert core.needs_turn(world.now + HEARTBEAT_PERIOD_S)


def test_a_message_makes_a_waiting_task_start_at_once():
    """A status may show room for a task that waits."""
    world = World([StandInWorker("w", cpu=3000)], 1)
    world.run(0.5)
    node = world.entries["e0"]
    core: Dispatcher = node.core
    world.submit(node, request("j", count=2, cpu=2000))
    (link,) = world.links
    core.handle(link, STATUS, world.now)
    assert core.needs_turn(world.now)


def _decisions(world: World) -> list[object]:
    nodes = [*world.entries.values(), *world.agents.values()]
    return [
        (node.name, event) for node in nodes for event in node.events
    ] + sorted((job, at) for job, (at, _) in world.outcomes.items())


@pytest.mark.parametrize("load", [1.0, 1.8])
def test_turns_that_are_left_out_would_have_decided_nothing(monkeypatch, load):
    """Many small messages on workers with room, and more than they can run.

    The replay with a turn after each message makes the same decisions at the
    same times.
    """
    _, world = play(load, 1.5, fleet="three workers")
    for core in (Dispatcher, RunAgent):
        monkeypatch.setattr(core, "needs_turn", lambda self, now: True)
    _, every_turn = play(load, 1.5, fleet="three workers")
    assert _decisions(world) == _decisions(every_turn)


def test_most_messages_to_an_entry_need_no_turn(monkeypatch):
    turns = 0
    turn = Dispatcher.turn

    def count_turn(core, now):
        nonlocal turns
        turns += 1
        return turn(core, now)

    monkeypatch.setattr(Dispatcher, "turn", count_turn)
    world = World([StandInWorker(f"w{n}") for n in range(24)], 1)
    world.run(2.0)
    received = sum(world.sent[kind] for kind in (AgentHeartbeat, WorkerStatus))
    ticks = 2.0 / TICK_S + 24
    assert world.sent[Attached] == 24
    assert turns - ticks < received / 2
