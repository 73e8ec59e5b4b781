"""The number of connections of an entry in a large fleet."""

from __future__ import annotations

import msgspec
import pytest

from briarford.requests import DialAgent, Dispatcher, attachments
from briarford.requests.attachments import BASE_CONNECTIONS, MAX_CONNECTIONS
from briarford.runs import (
    AgentAddress,
    AgentHeartbeat,
    Attached,
    EntryHeartbeat,
    WorkerStatus,
)
from fleet.worker import StandInWorker
from fleet.world import LIST_PERIOD_S, World, request

MANY = 60
DECREASE_AFTER_S = 0.5


@pytest.fixture(autouse=True)
def short_bursts(monkeypatch):
    monkeypatch.setattr(attachments, "DECREASE_AFTER_S", DECREASE_AFTER_S)


def make_world(count: int = MANY, entries: int = 1, **kwargs) -> World:
    workers = [StandInWorker(f"w{n}", **kwargs) for n in range(count)]
    world = World(workers, entries)
    world.run(1.0)
    return world


def attached(world: World, entry: str = "e0") -> set[str]:
    core = world.entries[entry].core
    return {v.name for v in core._agents if v.attached}


@pytest.mark.parametrize(
    ("count", "expected"),
    [(11, 11), (BASE_CONNECTIONS, BASE_CONNECTIONS), (MANY, BASE_CONNECTIONS)],
)
def test_an_entry_attaches_to_a_bounded_number_of_agents(count, expected):
    """Guards against connections that grow with the fleet."""
    assert len(attached(make_world(count))) == expected


def test_heartbeats_do_not_grow_with_the_fleet():
    """Guards against heartbeats that grow with the number of agents."""

    def heartbeats(count: int) -> int:
        world = make_world(count)
        began = world.sent.copy()
        world.run(1.0)
        kinds = (AgentHeartbeat, EntryHeartbeat)
        return sum(world.sent[k] - began[k] for k in kinds)

    assert heartbeats(MANY) <= 1.1 * heartbeats(BASE_CONNECTIONS)


def test_entries_attach_to_different_agents():
    """Guards against entries that all choose the same agents."""
    world = make_world(entries=6)
    sets = [attached(world, f"e{n}") for n in range(6)]
    assert len(set.union(*sets)) > 0.8 * MANY


@pytest.mark.parametrize("end", ["kill", "power_off"])
def test_lost_agents_are_replaced_by_others(end):
    """Guards against a lasting lack of connections after agents failed.

    Ten attached agents end, with or without a reset of their connections.
    Others must replace them, and the number of connections must return to the
    target once the ten are up again.
    """
    world = make_world()
    lost = sorted(attached(world))[:10]
    for name in lost:
        getattr(world, end)(world.agents[name])
    world.run(1.5)
    now = attached(world)
    assert len(now - set(lost)) == BASE_CONNECTIONS
    for name in lost:
        world.restart_agent(world.agents[name])
    world.run(2 * DECREASE_AFTER_S)
    assert len(attached(world)) == BASE_CONNECTIONS


def test_draining_workers_are_replaced_by_others():
    """Guards against counting agents whose workers accept no runs."""
    world = make_world()
    for name in sorted(attached(world))[:10]:
        world.agents[name].core.stopping = True
    world.run(1.0)
    entry = world.entries["e0"].core
    accepting = [v for v in entry._agents if v.usable(world.now)]
    assert len(accepting) == BASE_CONNECTIONS


def test_tasks_without_free_capacity_raise_the_connections_for_a_while():
    """Guards against a target that stays low in a burst or high after it."""
    world = make_world(cpu=4000)
    for n in range(2 * BASE_CONNECTIONS):
        world.submit(world.entries["e0"], request(f"j{n}", count=1))
    world.run(0.7)
    assert BASE_CONNECTIONS < len(attached(world)) <= MAX_CONNECTIONS
    world.run(5.0)
    assert len(world.outcomes) == 2 * BASE_CONNECTIONS
    world.run(4 * DECREASE_AFTER_S)
    assert len(attached(world)) == BASE_CONNECTIONS


