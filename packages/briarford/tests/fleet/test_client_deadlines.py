"""Jobs whose clients stop waiting by their own account.

An entry may not notice that a client has left: the end of its connection is
lost on the way. The client repeats its request at another entry.
"""

from __future__ import annotations

import math

import pytest

from briarford.outcomes import (
    Completed,
    Failed,
    FailureReason,
    RefusalReason,
    Refused,
)
from briarford.requests import JobEnded, SendToAgent
from briarford.runs import StartRun
from fleet.explore import FAULTS, REPEAT_DELAY_S
from fleet.explore import Case as ExplorerCase
from fleet.worker import StandInWorker
from fleet.world import ROUTE, World, request

DEADLINE_S = 0.8
WORK_S = 4.0
NOW = 1001.0


def make_world(workers: int = 2) -> World:
    world = World([StandInWorker(f"w{n}") for n in range(workers)])
    world.run(1.0)
    return world


class Case(ExplorerCase):
    """One simulation whose first client leaves unnoticed."""

    def submit_jobs(self) -> None:
        """Submit a job that its client repeats after its deadline."""
        world = self.world
        deadline = world.now + DEADLINE_S
        job = request("j", count=2, work_s=WORK_S)
        world.submit(self.entry, job, deadline=deadline)
        world.at(deadline, lambda: world.disconnected.add(("e0", "j")))
        world.at(deadline + REPEAT_DELAY_S, self.repeat_job)

    def repeat_job(self) -> None:
        if not self.repeated:
            self.repeated = True
            job = request("j", count=2, work_s=WORK_S)
            self.world.submit(self.world.entries["e1"], job)


# Faults in which the client leaves otherwise, or submits at other entries.
OTHER_CLIENTS = {"client_is_reset", "client_leaves", "more_requests_come"}


@pytest.mark.parametrize("after_s", [-0.4, -0.05, 0.05, 0.25])
@pytest.mark.parametrize("fault", sorted(FAULTS.keys() - OTHER_CLIENTS))
def test_no_run_of_a_client_that_waits_no_longer_meets_its_repeat(
    fault, after_s
):
    """Guards against two entries with one job, each with live sessions."""
    case = Case()
    began = case.world.now
    case.submit_jobs()
    case.world.at(began + DEADLINE_S + after_s, lambda: FAULTS[fault](case))
    case.world.run(10.0)
    assert not case.world.overlaps()


@pytest.mark.parametrize(
    ("cpu", "kind", "reason"),
    [
        (3100, Failed, FailureReason.DEADLINE_PASSED),
        (50_000, Refused, RefusalReason.DEADLINE_PASSED),
    ],
    ids=["started", "not started"],
)
def test_the_outcome_says_whether_the_job_has_run(cpu, kind, reason):
    world = make_world(1)
    entry = world.entries["e0"]
    job = request("j", work_s=WORK_S, cpu=cpu)
    world.submit(entry, job, deadline=world.now + DEADLINE_S)
    world.run(2.0)
    outcome = world.outcomes["j"][1]
    assert (type(outcome), outcome.reason) == (kind, reason)
    assert bool(world.history()) is (kind is Failed)


@pytest.mark.parametrize(
    ("deadlines_s", "completes"),
    [
        ([math.inf], True),
        ([0.2], False),
        ([0.2, 3.0], True),
        ([0.2, math.inf], True),
        ([3.0, 0.2], True),
    ],
)
def test_a_job_ends_with_the_last_of_its_clients(deadlines_s, completes):
    world = make_world(1)
    for deadline_s in deadlines_s:
        world.submit(
            world.entries["e0"],
            request("j", work_s=0.8),
            deadline=world.now + deadline_s,
        )
    world.run(6.0)
    assert isinstance(world.outcomes["j"][1], Completed) is completes
    assert not world.overlaps()


@pytest.mark.parametrize(("left_s", "runs"), [(0.0, 0), (-1.0, 0), (0.5, 2)])
def test_a_request_that_is_read_too_late_runs_nothing(left_s, runs):
    """Guards against a run for a client that left while the entry stood."""
    world = make_world(1)
    world.submit(
        world.entries["e0"],
        request("j", work_s=0.1),
        deadline=world.now + left_s,
    )
    world.run(2.0)
    assert len(world.history()) == runs
    assert isinstance(world.refused.get("j"), Refused) is (runs == 0)


@pytest.mark.parametrize(
    ("turn_after_s", "orders"), [(0.04, 2), (0.05, 0), (0.06, 0), (0.3, 0)]
)
def test_a_task_is_not_ordered_after_the_deadline(turn_after_s, orders):
    """Guards against runs for nobody while the event loop is busy.

    Jobs past their deadline are ended five times a second only.
    """
    world = make_world(1)
    entry, began = world.entries["e0"], world.now
    world.freeze(entry, 1.0)
    entry.core.turn(began)
    entry.core.submit(request("j"), ROUTE, began, began + 0.05)
    effects = entry.core.turn(began + turn_after_s)
    messages = [e.message for e in effects if isinstance(e, SendToAgent)]
    assert sum(isinstance(m, StartRun) for m in messages) == orders


def test_an_ended_job_and_its_repeat_have_numbers_of_their_own():
    """Guards against a repeat that gets the outcome of the job before it."""
    core = make_world().entries["e0"].core
    core.submit(request("j"), ROUTE, NOW)
    first = core.number_of("j")
    core.cancel("j", NOW)
    assert core.number_of("j") == 0
    core.submit(request("j"), ROUTE, NOW)
    second = core.number_of("j")
    ended = [e.number for e in core.turn(NOW) if isinstance(e, JobEnded)]
    assert ended == [first]
    assert second not in (0, first)


PAUSE_S = 2.0
SILENT_CLIENT_WORK_S = 3.0


@pytest.mark.parametrize("left_after_s", [0.1, 0.7, 1.4])
def test_a_job_waits_after_a_pause_for_the_end_of_its_connection(left_after_s):
    """Guards against a start beside the repeat of a client that has left.

    It has not said how long it waits. It leaves while its entry is paused, and
    TCP delivers the end of the connection as long again after the pause.
    """
    world = make_world()
    entry, other = world.entries["e0"], world.entries["e1"]
    job = request("j", count=2, work_s=SILENT_CLIENT_WORK_S)
    world.submit(entry, job)
    world.freeze(entry, PAUSE_S)
    left_s = PAUSE_S - left_after_s
    world.after(
        left_after_s + REPEAT_DELAY_S, lambda: world.submit(other, job)
    )
    world.after(PAUSE_S + left_s, lambda: world.client_leaves(entry, "j"))
    world.run(12.0)
    assert not world.overlaps()


def test_a_job_whose_client_waits_goes_on_after_a_pause():
    world = make_world()
    entry = world.entries["e0"]
    world.submit(entry, request("j", work_s=SILENT_CLIENT_WORK_S))
    world.freeze(entry, PAUSE_S)
    world.run(12.0)
    assert isinstance(world.outcomes["j"][1], Completed)


@pytest.mark.parametrize("is_repeated", [False, True])
def test_a_repeat_shows_that_a_client_waits_after_a_pause(is_repeated):
    world = make_world()
    entry = world.entries["e0"]
    job = request("j", work_s=SILENT_CLIENT_WORK_S)
    world.submit(entry, job)
    world.freeze(entry, PAUSE_S)
    world.run(PAUSE_S + 0.5)
    if is_repeated:
        world.submit(entry, job)
    world.run(1.5)
    runs = [r for r in world.history() if r.start > world.now - 1.5]
    assert bool(runs) is is_repeated
