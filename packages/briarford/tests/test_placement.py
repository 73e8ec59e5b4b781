from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from briarford.jobs import JobSpec, TaskRef, TaskSpec
from briarford.limits import LimitConfig
from briarford.outcomes import RefusalReason
from briarford.placement import (
    Placed,
    PlacementConfig,
    Placer,
    QueuedTask,
    TeamQuota,
)
from briarford.sessions import TaskStatus, WorkerInfo

NOW = 1000.0
SMALL = TaskSpec(b"{}", 1.0, 100)
LARGE = TaskSpec(b"{}", 64.0, 100)


def make_placer(
    workers: int = 2,
    strategy: str = "soonest-end",
    placement: PlacementConfig | None = None,
    limits: LimitConfig | None = None,
) -> Placer:
    placer = Placer(
        "entry",
        "near",
        random.Random(1),
        strategy,
        placement=placement,
        limits=limits,
    )
    for number in range(workers):
        add_worker(placer, f"w{number}")
    return placer


def add_worker(placer: Placer, name: str, zone: str = "near") -> None:
    placer.set_worker(name, zone, WorkerInfo("desk", 8, 32.0, 64_000))


def make_tasks(
    job: str,
    count: int,
    team: str = "a",
    deadline: float = NOW + 60,
    queued_at: float = NOW,
    spec: TaskSpec = SMALL,
) -> list[QueuedTask]:
    return [
        QueuedTask(TaskRef(job, i), spec, "desk", team, deadline, queued_at)
        for i in range(count)
    ]


def make_spec(
    tasks: int = 1,
    service: str = "desk",
    deadline: float = NOW + 60,
    spec: TaskSpec = SMALL,
) -> JobSpec:
    return JobSpec("job", service, "a", deadline, (spec,) * tasks)


def end(placer: Placer, placed: Placed, run_ms: float = 100.0) -> None:
    placer.observe(placed.worker, placed.task, TaskStatus.DONE, run_ms, NOW)


def teach(placer: Placer, worker: str, run_ms: float, results: int) -> None:
    """Run one-task jobs of a team on one worker only."""
    for number in range(results):
        (task,) = make_tasks(f"teach-{worker}-{number}", 1)
        placer.observe(worker, task, TaskStatus.DONE, run_ms, NOW)


def jobs_of(placed: list[Placed]) -> list[str]:
    return [p.task.ref.job_id for p in placed]


@pytest.mark.parametrize(
    ("spec", "queued", "limits", "reason"),
    [
        pytest.param(make_spec(), 0, LimitConfig(), None, id="admitted"),
        pytest.param(
            make_spec(service="none"),
            0,
            LimitConfig(),
            RefusalReason.UNKNOWN_SERVICE,
            id="unknown-service",
        ),
        pytest.param(
            make_spec(spec=LARGE),
            0,
            LimitConfig(),
            RefusalReason.NO_WORKER_FITS,
            id="no-worker-fits",
        ),
        pytest.param(
            make_spec(deadline=NOW),
            0,
            LimitConfig(),
            RefusalReason.DEADLINE_PASSED,
            id="deadline-passed",
        ),
        pytest.param(
            make_spec(deadline=NOW + 1),
            500,
            LimitConfig(),
            RefusalReason.DEADLINE_UNREACHABLE,
            id="deadline-unreachable",
        ),
        pytest.param(
            make_spec(deadline=NOW + 1),
            500,
            LimitConfig(refuse_unreachable=False),
            None,
            id="deadline-not-checked",
        ),
        pytest.param(
            make_spec(tasks=2),
            9,
            LimitConfig(max_queued=10),
            RefusalReason.QUEUE_FULL,
            id="queue-full",
        ),
        pytest.param(
            make_spec(tasks=11),
            0,
            LimitConfig(max_queued=10),
            RefusalReason.QUEUE_FULL,
            id="job-too-large",
        ),
    ],
)
def test_admission(
    spec: JobSpec,
    queued: int,
    limits: LimitConfig,
    reason: RefusalReason | None,
) -> None:
    placer = make_placer(limits=limits)
    placer.enqueue(make_tasks("queued", queued))
    refused = placer.admit(spec, NOW)
    assert (refused.reason if refused else None) is reason


def test_admission_counts_on_slots_that_it_holds() -> None:
    placer = make_placer(2)
    placer.set_entry_count(4)
    spec = make_spec(tasks=16, deadline=NOW + 1.5)
    for worker in ("w0", "w1"):
        placer.add_credits(worker, 8)
    assert placer.admit(spec, NOW) is None
    for worker in ("w0", "w1"):
        placer.return_credits(worker, 8)
    assert placer.admit(spec, NOW) is not None


