"""Parameters of admission, retries and guards; a preset sets some."""

from __future__ import annotations

import msgspec

__all__ = ["LimitConfig"]


class LimitConfig(msgspec.Struct, frozen=True):
    """Thresholds at which jobs are refused, retried, hedged or throttled.

    :param max_queued: tasks that may be queued at one entry for one service.
    :param admission_margin: a job is admitted if this many times its
        expected time in the queue, plus the run time of one task, fits
        before its deadline.
    :param refuse_unreachable: whether a job whose estimated end is later
        than its deadline is refused.
    :param retry_share: retries allowed per first try.
    :param hedge_share: hedges allowed per first try.
    :param budget_burst: retries, and as many hedges, that may be made in
        one burst above the share.
    :param hedge_after_ratio: a request may be hedged once it has run this
        many times its expected run time.
    :param guard_share: share of a service's workers that the health guard
        may throttle at the same time.
    :param guard_evidence_nats: a worker is throttled when its consecutive
        failures would be this unlikely for a sound worker, as a negative
        natural logarithm; 12 is a probability of 6 in a million.
    :param probe_after_ms: time from throttling a worker to its first probe;
        it doubles with each probe that fails.
    :param probe_after_max_ms: upper bound of the time between probes.
    :param concurrency_guard: whether an agent lowers the concurrency of a
        backend server whose tasks slow down under load.
    :param concurrency_slowdown: run time at the concurrency limit, relative
        to the run time at low concurrency, above which the limit is lowered.
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
