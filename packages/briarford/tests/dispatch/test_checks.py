from __future__ import annotations

import pytest

from briarford.dispatch import AgentCore, EntryCore
from briarford.dispatch.messages import AgentStopped, CallBackend
from briarford.jobs.state import Job
from briarford.outcomes import Completed, RefusalReason, Refused, Step
from briarford.placement import Placer, SlotGranter
from briarford.sessions.messages import TaskReport, TaskStatus

from .matrix import Injection, run_case


def start_twice(monkeypatch):
    original = AgentCore._start

    def start(self, link, start, now):
        original(self, link, start, now)
        self._effects.append(
            CallBackend(start.ref, start.payload, start.deadline)
        )

    monkeypatch.setattr(AgentCore, "_start", start)


def answer_partially(monkeypatch):
    monkeypatch.setattr(
        Job, "completed", lambda self: Completed(tuple(self.results[:-1]))
    )


def mix_answers(monkeypatch):
    monkeypatch.setattr(
        Job, "completed", lambda self: Completed(tuple(self.results[::-1]))
    )


def invent_answers(monkeypatch):
    def store_result(self, ref, payload):
        self.results = [
            payload.replace(b"/%d" % ref.index, b"/%d" % i)
            for i in range(len(self.results))
        ]
        return True

    monkeypatch.setattr(Job, "store_result", store_result)


def refuse_falsely(monkeypatch):
    def incomplete_outcome(
        self, refusal, failure, detail, step, peer, retry_at=None
    ):
        return Refused(RefusalReason.CANCELLED, detail, step, peer)

    monkeypatch.setattr(Job, "incomplete_outcome", incomplete_outcome)


def deny_falsely(monkeypatch):
    def answer_for(self, link, ref):
        link.outbox.reports.append(TaskReport(ref, TaskStatus.NOT_STARTED))

    monkeypatch.setattr(AgentCore, "_answer_for", answer_for)


def change_the_answer(monkeypatch):
    def join(self, job, spec):
        if job.outcome is None:
            return None
        return Refused(RefusalReason.CANCELLED, "", Step.SUBMIT, "")

    monkeypatch.setattr(EntryCore, "_join", join)


def start_after_leaving(monkeypatch):
    monkeypatch.setattr(AgentCore, "_leave", lambda self, reason: None)
    monkeypatch.setattr(AgentCore, "_refusal", lambda self, start, now: "")


def stop_at_once(monkeypatch):
    def check(self, now):
        if self.stopping:
            self._effects.append(AgentStopped())

    monkeypatch.setattr(AgentCore, "_check_stopped", check)


def hold_answers(monkeypatch):
    monkeypatch.setattr(
        EntryCore, "_give_up_service", lambda self, service, now: None
    )


def hold_past_deadline(monkeypatch):
    hold_answers(monkeypatch)
    monkeypatch.setattr(
        EntryCore, "_expire_job", lambda self, job_id, now: None
    )


def lose_credits(monkeypatch):
    monkeypatch.setattr(SlotGranter, "release_slot", lambda self, entry: None)


def keep_results(monkeypatch):
    def take_batch(self, link, batch, now):
        original(self, link, batch, now)
        link.results.update(dict.fromkeys(batch.acks))

    original = AgentCore._take_batch
    monkeypatch.setattr(AgentCore, "_take_batch", take_batch)


def keep_tasks_queued(monkeypatch):
    monkeypatch.setattr(Placer, "drop_job", lambda self, job_id: [])
    monkeypatch.setattr(Placer, "place", lambda self, now: [])


def keep_timers(monkeypatch):
    def end_rest(self, job, outcome, now):
        for index in range(100):
            self._timers.set((job.job_id, index), now + 1000.0)
        original(self, job, outcome, now)

    original = EntryCore._end
    monkeypatch.setattr(EntryCore, "_end", end_rest)


def count_queued_twice(monkeypatch):
    original = Placer.enqueue

    def enqueue(self, tasks):
        tasks = list(tasks)
        original(self, tasks)
        self._pools[tasks[0].service].shares[tasks[0].team].queued += 1

    monkeypatch.setattr(Placer, "enqueue", enqueue)


def spin(monkeypatch):
    monkeypatch.setattr(AgentCore, "next_deadline", lambda self: 0.0)


def never_return(monkeypatch):
    always = property(lambda self: True, lambda self, value: None)
    monkeypatch.setattr(AgentCore, "leaving", always, raising=False)


@pytest.mark.parametrize(
    ("plant", "injection", "check"),
    [
        (start_twice, None, "starts_at_most_once"),
        (answer_partially, None, "answers_are_whole_and_own"),
        (mix_answers, None, "answers_are_whole_and_own"),
        (invent_answers, None, "completed_tasks_began"),
        (
            refuse_falsely,
            Injection(Step.RUNNING, "job-cancelled"),
            "refusals_are_true",
        ),
        (
            deny_falsely,
            Injection(Step.RUNNING, "connection-reset"),
            "denials_are_true",
        ),
        (change_the_answer, None, "answers_agree"),
        (
            start_after_leaving,
            Injection(Step.ADMIT, "backend-drained"),
            "nothing_new_after_leaving",
        ),
        (
            stop_at_once,
            Injection(Step.RUNNING, "agent-stopped"),
            "graceful_stops_cut_nothing",
        ),
        (
            hold_answers,
            Injection(Step.RUNNING, "all-backends-gone"),
            "given_up_is_answered_at_once",
        ),
        (
            hold_past_deadline,
            Injection(Step.RUNNING, "all-backends-gone"),
            "all_end_by_the_deadline",
        ),
        (lose_credits, None, "credits_are_conserved"),
        (keep_results, None, "nothing_is_left_over"),
        (keep_tasks_queued, None, "nothing_is_left_over"),
        (keep_timers, None, "timers_are_bounded"),
        (count_queued_twice, None, "placement_counts_nothing_twice"),
        (spin, None, "no_core_spins"),
        (
            never_return,
            Injection(Step.ADMIT, "backend-drained"),
            "workers_come_back",
        ),
    ],
    ids=lambda value: getattr(value, "__name__", None),
)
def test_check_finds_a_planted_fault(monkeypatch, plant, injection, check):
    plant(monkeypatch)
    found = run_case((injection,) if injection else ()).violations
    assert check in {f.partition(":")[0] for f in found}


def test_a_case_without_faults_passes():
    result = run_case(())
    assert result.violations == []
    assert isinstance(result.outcome, Completed)
