"""Agent core: lost sessions, restarts of entries, lapsed announcements."""

from __future__ import annotations

import random

import pytest

from briarford.dispatch import AgentCore
from briarford.dispatch.messages import (
    AgentStopped,
    BackendAnnounced,
    CallBackend,
    CallEnded,
    EntriesChanged,
    EntryBatchArrived,
    EntryLost,
    OpenSession,
    SendToEntry,
    StopRequested,
    Tick,
)
from briarford.jobs import TaskRef
from briarford.sessions import (
    EntryAddress,
    EntryBatch,
    StartTask,
    TaskResult,
    TaskStatus,
    Welcome,
    WorkerInfo,
)

ENTRY = EntryAddress("e", "e:1")
OTHER = EntryAddress("f", "f:1")
REF = TaskRef("job", 0)
WORKER = WorkerInfo("desk", 2, 8.0, 8000)
NOW = 1000.0
DEADLINE = NOW + 20.0


class Driver:
    """Passes messages to an agent core and collects its effects."""

    def __init__(self, now: float = NOW) -> None:
        self.core = AgentCore("a", "a-1", "zone", random.Random(0))
        self.effects: list[object] = []
        self.session = 0
        self.seq = 0
        self.deliver(BackendAnnounced(WORKER, now + 100.0), now)
        self.deliver(EntriesChanged((ENTRY,)), now)

    def deliver(self, message: object, now: float = NOW) -> list[object]:
        self.core.receive(message, now)
        new = self.core.turn(now)
        self.effects += new
        for effect in new:
            if isinstance(effect, OpenSession):
                self.session = effect.session
                self.seq = 0
        return new

    def batch(self, now: float = NOW, **fields: object) -> list[object]:
        self.seq += 1
        batch = EntryBatch(self.seq, **fields)
        return self.deliver(EntryBatchArrived("e:1", self.session, batch), now)

    def welcome(
        self, *refs: TaskRef, now: float = NOW, incarnation: str = "1"
    ):
        return self.batch(now, welcome=Welcome("e", incarnation, refs, now))

    def start(self, now: float = NOW) -> list[object]:
        return self.batch(now, starts=(StartTask(REF, DEADLINE, b"1"),))

    def lose_session(self, now: float = NOW) -> None:
        self.deliver(EntryLost("e:1", self.session), now)
        self.deliver(Tick(), now)


def reported_statuses(effects: list[object]) -> dict[TaskRef, TaskStatus]:
    batches = [e.batch for e in effects if isinstance(e, SendToEntry)]
    return {r.ref: r.status for b in batches for r in (*b.reports, *b.results)}


def calls(effects: list[object]) -> int:
    return sum(isinstance(e, CallBackend) for e in effects)


def stopped(effects: list[object]) -> bool:
    return any(isinstance(e, AgentStopped) for e in effects)


def ended(
    status: TaskStatus = TaskStatus.DONE, reached: bool = True
) -> CallEnded:
    return CallEnded(TaskResult(REF, status, b"1"), reached)


def test_dropped_result_is_reported_as_lost_not_as_not_started():
    """The task ran, but its entry was off the list for so long that the agent
    dropped the result. Reported as not started, it would run again.
    """
    agent = Driver()
    agent.welcome()
    assert calls(agent.start()) == 1
    agent.lose_session()
    agent.deliver(ended(), NOW + 0.1)
    agent.deliver(EntriesChanged((OTHER,)), NOW + 0.2)
    for second in range(40):
        agent.deliver(EntryLost("e:1", agent.session), NOW + second)
        agent.deliver(Tick(), NOW + second + 0.9)
    agent.deliver(EntriesChanged((ENTRY, OTHER)), NOW + 41)
    agent.session = agent.core._links["e:1"].session
    agent.seq = 0
    assert reported_statuses(agent.welcome(REF, now=NOW + 41)) == {
        REF: TaskStatus.LOST
    }


def test_restarted_entry_cannot_start_a_running_attempt_again():
    """A new incarnation of the entry clears the agent's list of its attempts;
    the record of the start must still prevent a second one.
    """
    agent = Driver()
    agent.welcome(incarnation="1")
    agent.start()
    agent.lose_session()
    agent.welcome(incarnation="2")
    effects = agent.start()
    assert calls(effects) == 0
    assert reported_statuses(effects) == {REF: TaskStatus.LOST}


def test_records_of_starts_do_not_accumulate():
    """Records outlive acknowledgements that are lost; a timer drops them."""
    agent = Driver()
    agent.welcome()
    agent.start()
    agent.deliver(ended())
    for second in range(0, 200, 10):
        agent.deliver(Tick(), NOW + second)
    assert agent.core._start_records == {}


