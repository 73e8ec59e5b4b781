"""Workers and agents that drain, move, restart, disconnect and slow down."""

from __future__ import annotations

import random

import pytest

from briarford.outcomes import Completed
from briarford.runs import AgentAddress, RunListing
from fleet.worker import StandInWorker
from fleet.world import REPORT_PERIOD_S, World, request

TRAFFIC_PERIOD_S = 0.05


def make_world(count: int = 4, entries: int = 2) -> World:
    world = World([StandInWorker(f"w{n}") for n in range(count)], entries)
    world.run(1.0)
    return world


def add_traffic(world: World, seconds: float) -> list[str]:
    """Submit 20 jobs per second, at the entries in rotation.

    :return: the ids of the jobs.
    """
    names = []
    for n in range(int(seconds / TRAFFIC_PERIOD_S)):
        name = f"t{n}"
        names.append(name)
        entry = world.entries[f"e{n % len(world.entries)}"]
        world.after(
            n * TRAFFIC_PERIOD_S,
            lambda e=entry, j=name: world.submit(e, request(j)),
        )
    return names


def assert_all_completed(world: World, jobs: list[str]) -> None:
    assert not world.refused
    outcomes = {j: world.outcomes.get(j, (0.0, None))[1] for j in jobs}
    assert {
        j: o for j, o in outcomes.items() if not isinstance(o, Completed)
    } == {}
    assert not world.overlaps()


def starts(world: World, worker: str, after: float) -> int:
    return sum(i.worker == worker and i.start > after for i in world.history())


def test_a_slowed_worker_gets_little_work():
    """Guards against placing on a worker that has become slow.

    It takes 6.5 times as long from the third second on; its agent has to learn
    that from the run times.
    """
    world = make_world()
    slow = world.workers["a0"]
    jobs = add_traffic(world, 8.0)
    world.run(2.0)
    slow.speed = 1 / 6.5
    world.run(2.0)
    slowness_learnt_at = world.now
    world.run(8.0)
    assert_all_completed(world, jobs)
    fair = len(jobs) * 2 * 4.0 / 8.0 / 4
    assert starts(world, "w0", slowness_learnt_at) < 0.2 * fair


def test_a_recovered_worker_gets_work_again():
    """Guards against a worker that is avoided for good after a slow period."""
    world = make_world()
    slow = world.workers["a0"]
    slow.speed = 1 / 6.5
    jobs = add_traffic(world, 28.0)
    world.run(4.0)
    slow.speed = 1.0
    world.run(27.0)
    assert_all_completed(world, jobs)
    assert world.agents["a0"].core.state(world.now)["worker_slowness"] < 1.5
    assert starts(world, "w0", world.now - 7.0) > 5


@pytest.mark.parametrize("leaves_after_s", [0.2, 1.0])
def test_a_draining_worker_gets_no_runs_and_loses_no_job(leaves_after_s):
    """Guards against runs ordered after a worker announced that it leaves.

    Its VM ends shortly after, with runs that may still be going on.
    """
    world = make_world()
    jobs = add_traffic(world, 6.0)
    world.run(1.0)
    node, worker = world.agents["a0"], world.workers["a0"]
    node.core.worker_reported(
        worker.report(world.now, draining=True), world.now
    )
    worker.draining = True
    drained_at = world.now
    world.run(leaves_after_s)
    worker.crash(world.now)
    node.core.worker_left(worker.name, world.now)
    world.run(8.0)
    assert_all_completed(world, jobs)
    assert not starts(world, "w0", drained_at + 0.05)


def test_an_agent_is_found_at_another_address():
    """Guards against dialing the old address of a replaced agent.

    The agent process ends and another one takes its place at a new address,
    while the worker keeps running.
    """
    world = make_world()
    jobs = add_traffic(world, 6.0)
    world.run(1.0)
    node = world.agents["a0"]
    world.power_off(node)
    world.run(1.0)
    world.addresses["a0"] = AgentAddress("elsewhere:1", "desk")
    world.restart_agent(node)
    world.run(8.0)
    assert_all_completed(world, jobs)
    view = world.entries["e0"].core._agents.get("a0")
    assert view.usable(world.now)
    moved = [
        fields["address"]
        for _, action, fields in world.entries["e0"].events
        if action == "agent-moved"
    ]
    assert moved == ["elsewhere:1"]


@pytest.mark.parametrize("seed", range(4))
def test_repeated_connection_resets_lose_no_job(seed):
    """Guards against orders or reports lost with their connection.

    Every 0.05 s to 0.4 s each connection is reset with a probability of 0.3.
    """
    world = make_world()
    jobs = add_traffic(world, 5.0)
    rng = random.Random(seed)

    def reset_some() -> None:
        for link in list(world.links.values()):
            if rng.random() < 0.3:
                world._close(link)

    at = 0.0
    while at < 5.0:
        at += rng.uniform(0.05, 0.4)
        world.after(at, reset_some)
    world.run(9.0)
    assert_all_completed(world, jobs)


@pytest.mark.parametrize("seed", range(4))
def test_a_worker_that_keeps_restarting_loses_no_job(seed):
    """Guards against runs that are lost when their worker restarts."""
    world = make_world()
    jobs = add_traffic(world, 5.0)
    rng = random.Random(seed)
    worker = world.workers["a0"]

    def flap() -> None:
        if worker.up:
            worker.crash(world.now)
        else:
            worker.boot(world.now)

    for n in range(8):
        world.after(0.3 + 0.6 * n + rng.uniform(0.0, 0.3), flap)
    world.run(12.0)
    assert_all_completed(world, jobs)


