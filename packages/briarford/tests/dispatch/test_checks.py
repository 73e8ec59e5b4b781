"""Tests of the checks themselves: each finds a defect built into a core."""

from __future__ import annotations

import pytest

from briarford.dispatch import AgentCore, EntryCore
from briarford.dispatch.messages import AgentStopped, CallBackend
from briarford.jobs.state import Job
from briarford.outcomes import Completed, RefusalReason, Refused, Step
from briarford.placement import Placer, SlotGranter
from briarford.sessions.messages import TaskReport, TaskStatus

from .matrix import Injection, run_case


def call_backend_twice(monkeypatch):
    original = AgentCore._handle_start

    def start(self, link, start, now):
        original(self, link, start, now)
        self._effects.append(
            CallBackend(start.ref, start.payload, start.deadline)
        )

    monkeypatch.setattr(AgentCore, "_handle_start", start)


def drop_last_result(monkeypatch):
    monkeypatch.setattr(
        Job, "completed", lambda self: Completed(tuple(self.results[:-1]))
    )


def reverse_results(monkeypatch):
    monkeypatch.setattr(
        Job, "completed", lambda self: Completed(tuple(self.results[::-1]))
    )


def copy_one_result_to_all(monkeypatch):
    """Complete a job with its first result, rewritten for the other tasks."""

    def store_result(self, ref, payload):
        self.results = [
            payload.replace(b"/%d" % ref.index, b"/%d" % i)
            for i in range(len(self.results))
        ]
        return True

    monkeypatch.setattr(Job, "store_result", store_result)


def refuse_jobs_that_ran(monkeypatch):
    """Answer a job that cannot complete with a refusal, even if it ran."""

    def incomplete_outcome(
        self, refusal, failure, detail, step, peer, retry_at=None
    ):
        return Refused(RefusalReason.CANCELLED, detail, step, peer)

    monkeypatch.setattr(Job, "incomplete_outcome", incomplete_outcome)


def report_all_as_not_started(monkeypatch):
    """Report each awaited attempt as not started, even if it runs."""

    def report_outstanding(self, link, ref):
        link.outbox.reports.append(TaskReport(ref, TaskStatus.NOT_STARTED))

    monkeypatch.setattr(AgentCore, "_report_outstanding", report_outstanding)


def refuse_repeated_submission(monkeypatch):
    """Answer a repeated submission of an ended job with a refusal."""

    def join(self, job, spec):
        if job.outcome is None:
            return None
        return Refused(RefusalReason.CANCELLED, "", Step.SUBMIT, "")

    monkeypatch.setattr(EntryCore, "_join", join)


def accept_work_while_leaving(monkeypatch):
    """Start tasks although the backend server is leaving."""
    monkeypatch.setattr(
        AgentCore, "_stop_accepting_work", lambda self, reason: None
    )
    monkeypatch.setattr(
        AgentCore, "_rejection_reason", lambda self, start, now: ""
    )


def stop_before_results_arrive(monkeypatch):
    """Stop the agent at once, with calls running and results pending."""

    def check(self, now):
        if self.stopping:
            self._effects.append(AgentStopped())

    monkeypatch.setattr(AgentCore, "_check_stopped", check)


def never_end_jobs_without_workers(monkeypatch):
    """Let jobs wait for their deadline when their workers are lost."""
    monkeypatch.setattr(
        EntryCore, "_end_jobs_without_workers", lambda self, service, now: None
    )


def never_end_jobs(monkeypatch):
    """Let jobs wait for workers even past their deadline."""
    never_end_jobs_without_workers(monkeypatch)
    monkeypatch.setattr(
        EntryCore, "_handle_job_deadline", lambda self, job_id, now: None
    )


def never_release_slots(monkeypatch):
    monkeypatch.setattr(SlotGranter, "release_slot", lambda self, entry: None)


def keep_acknowledged_results(monkeypatch):
    def handle_batch(self, link, batch, now):
        original(self, link, batch, now)
        link.results.update(dict.fromkeys(batch.acks))

    original = AgentCore._handle_batch
    monkeypatch.setattr(AgentCore, "_handle_batch", handle_batch)


def keep_tasks_queued(monkeypatch):
    monkeypatch.setattr(Placer, "drop_job", lambda self, job_id: [])
    monkeypatch.setattr(Placer, "place", lambda self, now: [])


def leave_timers_set(monkeypatch):
    def end_job(self, job, outcome, now):
        for index in range(100):
            self._timers.set((job.job_id, index), now + 1000.0)
        original(self, job, outcome, now)

    original = EntryCore._end_job
    monkeypatch.setattr(EntryCore, "_end_job", end_job)


def count_queued_twice(monkeypatch):
    """Count one task too many in the queue of its team."""
    original = Placer.enqueue

    def enqueue(self, tasks):
        tasks = list(tasks)
        original(self, tasks)
        self._pools[tasks[0].service].shares[tasks[0].team].queued += 1

    monkeypatch.setattr(Placer, "enqueue", enqueue)


def request_turns_without_pause(monkeypatch):
    monkeypatch.setattr(AgentCore, "next_deadline", lambda self: 0.0)


def never_accept_work_again(monkeypatch):
    always = property(lambda self: True, lambda self, value: None)
    monkeypatch.setattr(AgentCore, "leaving", always, raising=False)


@pytest.mark.parametrize(
    ("inject_defect", "injection", "check"),
    [
        (call_backend_twice, None, "starts_at_most_once"),
        (drop_last_result, None, "answers_are_whole_and_own"),
        (reverse_results, None, "answers_are_whole_and_own"),
        (copy_one_result_to_all, None, "completed_tasks_began"),
        (
            refuse_jobs_that_ran,
            Injection(Step.RUNNING, "job-cancelled"),
            "refusals_are_true",
        ),
        (
            report_all_as_not_started,
            Injection(Step.RUNNING, "connection-reset"),
            "denials_are_true",
        ),
        (refuse_repeated_submission, None, "answers_agree"),
        (
            accept_work_while_leaving,
            Injection(Step.ADMIT, "backend-drained"),
            "nothing_new_after_leaving",
        ),
        (
            stop_before_results_arrive,
            Injection(Step.RUNNING, "agent-stopped"),
            "graceful_stops_cut_nothing",
        ),
        (
            never_end_jobs_without_workers,
            Injection(Step.RUNNING, "all-backends-gone"),
            "given_up_is_answered_at_once",
        ),
        (
            never_end_jobs,
            Injection(Step.RUNNING, "all-backends-gone"),
            "all_end_by_the_deadline",
        ),
        (never_release_slots, None, "credits_are_conserved"),
        (keep_acknowledged_results, None, "nothing_is_left_over"),
        (keep_tasks_queued, None, "nothing_is_left_over"),
        (leave_timers_set, None, "timers_are_bounded"),
        (count_queued_twice, None, "placement_counts_nothing_twice"),
        (request_turns_without_pause, None, "no_core_spins"),
        (
            never_accept_work_again,
            Injection(Step.ADMIT, "backend-drained"),
            "workers_come_back",
        ),
    ],
    ids=lambda value: getattr(value, "__name__", None),
)
def test_check_reports_the_defect_built_into_a_core(
    monkeypatch, inject_defect, injection, check
):
    """A check that found nothing in a broken core would prove nothing in the
    matrix. Some defects show only under a certain fault.
    """
    inject_defect(monkeypatch)
    found = run_case((injection,) if injection else ()).violations
    assert check in {f.partition(":")[0] for f in found}


def test_case_without_faults_violates_no_check():
    result = run_case(())
    assert result.violations == []
    assert isinstance(result.outcome, Completed)
