"""Faults of entries, agents and workers lose no job and overlap no runs."""

from __future__ import annotations

import pytest

from briarford.outcomes import Completed, Failed, Refused
from briarford.requests.demand import LATE_SLACK_S
from briarford.runs.sessions import FORGET_SESSION_S
from fleet.worker import StandInWorker
from fleet.world import World, request


def make_world(count: int = 3, entries: int = 2, **faults: str) -> World:
    """Return a world whose entries are attached, with faults by worker."""
    workers = [
        StandInWorker(f"w{n}", fault=faults.get(f"w{n}", ""))
        for n in range(count)
    ]
    world = World(workers, entries)
    world.run(1.0)
    return world


def busiest(world: World) -> str:
    """Return the agent whose worker has the most runs."""
    return max(world.workers, key=lambda name: len(world.workers[name].runs))


def test_calm_jobs_end_in_time():
    """Guards against delays without any fault: each job runs at once."""
    world = make_world()
    for n in range(10):
        world.submit(world.entries[f"e{n % 2}"], request(f"j{n}"))
    world.run(2.0)
    assert len(world.outcomes) == 10
    assert all(isinstance(o, Completed) for _, o in world.outcomes.values())
    assert all(at - 1001.0 < 0.45 for at, _ in world.outcomes.values())
    assert not world.overlaps()


def kill_agent(world: World) -> None:
    node = world.agents[busiest(world)]
    world.kill(node)
    world.after(0.6, lambda: world.restart_agent(node))


def power_off_agent(world: World) -> None:
    world.power_off(world.agents[busiest(world)])


def cut_agent(world: World) -> None:
    world.cut("e0", busiest(world))


def cut_agent_shortly(world: World) -> None:
    cut_agent(world)
    world.after(0.6, world.heal)


def freeze_agent(world: World) -> None:
    world.freeze(world.agents[busiest(world)], 2.5)


def freeze_entry(world: World) -> None:
    world.freeze(world.entries["e0"], 2.5)


def crash_worker(world: World) -> None:
    worker = world.workers[busiest(world)]
    worker.crash(world.now)

    def boot() -> None:
        worker.boot(world.now)

    world.after(1.0, boot)


def crash_worker_for_good(world: World) -> None:
    world.workers[busiest(world)].crash(world.now)


def reset_links(world: World) -> None:
    for link in list(world.links.values()):
        world._close(link)


FAULTS = [
    kill_agent,
    power_off_agent,
    cut_agent,
    cut_agent_shortly,
    freeze_agent,
    freeze_entry,
    crash_worker,
    crash_worker_for_good,
    reset_links,
]


@pytest.mark.parametrize("after_s", [0.0005, 0.003, 0.1, 0.399])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.__name__)
def test_faults_lose_no_job_and_start_none_twice(fault, after_s):
    """Guards against jobs that a single fault loses or runs twice.

    Eight jobs are submitted, and a process, a worker or the network fails
    before, during or at the end of their runs.
    """
    world = make_world()
    for n in range(8):
        world.submit(world.entries["e0"], request(f"j{n}"))
    world.run(after_s)
    fault(world)
    world.run(6.0)
    assert not world.overlaps()
    assert not world.foreign_payloads
    assert len(world.outcomes) == 8
    assert all(isinstance(o, Completed) for _, o in world.outcomes.values())


@pytest.mark.parametrize("how", ["kill", "power_off", "freeze"])
@pytest.mark.parametrize("agent_fault", ["none", "kill", "cut"])
def test_a_repeat_at_another_entry_never_overlaps(how, agent_fault):
    """Guards against a repeated job while runs of the first one go on.

    The client repeats 1.3 s after its connection broke, at another entry.
    """
    world = make_world()
    first, second = world.entries["e0"], world.entries["e1"]
    world.submit(first, request("j", count=4, work_s=3.0))
    world.run(0.5)
    if agent_fault == "cut":
        for name in world.agents:
            world.cut("e0", name)
    if how == "freeze":
        world.freeze(first, 4.0)
        world.client_leaves(first, "j")
    else:
        getattr(world, how)(first)
    if agent_fault == "kill":
        kill_agent(world)
    world.run(1.3)
    world.submit(second, request("j", count=4, work_s=3.0))
    world.run(9.0)
    assert not world.overlaps()
    assert isinstance(world.outcomes["j"][1], Completed)


