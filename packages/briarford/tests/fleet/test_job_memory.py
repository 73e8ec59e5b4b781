"""Which jobs are refused when the open ones hold too much."""

from __future__ import annotations

import pytest

from briarford.outcomes import Completed, Failed, Refused
from briarford.requests import Dispatcher, JobEnded
from briarford.requests.job_memory import job_bytes
from fleet.world import ROUTE, request

NOW = 1000.0


def make_core(jobs: int) -> Dispatcher:
    """Return the core of a new entry, with memory for so many jobs."""
    core = Dispatcher("e", "i", max_job_bytes=jobs * job_bytes(request("j0")))
    core.turn(NOW)
    return core


def refused_jobs(core: Dispatcher) -> list[str]:
    ended = [e for e in core.turn(NOW) if isinstance(e, JobEnded)]
    assert all(isinstance(e.outcome, Refused) for e in ended)
    assert all(e.outcome.retry_at > NOW for e in ended)
    return [e.job for e in ended]


@pytest.mark.parametrize(
    ("memory", "started", "given_up", "last_is_refused"),
    [
        pytest.param(3, [], [], False, id="room for all"),
        pytest.param(2, [], ["j0"], False, id="the largest gives way"),
        pytest.param(2, ["j0"], ["j1"], False, id="one with a run does not"),
        pytest.param(2, ["j0", "j1"], [], True, id="all have had a run"),
    ],
)
def test_jobs_without_a_run_make_room(
    memory, started, given_up, last_is_refused
):
    core = make_core(memory)
    for name in ("j0", "j1"):
        assert core.submit(request(name), ROUTE, NOW) is None
        core._jobs[name].started = name in started
    last = core.submit(request("j2", count=1), ROUTE, NOW)
    assert isinstance(last, Refused) is last_is_refused
    assert refused_jobs(core) == given_up
    held = core.state(NOW)["jobs_bytes"]
    assert held == sum(job_bytes(j.request) for j in core._jobs.values())


@pytest.mark.parametrize(
    ("counts", "last", "given_up"),
    [
        ([1, 20, 40], 2, ["j2"]),
        ([1, 20, 40], 39, ["j2"]),
        ([1, 40, 40], 39, ["j1"]),
        ([1, 40, 40], 40, None),
        ([1, 20, 40], 41, None),
        ([1, 2, 3], 4000, None),
    ],
    ids=["smaller", "a little", "first", "as large", "larger", "too large"],
)
def test_the_largest_job_makes_room_unless_the_new_one_is_larger(
    counts, last, given_up
):
    jobs = [request(f"j{n}", count=c) for n, c in enumerate(counts)]
    core = Dispatcher("e", "i", max_job_bytes=sum(map(job_bytes, jobs)) + 99)
    core.turn(NOW)
    for job in jobs:
        assert core.submit(job, ROUTE, NOW) is None
    outcome = core.submit(request("j9", count=last), ROUTE, NOW)
    assert (outcome is None) is (given_up is not None)
    assert refused_jobs(core) == (given_up or [])


@pytest.mark.parametrize(
    ("job", "started", "kind"),
    [
        ("j0", True, Failed),
        ("j0", False, Failed),
        ("j1", False, None),
        ("j1", True, Refused),
    ],
    ids=["repeat, runs", "repeat, waits", "other, waits", "other, runs"],
)
def test_requests_over_the_number_that_may_wait(job, started, kind):
    """A repeat never gets a refusal, as its job may have run."""
    core = make_core(9)
    core.submit(request("j0"), ROUTE, NOW)
    core._jobs["j0"].started = started
    answer = core.make_room(job, NOW)
    assert (None if answer is None else type(answer)) is kind
    assert refused_jobs(core) == (["j0"] if kind is None else [])


def test_outcomes_of_jobs_without_tasks_are_not_kept():
    """Clients could fill the memory with them at any rate."""
    core = make_core(9)
    outcome = core.submit(request("j0", count=0), ROUTE, NOW)
    assert outcome == Completed(())
    core.turn(NOW)
    assert not core._answered