def test_start_after_the_announcement_lapsed_is_rejected():
    """A start may arrive between the lapse and the timer that handles it."""
    agent = Driver()
    agent.welcome()
    agent.core.receive(BackendAnnounced(WORKER, NOW + 1.0), NOW)
    effects = agent.start(now=NOW + 1.2)
    assert calls(effects) == 0
    assert reported_statuses(effects) == {REF: TaskStatus.NOT_STARTED}


def test_agent_accepts_no_work_while_its_backend_is_unreachable():
    """A backend server that opens no connection has probably crashed. Its
    agent must not attract more tasks before the next announcement.
    """
    agent = Driver()
    agent.welcome()
    agent.start()
    agent.deliver(ended(TaskStatus.NOT_STARTED, reached=False))
    assert agent.core.leaving
    agent.deliver(BackendAnnounced(WORKER, NOW + 100.0))
    assert not agent.core.leaving


def test_one_rejected_task_does_not_stop_the_worker():
    """A backend server that was reached, but started nothing, still works."""
    agent = Driver()
    agent.welcome()
    agent.start()
    effects = agent.deliver(ended(TaskStatus.NOT_STARTED))
    assert reported_statuses(effects) == {REF: TaskStatus.NOT_STARTED}
    assert not agent.core.leaving


def test_stopping_agent_waits_for_starts_in_flight():
    """If the agent stopped before the entry confirmed that it had received the
    leaving batch, a start sent before would be lost instead of rejected.
    """
    agent = Driver()
    agent.welcome()
    [sent] = agent.deliver(StopRequested(NOW + 9.0))[-1:]
    assert sent.batch.leaving
    seq = sent.batch.seq
    assert not stopped(agent.batch(returned=2, received_seq=seq - 1))
    effects = agent.start()
    assert reported_statuses(effects) == {REF: TaskStatus.NOT_STARTED}
    assert not stopped(agent.batch(acks=(REF,), received_seq=seq - 1))
    assert stopped(agent.batch(received_seq=seq))


@pytest.mark.parametrize("error_s", [-30.0, 30.0])
def test_deadlines_are_converted_from_the_clock_of_the_entry(error_s):
    """With unequal clocks, tasks would be cut off early or run too long."""
    now = NOW + error_s
    agent = Driver(now)
    agent.batch(now, welcome=Welcome("e", "1", (), NOW))
    [call] = [e for e in agent.start(now) if isinstance(e, CallBackend)]
    assert call.deadline == DEADLINE + error_s


@pytest.mark.parametrize(("seconds", "stops"), [(4.0, False), (6.0, True)])
def test_stopping_agent_waits_only_briefly_for_a_lost_entry(seconds, stops):
    """An undelivered result must not keep the process until its deadline."""
    agent = Driver()
    agent.welcome()
    agent.start()
    agent.lose_session()
    agent.deliver(ended())
    agent.deliver(StopRequested(NOW + 60.0))
    agent.deliver(Tick(), NOW + seconds)
    assert stopped(agent.effects) is stops


def test_heartbeats_are_sent_after_a_late_welcome():
    """The heartbeat timer may expire before the welcome arrives. If it were
    not set again, the entry would close the session as silent.
    """
    agent = Driver()
    agent.deliver(StopRequested(NOW + 60.0))
    agent.deliver(Tick(), NOW + 0.6)
    agent.welcome(now=NOW + 0.7)
    effects = agent.deliver(Tick(), NOW + 1.3)
    assert any(isinstance(e, SendToEntry) for e in effects)


def test_session_number_rises_when_an_entry_is_listed_again():
    """An entry rejects a session whose number is not above the last one."""
    agent = Driver()
    agent.lose_session()
    before = agent.session
    agent.deliver(EntriesChanged((OTHER,)))
    agent.deliver(EntryLost("e:1", before))
    agent.deliver(EntriesChanged((ENTRY, OTHER)))
    assert agent.core._links["e:1"].session > before


def test_unmet_demand_does_not_cause_turns_without_pause():
    """Demand that no slot can meet must not set a timer that is always due."""
    agent = Driver()
    agent.welcome()
    for second in range(3):
        agent.batch(NOW + second / 100, demand=50)
    turns = 0
    now = NOW + 0.1
    while now < NOW + 1.1:
        agent.deliver(Tick(), now)
        turns += 1
        now = max(now, agent.core.next_deadline())
    assert turns < 20