def test_a_team_keeps_its_part_of_a_full_queue() -> None:
    placer = make_placer(limits=LimitConfig(max_queued=10))
    placer.enqueue(make_tasks("flood", 10, team="b"))
    assert placer.admit(make_spec(tasks=5), NOW) is None
    assert placer.admit(make_spec(tasks=6), NOW) is not None


@pytest.mark.parametrize(
    ("queue", "quotas", "credits", "expected"),
    [
        pytest.param(
            [make_tasks("long", 40), make_tasks("short", 1)],
            {},
            1,
            {"short": 1},
            id="least-work-first",
        ),
        pytest.param(
            [
                make_tasks("long", 40, queued_at=NOW - 60),
                make_tasks("short", 1),
            ],
            {},
            1,
            {"long": 1},
            id="long-wait-beats-short-job",
        ),
        pytest.param(
            [
                make_tasks("early", 1, queued_at=NOW - 1),
                make_tasks("urgent", 1, deadline=NOW + 0.4),
            ],
            {},
            1,
            {"urgent": 1},
            id="close-deadline-first",
        ),
        pytest.param(
            [make_tasks("a", 20), make_tasks("b", 20, team="b")],
            {"a": TeamQuota(3.0), "b": TeamQuota(1.0)},
            8,
            {"a": 6, "b": 2},
            id="teams-by-share",
        ),
        pytest.param(
            [make_tasks("a", 20), make_tasks("b", 20, team="b")],
            {"a": TeamQuota(3.0, max_running=2)},
            8,
            {"a": 2, "b": 6},
            id="team-at-its-quota",
        ),
    ],
)
def test_order(
    queue: list[list[QueuedTask]],
    quotas: dict[str, TeamQuota],
    credits: int,
    expected: dict[str, int],
) -> None:
    placer = make_placer(1, placement=PlacementConfig(quotas=quotas))
    for tasks in queue:
        placer.enqueue(tasks)
    placer.add_credits("w0", credits)
    assert Counter(jobs_of(placer.place(NOW))) == expected


def test_a_team_that_was_away_claims_nothing_for_it() -> None:
    placer = make_placer(1)
    placer.enqueue(make_tasks("a", 200))
    placer.add_credits("w0", 100)
    placer.place(NOW)
    placer.enqueue(make_tasks("b", 100, team="b"))
    placer.add_credits("w0", 8)
    assert Counter(jobs_of(placer.place(NOW))) == {"a": 4, "b": 4}


def test_the_faster_worker_is_taken_first() -> None:
    placer = make_placer(2)
    teach(placer, "w0", 300.0, 20)
    teach(placer, "w1", 100.0, 20)
    placer.add_credits("w0", 1)
    placer.add_credits("w1", 1)
    placer.enqueue(make_tasks("job", 1))
    assert [p.worker for p in placer.place(NOW)] == ["w1"]


@pytest.mark.parametrize(
    ("waiting", "leave", "placed"),
    [
        pytest.param(1, True, 0, id="one-task-waits-for-fast"),
        pytest.param(200, True, 1, id="many-tasks-use-slow"),
        pytest.param(1, False, 1, id="switched-off"),
    ],
)
def test_slow_slot(waiting: int, leave: bool, placed: int) -> None:
    cfg = PlacementConfig(leave_slow_slots=leave)
    placer = make_placer(2, placement=cfg)
    teach(placer, "w0", 100.0, 40)
    teach(placer, "w1", 1000.0, 40)
    placer.add_credits("w0", 8)
    placer.enqueue(make_tasks("running", 8))
    assert len(placer.place(NOW)) == 8
    placer.enqueue(make_tasks("job", waiting))
    placer.add_credits("w1", 1)
    assert len(placer.place(NOW)) == placed


@pytest.mark.parametrize(
    ("penalty_ms", "chosen"),
    [
        pytest.param(0.0, "far", id="response-first"),
        pytest.param(400.0, "near", id="own-zone-first"),
    ],
)
def test_availability_zone(penalty_ms: float, chosen: str) -> None:
    cfg = PlacementConfig(zone_penalty_ms=penalty_ms)
    placer = make_placer(0, placement=cfg)
    add_worker(placer, "near", "near")
    add_worker(placer, "far", "far")
    teach(placer, "near", 200.0, 20)
    teach(placer, "far", 100.0, 20)
    placer.add_credits("near", 1)
    placer.add_credits("far", 1)
    placer.enqueue(make_tasks("job", 1))
    assert [p.worker for p in placer.place(NOW)] == [chosen]