@pytest.mark.parametrize("which", ["agent", "entry"])
def test_a_process_that_is_mostly_frozen_loses_no_job(which):
    """Guards against time-outs that a slow process misses again and again.

    The process is frozen for 80 ms of each 100 ms.
    """
    world = make_world()
    jobs = add_traffic(world, 4.0)
    node = world.agents["a0"] if which == "agent" else world.entries["e0"]
    for n in range(40):
        world.after(0.1 * n, lambda: world.freeze(node, 0.08))
    world.run(9.0)
    assert_all_completed(world, jobs)


@pytest.mark.parametrize("late_by", [0.5, 2.0, 5.0])
def test_a_late_order_with_a_full_lease_loses_no_job(late_by):
    """Guards against running a task twice when an order is carried out late.

    The worker grants the late order a whole lease from its arrival, as if it
    had just been sent.
    """
    world = make_world(count=2)
    world.leases_count_from_arrival = True
    world.unanswered_order_delay = lambda task: (
        late_by if task.startswith("t1.") else None
    )
    jobs = [f"t{n}" for n in range(6)]
    for name in jobs:
        world.submit(world.entries["e0"], request(name, work_s=1.0))
    world.run(0.6)
    world.unanswered_order_delay = lambda task: None
    world.run(10.0)
    assert_all_completed(world, jobs)


@pytest.mark.parametrize("restarts", [False, True], ids=["", "with restarts"])
@pytest.mark.parametrize("seed", range(4))
def test_workers_that_shrink_are_not_overloaded(seed, restarts):
    """Guards against starts beyond a capacity that shrinks and grows.

    The workers guard nothing themselves. A shrunk capacity counts from the
    next heartbeat on.
    """
    world = make_world(3)
    rng = random.Random(seed)
    full = 16000
    sizes: dict[str, list[tuple[float, int]]] = {}
    for name, worker in world.workers.items():
        worker.guards = False
        worker.cpu = full
        sizes[name] = [(world.now, full)]
    world.run(REPORT_PERIOD_S)

    def resize(name: str) -> None:
        world.workers[name].cpu = rng.choice((full, full // 2, full // 4))
        sizes[name].append((world.now, world.workers[name].cpu))

    for n in range(30):
        world.after(0.4 * n, lambda: resize(rng.choice(list(sizes))))
    for n in range(6 if restarts else 0):
        node = world.agents[f"a{n % 3}"]
        world.after(2.0 * n + 0.9, lambda k=node: world.kill(k))
        world.after(2.0 * n + 1.3, lambda k=node: world.restart_agent(k))
    add_traffic(world, 12.0)
    world.run(20.0)
    for name, worker in world.workers.items():
        assert len(worker.loads) > 20
        for at, load in worker.loads:
            known_since = at - REPORT_PERIOD_S - 0.1
            last = [s for t, s in sizes[name] if t <= known_since][-1:]
            recent = [s for t, s in sizes[name] if known_since < t <= at]
            assert load <= max([*last, *recent], default=full)
    assert not world.overlaps()


@pytest.mark.parametrize("restores", [False, True])
@pytest.mark.parametrize("after_s", [0.0, 0.002, 0.1, 0.5])
def test_a_worker_that_restarts_as_another_kind_gets_no_former_tasks(
    after_s, restores
):
    """Guards against starts that require a label of the last incarnation.

    Run listings of the new incarnation come before its heartbeat; its agent
    goes on, or has restarted and restored the stored record.
    """
    workers = [StandInWorker(f"w{n}", labels=("a", "r1")) for n in range(2)]
    world = World(workers, entries=1)
    world.run(1.0)
    other, agent = workers[0], world.agents["a0"]
    stored = agent.core.worker
    world.run(0.5)  # the next heartbeat is 1.5 s away
    other.crash(world.now)
    if restores:
        world.kill(agent)
        world.run(0.5)
        world.restart_agent(agent)
        agent.core.restore_worker(stored, 1.0, world.now)
    other.boot(world.now)
    other.labels = ("b", "r1")
    world.run(after_s)
    for n in range(20):
        world.after(
            n * 0.05,
            lambda j=f"j{n}": world.submit(
                world.entries["e0"],
                request(j, count=2, work_s=0.2, required_label="a"),
            ),
        )
    world.run(3.0)
    assert not starts(world, "w0", after=0.0)
    assert_all_completed(world, [f"j{n}" for n in range(20)])
    world.submit(
        world.entries["e0"], request("k", count=1, required_label="b")
    )
    world.run(1.0)
    assert starts(world, "w0", after=0.0) == 1


def test_an_order_that_requires_a_label_is_not_carried_out_without_it():
    """Guards against an order that was sent before the worker restarted."""
    world = World([StandInWorker("w0", labels=("a", "r1"))], entries=1)
    world.run(1.0)
    agent = world.agents["a0"]
    world.submit(
        world.entries["e0"], request("j", count=1, required_label="a")
    )
    listing = RunListing(2, (), (), 0)
    agent.core.listing_received(listing, world.now, world.now)
    assert agent.core.accepting(world.now)
    world.run(0.01)
    assert not starts(world, "w0", after=0.0)
