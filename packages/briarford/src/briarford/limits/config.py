"""The numbers of limits that a preset can set."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LimitConfig"]


@dataclass(slots=True, frozen=True)
class LimitConfig:
    """Where the system refuses, retries, throttles and stops retrying.

    :param max_queued: tasks that may wait at one entry for one service.
    :param admission_margin: a job is admitted if this many times its
        expected wait fits before its deadline, beside one run time.
    :param refuse_unreachable: whether deadlines are checked at admission.
    :param retry_share: retries allowed per first try.
    :param hedge_share: hedges allowed per first try.
    :param budget_burst: retries or hedges allowed above the share at once.
    :param hedge_after_ratio: a request is hedged once it has run this many
        times its expected time.
    :param guard_share: share of a service's workers that guards may take
        out at one time.
    :param guard_evidence_nats: how unlikely, in natural-log units, a row
        of failures must be for a sound worker before it is throttled.
    :param probe_after_ms: how long a throttled worker waits for its first
        probe; the wait doubles with each probe that fails.
    :param probe_after_max_ms: the longest wait between probes.
    :param concurrency_guard: whether agents lower the number of tasks at a
        backend server that slows down under them.
    :param concurrency_slowdown: run time under load, relative to the run
        time with few tasks, above which the number is lowered.
    """

    max_queued: int = 10_000
    admission_margin: float = 2.0
    refuse_unreachable: bool = True
    retry_share: float = 0.1
    hedge_share: float = 0.05
    budget_burst: float = 10.0
    hedge_after_ratio: float = 3.0
    guard_share: float = 0.3
    guard_evidence_nats: float = 12.0
    probe_after_ms: float = 1_000.0
    probe_after_max_ms: float = 60_000.0
    concurrency_guard: bool = True
    concurrency_slowdown: float = 2.0