@pytest.mark.parametrize("late_by", [0.25, 1.5, 4.0])
def test_an_order_carried_out_late_starts_nothing_twice(late_by):
    """Guards against counting an unanswered order as not carried out.

    The worker does not answer the first order of each task, and carries it out
    later, when the task may have been ordered again.
    """
    world = make_world()
    seen: set[str] = set()

    def lose_first(task: str) -> float | None:
        if task in seen:
            return None
        seen.add(task)
        return late_by

    world.unanswered_order_delay = lose_first
    world.submit(world.entries["e0"], request("j", work_s=6.0))
    world.run(10.0)
    assert not world.overlaps()
    assert isinstance(world.outcomes["j"][1], Completed)


@pytest.mark.parametrize("fault", ["fail", "hang"])
def test_a_faulty_worker_fails_no_job(fault):
    """Guards against jobs that fail because of a single worker.

    All runs on one of the workers fail or make no progress; the other workers
    have to get most of the runs.
    """
    world = make_world(w1=fault)
    for n in range(40):
        entry = world.entries[f"e{n % 2}"]
        world.after(
            0.1 * n, lambda e=entry, n=n: world.submit(e, request(f"j{n}"))
        )
    world.run(10.0)
    done = [o for _, o in world.outcomes.values() if isinstance(o, Completed)]
    assert len(done) == 40
    assert not world.overlaps()
    starts = [i for i in world.history() if i.worker == "w1"]
    assert len(starts) < 20


def test_a_job_that_can_never_be_done_ends_after_its_attempts():
    """Guards against endless attempts when runs fail on all workers."""
    world = make_world(w0="fail", w1="fail", w2="fail")
    world.submit(world.entries["e0"], request("j", count=1))
    world.run(3.0)
    assert isinstance(world.outcomes["j"][1], Failed)
    assert len(world.history()) == 3


def test_a_cancelled_job_stops_at_once():
    """Guards against runs that outlive the cancellation of their job."""
    world = make_world()
    world.submit(world.entries["e0"], request("j", work_s=5.0))
    world.run(0.5)
    world.cancel(world.entries["e0"], "j")
    world.run(0.2)
    assert not any(w.runs for w in world.workers.values())


def test_overload_is_refused_at_once_and_workers_are_not_overfilled():
    """Guards against long queues and overfilled workers under overload.

    Twice the capacity arrives at two entries that share the workers.
    """
    world = make_world()
    for n in range(300):
        entry = world.entries[f"e{n % 2}"]
        world.after(
            n / 75, lambda e=entry, n=n: world.submit(e, request(f"j{n}"))
        )
    world.run(10.0)
    assert world.refused
    assert all(
        isinstance(o, Refused) and o.retry_at for o in world.refused.values()
    )
    assert len(world.outcomes) + len(world.refused) == 300
    assert not any(w.rejected_for_capacity for w in world.workers.values())
    assert not world.overlaps()


def test_all_processes_killed_at_once_recover():
    """Guards against a common restart that leaves jobs without an answer.

    The client submits its job again at another entry shortly after the
    processes are up, when runs of the first submission may not have ended.
    """
    world = make_world()
    world.submit(world.entries["e0"], request("old", work_s=3.0))
    world.run(0.3)
    nodes = [*world.entries.values(), *world.agents.values()]
    for node in nodes:
        world.kill(node)
    world.run(0.9)
    for node in world.agents.values():
        world.restart_agent(node)
    for node in world.entries.values():
        world.restart_entry(node)
    world.run(0.4)
    world.submit(world.entries["e1"], request("old", work_s=3.0))
    world.submit(world.entries["e1"], request("new"))
    world.run(6.0)
    assert isinstance(world.outcomes["new"][1], Completed)
    assert isinstance(world.outcomes["old"][1], Completed)
    assert not world.overlaps()


def test_a_restarted_agent_accepts_runs_once_earlier_ones_have_ended():
    """Guards against two runs of one task, and against needless waiting.

    The agent process is replaced while runs ordered by the previous one go on.
    The new one stops them and accepts work then, before their lease expires.
    """
    world = make_world(count=1, entries=1)
    node = world.agents["a0"]
    world.submit(world.entries["e0"], request("j", work_s=3.0))
    world.run(0.3)
    world.kill(node)
    world.run(0.05)
    world.restart_agent(node)
    world.run(0.2)
    assert node.core.accepting(world.now)
    world.run(5.0)
    assert not world.overlaps()
    assert isinstance(world.outcomes["j"][1], Completed)
    # Earlier than if the lease of the earlier runs had to expire first.
    assert world.outcomes["j"][0] < 1001.0 + 0.3 + 0.9 + 3.0