def test_a_connection_with_runs_stays_open():
    """Guards against closing a surplus connection whose agent runs tasks."""
    world = make_world()
    world.submit(world.entries["e0"], request("long", work_s=3.0))
    world.run(0.1)
    busy = next(
        v.name for v in world.entries["e0"].core._agents if v.dispatches
    )
    view = world.entries["e0"].core._agents.get(busy)
    view.rank = 1 << 64  # behind all other agents, so no longer needed
    world.run(2 * DECREASE_AFTER_S)
    assert busy in attached(world)
    world.run(4.0)
    assert "long" in world.outcomes
    assert busy not in attached(world)


def test_a_worker_beyond_the_target_is_found_by_its_label():
    """Guards against a job that waits for ever for a label of few workers.

    No attached worker has the label, so the target has to exceed its maximum.
    """
    world = make_world()
    core = world.entries["e0"].core
    other = sorted(set(world.agents) - attached(world))[0]
    world.workers[other].labels = ("rack-9",)
    world.run(2.0)
    req = request("j", required_label="rack-9")
    world.submit(world.entries["e0"], req)
    world.run(1.5)
    assert "j" in world.outcomes, core.state(world.now)


def test_an_agent_that_is_gone_is_dialed_ever_less():
    """Guards against dialing a dead agent many times a second for good.

    On the users' bench one dead agent was dialed 35 times a second by four
    entries. One that restarts is found again within its usual second.
    """
    world = make_world(3)
    gone = world.agents["a0"]
    world.kill(gone)
    world.run(attachments.RESTART_S + 1.0)
    world.dials.clear()
    world.run(10.0)
    assert 1 <= world.dials["a0"] <= 10.0 / attachments.GONE_REDIAL_DELAY_S
    world.restart_agent(gone)
    world.run(LIST_PERIOD_S + 0.2)
    assert "a0" in attached(world)


NOW = 1000.0
STATUS = WorkerStatus("w", "desk", "a", (), True, 8000, 8000, 99, 0, 1.0, 0)


def dials(core, at):
    return [
        (e.agent, e.address) for e in core.turn(at) if isinstance(e, DialAgent)
    ]


def attach(core, agent, link, at):
    core.link_up(agent, link, at)
    core.handle(link, Attached("a", "i", (), at), at)
    core.handle(link, STATUS, at)


@pytest.mark.parametrize("first", ["a", "stray"])
def test_an_agent_is_not_attached_under_a_second_name(first):
    """Guards against two connections that take one session in turns.

    A record of another writer names the address of an agent.
    """
    core = Dispatcher("e", "i")
    here = AgentAddress("10.0.0.1:1", "desk")
    second = "a" if first == "stray" else "stray"
    core.agents_listed({"a": here, "stray": here}, NOW)
    assert len(dials(core, NOW)) == 2
    attach(core, first, 1, NOW)
    attach(core, second, 2, NOW + 0.01)
    at = NOW + 0.02
    if "a" in dict(dials(core, at)):
        attach(core, "a", 3, at)
    for _ in range(100):
        at += 0.1
        core.handle(3 if first == "a" else 2, STATUS, at)
        assert not dials(core, at)
    assert {v.name for v in core._agents if v.usable(at)} == {"a"}
    for address, incarnation in (("10.0.0.2:1", ""), ("10.0.0.1:1", "i2")):
        listed = AgentAddress(address, "desk", incarnation)
        core.agents_listed({"stray": listed}, at)
        assert dials(core, at) == [("stray", address)]
        core.link_down("stray", None, at)
        at += 0.2
        core.handle(3 if first == "a" else 2, STATUS, at)


@pytest.mark.parametrize("accepts", [True, False])
def test_an_agent_that_is_in_use_is_not_left_for_another_address(accepts):
    """Guards against an outage while a record is overwritten.

    A process that has been replaced accepts no runs, and the address of the
    next one is dialed.
    """
    core = Dispatcher("e", "i")
    core.agents_listed({"a": AgentAddress("10.0.0.1:1", "desk")}, NOW)
    core.turn(NOW)
    attach(core, "a", 1, NOW)
    core.agents_listed({"a": AgentAddress("10.0.0.9:1", "desk")}, NOW + 0.1)
    assert not dials(core, NOW + 0.1)
    assert core._agents.get("a").usable(NOW + 0.1)
    status = msgspec.structs.replace(STATUS, accepting=accepts)
    core.handle(1, status, NOW + 0.2)
    expected = [] if accepts else [("a", "10.0.0.9:1")]
    assert dials(core, NOW + 0.3) == expected
    assert dials(core, NOW + 2.0) == ([("a", "10.0.0.9:1")] if accepts else [])