def test_a_failing_worker_gets_one_probe_at_a_time() -> None:
    placer = make_placer(4)
    for number in range(4):
        teach(placer, f"w{number}", 100.0, 20)
    for number in range(4):
        (task,) = make_tasks(f"bad-{number}", 1)
        placer.observe("w0", task, TaskStatus.FAILED, 1.0, NOW)
    placer.add_credits("w0", 8)
    placer.enqueue(make_tasks("job", 8))
    assert placer.place(NOW) == []
    assert placer.demand_for_worker("w0", NOW) == 0
    assert [p.worker for p in placer.place(NOW + 1.0)] == ["w0"]
    (verdict,) = placer.pop_throttle_changes()
    assert verdict.worker == "w0"


def test_a_rejected_start_clears_the_spare_slots() -> None:
    placer = make_placer(1)
    placer.set_spare("w0", 3)
    placer.enqueue(make_tasks("job", 4))
    first = placer.place(NOW)
    assert len(first) == 3
    placer.set_spare("w0", 3)
    task = first[0].task
    placer.observe("w0", task, TaskStatus.NOT_STARTED, 0.0, NOW)
    assert placer.place(NOW) == []


def test_tasks_wait_while_only_a_worker_that_fits_is_gone() -> None:
    placer = make_placer(1)
    placer.enqueue(make_tasks("job", 3))
    placer.remove_worker("w0")
    add_worker(placer, "w9")
    placer.add_credits("w9", 8)
    assert len(placer.place(NOW)) == 3


class PlacerMachine(RuleBasedStateMachine):
    """Every task waits, runs or ended, and a credit is spent once."""

    def __init__(self) -> None:
        super().__init__()
        self.placer = make_placer(3)
        self.credits = Counter({"w0": 0, "w1": 0, "w2": 0})
        self.waiting: set[TaskRef] = set()
        self.running: dict[TaskRef, Placed] = {}
        self.now = NOW
        self.number = 0

    @rule(count=st.integers(1, 20), team=st.sampled_from("abc"))
    def enqueue(self, count: int, team: str) -> None:
        self.number += 1
        tasks = make_tasks(f"job-{self.number}", count, team)
        self.placer.enqueue(tasks)
        self.waiting |= {t.ref for t in tasks}

    @rule(worker=st.sampled_from(["w0", "w1", "w2"]), count=st.integers(1, 8))
    def grant(self, worker: str, count: int) -> None:
        if worker in self.placer.workers:
            self.placer.add_credits(worker, count)
            self.credits[worker] += count

    @rule(worker=st.sampled_from(["w0", "w1", "w2"]), count=st.integers(1, 8))
    def recall(self, worker: str, count: int) -> None:
        returned = self.placer.return_credits(worker, count)
        assert returned == min(count, self.credits[worker])
        self.credits[worker] -= returned

    @rule(worker=st.sampled_from(["w0", "w1", "w2"]))
    def reattach(self, worker: str) -> None:
        self.placer.remove_worker(worker)
        add_worker(self.placer, worker)
        self.credits[worker] = 0

    @rule(step_s=st.floats(0.0, 2.0))
    def place(self, step_s: float) -> None:
        self.now += step_s
        for placed in self.placer.place(self.now):
            self.waiting.remove(placed.task.ref)
            self.running[placed.task.ref] = placed
            self.credits[placed.worker] -= 1
            assert self.credits[placed.worker] >= 0

    @rule(
        data=st.data(),
        status=st.sampled_from([TaskStatus.DONE, TaskStatus.FAILED]),
        run_ms=st.floats(1.0, 5000.0),
    )
    def end(
        self, data: st.DataObject, status: TaskStatus, run_ms: float
    ) -> None:
        if not self.running:
            return
        ref = data.draw(st.sampled_from(sorted(self.running, key=str)))
        placed = self.running.pop(ref)
        self.placer.observe(
            placed.worker, placed.task, status, run_ms, self.now
        )

    @rule(data=st.data())
    def drop(self, data: st.DataObject) -> None:
        if not self.waiting:
            return
        job = data.draw(
            st.sampled_from(sorted({r.job_id for r in self.waiting}))
        )
        dropped = set(self.placer.drop_job(job))
        assert dropped == {r for r in self.waiting if r.job_id == job}
        self.waiting -= dropped

    @invariant()
    def tasks_are_conserved(self) -> None:
        assert self.placer.demand("desk") == len(self.waiting)
        demand = self.placer.team_demand()
        assert sum(demand.values()) == len(self.waiting) + len(self.running)


TestPlacer = PlacerMachine.TestCase
TestPlacer.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