def test_a_restored_worker_is_used_before_its_next_heartbeat():
    """Guards against a restarted agent that does not know its worker.

    The agent starts from the last heartbeat that its previous process stored;
    the next heartbeat replaces it.
    """
    world = make_world(count=1, entries=1)
    node = world.agents["a0"]
    stored = world.workers["a0"].report(world.now)
    world.kill(node)
    world.run(0.1)
    node.core = world._new_agent("a0")
    node.core.restore_worker(stored, 1.0, world.now)
    assert node.core.worker == stored
    node.core.worker_reported(world.workers["a0"].report(world.now), world.now)
    assert node.core.worker.sequence > stored.sequence


def test_an_expired_job_that_has_not_started_is_refused():
    """Guards against clients that wait for an answer of no use.

    The only worker has some free capacity, but never enough for the wide
    task, so the job expires before it starts.
    """
    world = make_world(count=1, entries=2)
    world.submit(world.entries["e0"], request("long", count=7, work_s=8.0))
    world.run(0.1)
    entry = world.entries["e1"]
    world.submit(entry, request("short", work_s=0.1, cpu=20000))
    world.run(0.3)
    # Once late, it ranks behind all tasks that can still be in time.
    assert entry.core._agents.get("a0").demand.slack_s > LATE_SLACK_S
    world.run(2.0)
    at, outcome = world.outcomes["short"]
    assert at < 1001.1 + 3 * (1.6 * 0.1 + 0.06) + 0.3
    assert isinstance(outcome, Refused)
    assert outcome.retry_at is not None
    assert not any(i.task.startswith("short") for i in world.history())


@pytest.mark.parametrize(
    ("up_after_s", "served"), [(0.4, True), (20.0, False)]
)
def test_a_restarted_entry_waits_for_agents(up_after_s, served):
    """Guards against refusals just after a start, before agents are attached.

    If no agent comes up, the job is refused later, and new jobs at once.
    """
    world = make_world()
    for node in [*world.entries.values(), *world.agents.values()]:
        world.kill(node)
    world.run(1.0)
    entry = world.entries["e0"]
    world.restart_entry(entry)
    for node in world.agents.values():
        world.after(up_after_s, lambda n=node: world.restart_agent(n))
    world.run(0.1)
    world.submit(entry, request("j"))
    world.run(3.0)
    outcome = world.outcomes["j"][1]
    assert isinstance(outcome, Completed if served else Refused)
    refused = world.submit(entry, request("k")) if not served else None
    assert served or isinstance(refused, Refused)


def test_nothing_is_refused_while_capacity_is_free():
    """Guards against refusals caused by a single task that does not fit.

    A wide task waits for more capacity than is free, while smaller tasks
    still fit.
    """
    world = make_world(count=1, entries=2)
    world.submit(world.entries["e0"], request("long", count=4, work_s=8.0))
    for n in range(4):
        world.submit(world.entries["e1"], request(f"{n}", work_s=0.01))
        world.run(0.5)
    wide = request("wide", count=1, work_s=4.0, cpu=22000)
    world.submit(world.entries["e0"], wide)
    world.run(0.2)
    assert world.submit(world.entries["e1"], request("j", count=1)) is None


def test_ended_runs_count_after_the_agent_dropped_the_session():
    """Guards against numbers of ended runs that the entry takes for repeats.

    The connection is cut for longer than the agent keeps a session, so the
    agent's new session has to continue their numbers.
    """
    world = make_world(count=1, entries=1)
    entry = world.entries["e0"]
    world.submit(entry, request("before"))
    world.run(1.0)
    world.cut("e0", "a0")
    world.run(FORGET_SESSION_S + 3.0)
    assert not world.agents["a0"].core.state(world.now)["sessions"]
    world.heal()
    world.run(1.5)
    world.submit(entry, request("after"))
    world.run(1.0)
    assert isinstance(world.outcomes["after"][1], Completed)
