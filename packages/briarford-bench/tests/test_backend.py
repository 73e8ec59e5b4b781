"""The backend server stand-in shows the faults that its profile sets.

If a rejected call were recorded as a start, or a duplicate start missed, the
figures of all experiments would be wrong.
"""

from __future__ import annotations

import random

import msgspec
import pytest

from briarford_bench.backend_core import (
    Abort,
    Answer,
    BackendCore,
    BackendProfile,
    Call,
    NoReply,
    Start,
    find_duplicate_starts,
)

NOW = 1000.0


def make_call(index=0, connected_at=NOW, **payload):
    body = msgspec.json.encode({"run_ms": 100, **payload})
    return Call("job", index, 0, NOW + 9, body, connected_at)


@pytest.mark.parametrize(
    ("faults", "payload", "kind", "status", "after_s"),
    [
        pytest.param({}, {}, Answer, 200, 0.05, id="answer"),
        pytest.param({}, {"fail": True}, Answer, 500, 0.05, id="poison"),
        pytest.param(
            {"fail_all": True}, {}, Answer, 500, 0.001, id="black-hole"
        ),
        pytest.param(
            {"failure_rate": 1.0}, {}, Answer, 500, 0.05, id="failure"
        ),
        pytest.param({"silent": True}, {}, NoReply, None, 0.05, id="silent"),
        pytest.param({"reset": True}, {}, Abort, None, 0.05, id="reset"),
        pytest.param(
            {"silent_before": NOW + 1}, {}, NoReply, None, 0.05, id="old-conn"
        ),
        pytest.param(
            {"silent_before": NOW}, {}, Answer, 200, 0.05, id="new-conn"
        ),
        pytest.param(
            {"straggler_rate": 1.0}, {}, Answer, 200, 0.5, id="straggler"
        ),
    ],
)
def test_reply_follows_profile(faults, payload, kind, status, after_s):
    core = BackendCore(BackendProfile(speed=2.0), random.Random(1))
    core.set_faults(faults)
    reply = core.handle_call(make_call(**payload), NOW)
    assert type(reply) is kind
    assert getattr(reply, "status", None) == status
    assert len(core.starts) == 1
    assert core.starts[0].ends_at == pytest.approx(NOW + after_s)


def test_call_without_free_slot_is_rejected_and_not_started():
    core = BackendCore(BackendProfile(slots=2), random.Random(1))
    replies = [core.handle_call(make_call(i), NOW) for i in range(3)]
    assert [reply.ran for reply in replies] == [True, True, False]
    assert replies[2].status == 503
    assert len(core.starts) == 2
    assert core.handle_call(make_call(2), NOW + 0.2).ran


def test_unreadable_payload_is_rejected_and_not_started():
    core = BackendCore(BackendProfile(), random.Random(1))
    reply = core.handle_call(Call("job", 0, 0, NOW, b"{", NOW), NOW)
    assert (reply.status, reply.ran, core.starts) == (400, False, [])


@pytest.mark.parametrize("change", [{"speed": "x"}, {"bogus": 1}])
def test_invalid_fault_leaves_profile_unchanged(change):
    core = BackendCore(BackendProfile(), random.Random(1))
    with pytest.raises((msgspec.ValidationError, TypeError)):
        core.set_faults(change)
    assert core.profile == BackendProfile()


def test_duplicate_starts_leave_out_idempotent_requests():
    starts = [
        Start(worker, job, index, 0, NOW, NOW)
        for worker, job, index in [
            ("a", "once", 0),
            ("b", "once", 1),
            ("a", "twice", 0),
            ("b", "twice", 0),
            ("a", "retried", 0),
            ("b", "retried", 0),
        ]
    ]
    assert find_duplicate_starts(starts, {"retried"}) == {("twice", 0): 2}
