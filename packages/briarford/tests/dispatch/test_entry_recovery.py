"""Entry core: lost agents, rejected tasks, retries and cancellations."""

from __future__ import annotations

import random

import pytest

from briarford.dispatch import EntryCore
from briarford.dispatch.messages import (
    AgentAttached,
    AgentBatchArrived,
    AgentLost,
    CancelJob,
    JobEnded,
    SendToAgent,
    Tick,
)
from briarford.jobs import JobSpec, TaskSpec
from briarford.limits import LimitConfig
from briarford.outcomes import Failed, RefusalReason, Refused
from briarford.placement import PlacementConfig, Placer
from briarford.sessions import AgentBatch, Hello, TaskResult, WorkerInfo
from briarford.sessions.messages import TaskStatus

NOW = 1000.0


class Driver:
    """Passes messages to an entry core and collects its effects."""

    def __init__(self) -> None:
        rng = random.Random(0)
        placer = Placer("e", "zone", rng)
        self.core = EntryCore("e", "e-1", placer, rng)
        self.effects: list[object] = []
        self.seqs: dict[int, int] = {}

    def deliver(self, message: object, now: float = NOW) -> list[object]:
        self.core.receive(message, now)
        new = self.core.turn(now)
        self.effects += new
        return new

    def batch(self, conn: int, now: float = NOW, **fields: object):
        self.seqs[conn] = self.seqs.get(conn, 0) + 1
        batch = AgentBatch(self.seqs[conn], **fields)
        return self.deliver(AgentBatchArrived(conn, batch), now)

    def attach(self, conn: int, agent: str, slots: int, now: float = NOW):
        self.core.receive(AgentAttached(conn), now)
        hello = Hello(agent, f"{agent}-1", conn, "zone")
        worker = WorkerInfo("desk", slots, 8.0, 8000)
        return self.batch(conn, now, hello=hello, worker=worker, credits=slots)

    def submit(
        self,
        job_id: str,
        tasks: int,
        now: float = NOW,
        idempotent: bool = False,
    ) -> None:
        all_tasks = (TaskSpec(b"1"),) * tasks
        spec = JobSpec(
            job_id, "desk", "team", now + 60.0, all_tasks, idempotent
        )
        assert self.core.submit(spec, now) is None
        self.deliver(Tick(), now)


def sent(effects: list[object], kind: str) -> list[object]:
    batches = [e.batch for e in effects if isinstance(e, SendToAgent)]
    return [item for batch in batches for item in getattr(batch, kind)]


def outcomes(effects: list[object]) -> list[object]:
    return [e.outcome for e in effects if isinstance(e, JobEnded)]


def test_leaving_batch_is_confirmed_without_waiting_for_a_heartbeat():
    """A stopping agent waits for this confirmation before it exits."""
    entry = Driver()
    entry.attach(1, "a", 1)
    [sent] = [
        e for e in entry.batch(1, leaving=True) if isinstance(e, SendToAgent)
    ]
    assert sent.batch.received_seq == 2


def test_retries_of_idempotent_requests_stay_within_the_budget():
    """When an agent loses many attempts at once, retrying all of them would
    add load to a service that is failing.
    """
    entry = Driver()
    limits = LimitConfig(retry_share=0.0, budget_burst=2.0)
    entry.core.configure(PlacementConfig(), limits)
    entry.attach(1, "a", 5)
    for job in range(5):
        entry.submit(f"job-{job}", 1, idempotent=True)
    lost = tuple(
        TaskResult(s.ref, TaskStatus.LOST)
        for s in sent(entry.effects, "starts")
    )
    assert len(lost) == 5
    assert len(outcomes(entry.batch(1, results=lost))) == 3


def test_agent_that_attaches_again_gets_the_cancels_it_missed():
    """The job was cancelled while the agent had no session, so no cancel could
    be sent; without one in the next session its tasks would run on.
    """
    entry = Driver()
    entry.attach(1, "a", 2)
    entry.submit("job", 2)
    entry.deliver(AgentLost(1))
    entry.deliver(CancelJob("job"))
    effects = entry.attach(2, "a", 0, NOW + 1.0)
    assert [r.index for r in sent(effects, "cancels")] == [0, 1]


def test_cancels_are_sent_only_to_agents_that_run_the_job():
    """Cancels to all agents would cost a message each."""
    entry = Driver()
    for conn in range(1, 5):
        entry.attach(conn, f"a{conn}", 1 if conn < 3 else 0)
    entry.submit("job", 2)
    effects = entry.deliver(CancelJob("job"))
    notified = {
        e.conn
        for e in effects
        if isinstance(e, SendToAgent) and e.batch.cancels
    }
    assert notified == {1, 2}


def test_task_that_is_rejected_repeatedly_is_sent_with_growing_delay():
    """Otherwise entry and agent would pass the task back and forth without
    pause as long as the agent rejects it.
    """
    entry = Driver()
    entry.attach(1, "a", 1)
    entry.submit("job", 1)
    starts = 0
    now = NOW
    while now < NOW + 2.0:
        new = sent(entry.effects, "starts")
        entry.effects.clear()
        starts += len(new)
        not_started = tuple(
            TaskResult(s.ref, TaskStatus.NOT_STARTED) for s in new
        )
        entry.batch(1, now, results=not_started, credits=len(new))
        now += 0.001
    assert 3 < starts < 15


@pytest.mark.parametrize(
    ("tasks", "slots", "kind"),
    [
        pytest.param(1, 0, Refused, id="nothing-sent"),
        pytest.param(2, 1, Failed, id="one-sent"),
    ],
)
def test_job_without_workers_ends_before_its_deadline(tasks, slots, kind):
    """A job must not keep its client waiting when its only worker is lost. It
    is refused only if none of its tasks can have started.
    """
    entry = Driver()
    entry.attach(1, "a", slots)
    entry.submit("job", tasks)
    entry.deliver(AgentLost(1))
    assert outcomes(entry.deliver(Tick(), NOW + 4.9)) == []
    [outcome] = outcomes(entry.deliver(Tick(), NOW + 5.1))
    assert isinstance(outcome, kind)
    if kind is Refused:
        assert outcome.reason is RefusalReason.WORKERS_LOST
        assert outcome.retry_at > NOW


def test_job_survives_when_a_worker_returns_in_time():
    """A short disconnection of the only worker must not end the job."""
    entry = Driver()
    entry.attach(1, "a", 0)
    entry.submit("job", 1)
    entry.deliver(AgentLost(1))
    effects = entry.attach(2, "a", 1, NOW + 3.0)
    assert len(sent(effects, "starts")) == 1
    assert outcomes(entry.deliver(Tick(), NOW + 5.1)) == []
