"""The call guard: its budget of calls, its circuit breaker and probes."""

from __future__ import annotations

import random

import pytest

from briarford.store import CallGuard, GuardLimits

LIMITS = GuardLimits(
    calls_per_s=10.0, burst=5.0, failures_to_open=2, longest_delay_s=4.0
)


def make(seed=0):
    return CallGuard(random.Random(seed), LIMITS)


def fail(guard, now, times=2):
    for _ in range(times):
        guard.admit("get", now)
        guard.failed("get", now)


@pytest.mark.parametrize(
    ("wait_s", "admitted"),
    [(0.0, 5), (0.1, 6), (0.35, 8), (60.0, 10)],
    ids=["burst", "one-earned", "three-earned", "burst-is-capped"],
)
def test_budget_limits_the_calls(wait_s, admitted):
    guard = make()
    made = [guard.admit("get", 100.0) for _ in range(9)]
    made += [guard.admit("get", 100.0 + wait_s) for _ in range(9)]
    assert made.count(None) == admitted
    assert guard.counts["get", "budget-spent"] == 18 - admitted


def test_a_deferred_call_is_admitted_at_its_retry_time():
    """The rounding of Unix time must not defer the call a second time."""
    guard = make()
    now = 1_800_000_000.3
    for _ in range(5):
        guard.admit("get", now)
    for _ in range(50):
        now = guard.admit("get", now).retry_at
        assert guard.admit("get", now) is None


def test_an_open_circuit_admits_one_probe_at_a_time():
    guard = make()
    fail(guard, 100.0)
    deferred = guard.admit("get", 100.0)
    assert deferred.reason == "circuit-open"
    assert guard.admit("get", deferred.retry_at) is None
    assert guard.admit("get", deferred.retry_at).reason == "circuit-open"
    guard.succeeded("get")
    assert guard.admit("get", deferred.retry_at) is None


def test_a_probe_without_an_end_does_not_block_later_probes():
    guard = make()
    fail(guard, 100.0)
    at = guard.admit("get", 100.0).retry_at
    assert guard.admit("get", at) is None
    assert guard.admit("get", at + 60.0) is None


def test_the_service_may_request_a_longer_back_off():
    guard = make()
    guard.failed("get", 100.0)
    guard.failed("get", 100.0, retry_at=130.0)
    assert guard.admit("get", 129.0).retry_at == 130.0


def test_probes_of_many_processes_are_spread():
    """Guards against processes that all call at once after an outage.

    After a minute each one probes within the longest back-off, and at most 20
    of 200 do so in the same 100 ms.
    """
    probes = []
    for seed in range(200):
        guard = make(seed)
        fail(guard, 0.0)
        now = 0.0
        while now < 60.0:
            now = guard.admit("get", now).retry_at
            assert guard.admit("get", now) is None
            guard.failed("get", now)
        probes.append(now)
    assert max(probes) <= 60.0 + LIMITS.longest_delay_s
    per_100_ms = [int(at * 10) for at in probes]
    busiest = max(per_100_ms.count(slot) for slot in set(per_100_ms))
    assert busiest <= 20
