"""Admission control: refuses a job before any of its tasks is queued.

A job is refused if it would exceed the queue bound or if its estimated end is
later than its deadline. A refused job has not run.
"""

from __future__ import annotations

import msgspec

from briarford.jobs.messages import JobSpec
from briarford.limits.config import LimitConfig
from briarford.outcomes import RefusalReason, Refused, Step

__all__ = ["Load", "check_deadline", "check_queue", "expected_s"]

MIN_RETRY_DELAY_S = 0.1


class Load(msgspec.Struct, frozen=True):
    """The load of one service at this entry when a job arrives.

    :param slots: slots that the entry can expect to use.
    :param run_s: expected run time of one task of the job, in seconds.
    :param queued: tasks of all teams that are queued for the service.
    :param queued_s: the sum of their expected run times, in seconds.
    :param team_queued: queued tasks of the job's team, included in
        ``queued``.
    :param team_queued_s: the sum of their expected run times, in seconds.
    :param team_fraction: share of the slots that the team gets while other
        teams have queued tasks too, from 0 to 1.
    :param team_slots: slots that the team's quota allows at this entry;
        None for no limit.
    """

    slots: float
    run_s: float
    queued: int
    queued_s: float
    team_queued: int
    team_queued_s: float
    team_fraction: float = 1.0
    team_slots: int | None = None


def expected_s(tasks: int, load: Load, margin: float = 1.0) -> float:
    """Estimate the seconds until a job of ``tasks`` tasks would end.

    :param margin: factor on the expected time in the queue; the run time of
        one task is added without it.

    The time in the queue is the shorter of two estimates: all queued work is
    done before the job on all slots, or only the queued work of its own team
    on the team's share of the slots. If the team has a quota, the time is at
    least that of its queued work on the slots of the quota.
    """
    own_s = tasks * load.run_s
    by_all_s = (load.queued_s + own_s) / load.slots
    team_slots = load.slots * load.team_fraction
    by_team_s = (load.team_queued_s + own_s) / team_slots
    waiting_s = min(by_all_s, by_team_s)
    if load.team_slots is not None:
        quota_s = (load.team_queued_s + own_s) / max(load.team_slots, 1)
        waiting_s = max(waiting_s, quota_s)
    return waiting_s * margin + load.run_s


def check_deadline(
    spec: JobSpec, load: Load, cfg: LimitConfig, entry: str, now: float
) -> Refused | None:
    """Refuse a job whose estimated end is later than its deadline."""
    if spec.deadline <= now:
        return _refuse(
            RefusalReason.DEADLINE_PASSED, "the deadline is past", entry, None
        )
    if not cfg.refuse_unreachable:
        return None
    needed_s = expected_s(len(spec.tasks), load, cfg.admission_margin)
    late_s = now + needed_s - spec.deadline
    if late_s <= 0:
        return None
    return _refuse(
        RefusalReason.DEADLINE_UNREACHABLE,
        f"the answer would take about {needed_s:.1f} s",
        entry,
        now + max(late_s, MIN_RETRY_DELAY_S),
    )


def check_queue(
    spec: JobSpec, load: Load, cfg: LimitConfig, entry: str, now: float
) -> Refused | None:
    """Refuse a job that would make the queue longer than its bound.

    A team may always fill its share of the bound, even if the tasks of other
    teams exceed the bound on their own.
    """
    tasks = len(spec.tasks)
    if tasks > cfg.max_queued:
        return _refuse(
            RefusalReason.QUEUE_FULL,
            f"a job has at most {cfg.max_queued} tasks",
            entry,
            None,
        )
    excess = load.queued + tasks - cfg.max_queued
    team_bound = cfg.max_queued * load.team_fraction
    if excess <= 0 or load.team_queued + tasks <= team_bound:
        return None
    drained_s = excess * load.run_s / load.slots
    return _refuse(
        RefusalReason.QUEUE_FULL,
        f"{load.queued} tasks wait at this entry",
        entry,
        now + max(drained_s, MIN_RETRY_DELAY_S),
    )


def _refuse(
    reason: RefusalReason, detail: str, entry: str, retry_at: float | None
) -> Refused:
    return Refused(reason, detail, Step.ADMIT, entry, retry_at)
