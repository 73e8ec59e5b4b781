"""Tasks that crash each worker that starts them, beside ordinary load.

By hand with more seeds: ``CRASH_SEEDS=60 pytest test_crashing_tasks.py``.
"""

from __future__ import annotations

import os
import random

import pytest

from briarford.outcomes import Failed, Outcome, Refused
from briarford.requests import JobRequest
from briarford.runs.agent import CLIENT_RETRY_DELAY_S
from fleet.worker import StandInWorker
from fleet.world import World, request

WORKERS = 8
JOBS = 120
JOBS_PER_S = 12.0
# Once three workers have crashed under a task, three more starts of it are
# not allowed; from two on its job may be given up.
CRASHES = 3
MORE_STARTS = 3
CRASHES_TO_GIVE_UP = 2
SEEDS = range(1, 1 + int(os.environ.get("CRASH_SEEDS", "3")))
# Each had a task that went on crashing workers: its agents and entries were
# killed before the end of the lease, when crashes were reported.
REGRESSION_SEEDS = (69, 74, 85, 87)


def make_world(seed: int, refused: bool, share: float = 0.08) -> World:
    """Return a world in which jobs arrive, some with a task that crashes.

    :param seed: of the arrivals and of the jobs with such a task.
    :param refused: whether connections to a crashed worker are refused; a
        worker that is silent may also be cut off.
    :param share: of the jobs that have such a task.
    """
    rng = random.Random(seed)
    workers = [StandInWorker(f"w{n}") for n in range(WORKERS)]
    world = World(workers, entries=3)
    world.refused_connections = refused
    world.run(1.0)
    at = world.now
    for n in range(JOBS):
        at += rng.expovariate(JOBS_PER_S)
        work_s = rng.choice((0.12, 0.4, 1.8))
        req = request(f"j{n}", count=rng.randint(1, 6), work_s=work_s)
        if rng.random() < share:
            world.deadly[f"j{n}.0.0.0"] = rng.choice((0.01, 0.08))
        world.at(at, lambda w=world, r=req, n=n: submit(w, r, n % 3))
    return world


def submit(world: World, req: JobRequest, n: int) -> None:
    """Submit a job at an entry; if that dies, the client goes to others."""
    entry = world.entries[f"e{n}"]
    if not entry.up:
        world.after(0.1, lambda: submit(world, req, (n + 1) % 3))
        return
    generation = entry.generation
    world.submit(entry, req)

    def repeat() -> None:
        if entry.generation == generation:
            if outcome(world, req.job) is None:
                world.after(0.1, repeat)
            return
        if outcome(world, req.job) is None:
            world.after(
                CLIENT_RETRY_DELAY_S, lambda: submit(world, req, (n + 1) % 3)
            )

    world.after(0.1, repeat)


def outcome(world: World, job: str) -> Outcome | None:
    """Return the outcome of a job; None if it has none."""
    found = world.outcomes.get(job)
    return found[1] if found is not None else world.refused.get(job)


def starts(world: World) -> dict[str, list[float]]:
    """Return the times at which each task was started."""
    found: dict[str, list[float]] = {}
    for interval in world.history():
        found.setdefault(interval.task, []).append(interval.start)
    return found


def crashes(world: World) -> dict[str, list[float]]:
    """Return the times at which a worker crashed under each task."""
    found: dict[str, list[float]] = {}
    for at, tasks in world.crashes:
        for task in tasks:
            found.setdefault(task, []).append(at)
    return found


def check_starts(world: World) -> None:
    """Check that no task goes on crashing workers."""
    started = starts(world)
    for task, times in crashes(world).items():
        if len(times) < CRASHES:
            continue
        later = [t for t in started[task] if t > sorted(times)[CRASHES - 1]]
        assert len(later) < MORE_STARTS, f"{task}: {len(times)} crashes"


def check_given_up(world: World) -> None:
    """Check that each job that failed has a task with crashes enough."""
    crashed = {
        task.partition(".")[0]
        for task, times in crashes(world).items()
        if len(times) >= CRASHES_TO_GIVE_UP
    }
    ended = {j: o for j, (_, o) in world.outcomes.items()}
    failed = {j for j, o in ended.items() if isinstance(o, Failed)}
    assert failed <= crashed


@pytest.mark.parametrize("refused", [True, False], ids=["refused", "silent"])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_task_that_crashes_its_workers_is_given_up(seed, refused):
    """Guards against one task that crashes worker after worker."""
    world = make_world(seed, refused)
    world.run(40.0)
    check_starts(world)
    check_given_up(world)
    assert not world.overlaps()
    started = starts(world)
    for task in world.deadly:
        expected = Failed if task in started else Refused
        assert isinstance(outcome(world, task.partition(".")[0]), expected)


@pytest.mark.parametrize("roles", ["entries", "agents", "entries agents"])
@pytest.mark.parametrize("seed", [*SEEDS, *REGRESSION_SEEDS])
def test_crashes_are_counted_across_processes(seed, roles):
    """Guards against a count that a killed process takes with it."""
    world = make_world(seed, refused=True, share=0.04)
    restarts = [
        (node, restart)
        for role, nodes, restart in (
            ("entries", world.entries, world.restart_entry),
            ("agents", world.agents, world.restart_agent),
        )
        if role in roles
        for node in nodes.values()
    ]
    random.Random(seed).shuffle(restarts)

    def kill(n: int) -> None:
        node, restart = restarts[n % len(restarts)]
        world.kill(node)
        world.after(0.5, lambda: restart(node))

    for n in range(14):
        world.at(world.now + 1.0 + 0.8 * n, lambda n=n: kill(n))
    world.run(40.0)
    check_starts(world)
    check_given_up(world)
    assert not world.overlaps()


@pytest.mark.parametrize("seed", SEEDS)
def test_victims_of_a_crash_do_not_run_beside_each_other(seed):
    """Guards against victims that the task at fault takes down again."""
    world = make_world(seed, refused=True)
    world.run(40.0)
    crashed: set[str] = set()
    for _, tasks in world.crashes:
        victims = {t.partition(".")[0] for t in tasks & crashed}
        assert len(victims) <= 1
        crashed |= tasks
