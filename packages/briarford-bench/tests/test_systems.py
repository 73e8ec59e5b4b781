"""Parts of the comparison: kinds of waste, zone delays and experiments.

If a message were counted as the wrong kind, a delay were wrong, or an
experiment left its plan unchanged, the comparison of the two systems would
mean nothing.
"""

from __future__ import annotations

import pytest

from briarford.homes import Member
from briarford.homes.messages import (
    ExchangeReply,
    ExchangeRequest,
    ForwardReply,
    PeerState,
)
from briarford.jobs import TaskRef
from briarford.sessions import (
    AgentBatch,
    EntryBatch,
    Hello,
    StartTask,
    TaskResult,
    TaskStatus,
    Welcome,
)
from briarford_bench.experiments import (
    burst,
    cancellation_wave,
    lopsided_entries,
    poison,
)
from briarford_bench.profiles import CLIENT_ZONE, find_profile
from briarford_bench.systems import classify_waste

REF = TaskRef("job", 0)
PEER = PeerState(Member("e", "i", "127.0.0.1:1"), 1.0)
KYKLOS = find_profile("kyklos")
BARIDI = find_profile("baridi")


@pytest.mark.parametrize(
    ("message", "kind"),
    [
        (AgentBatch(1), "agent-heartbeat"),
        (AgentBatch(1, credits=1), "credits-only"),
        (AgentBatch(1, recall=1), "recalls-only"),
        (AgentBatch(1, Hello("a", "i", 1, "z")), ""),
        (
            AgentBatch(1, results=(TaskResult(REF, TaskStatus.DONE),)),
            "",
        ),
        (EntryBatch(1), "entry-heartbeat"),
        (EntryBatch(1, demand=1), "demand-only"),
        (EntryBatch(1, acks=(REF,), demand=1), "acks-only"),
        (EntryBatch(1, returned=1), "returns-only"),
        (EntryBatch(1, cancels=(REF,), acks=(REF,)), "cancels-only"),
        (EntryBatch(1, Welcome("e", "i")), ""),
        (EntryBatch(1, starts=(StartTask(REF, 1.0, b""),), demand=1), ""),
        (ExchangeRequest(PEER), "entry-exchange"),
        (ExchangeReply(PEER), "entry-exchange"),
        (ForwardReply(), ""),
    ],
)
def test_messages_are_waste_unless_they_serve_an_answer(message, kind):
    assert classify_waste(message) == kind


@pytest.mark.parametrize(
    ("profile", "zone", "other", "delay_ms"),
    [
        (KYKLOS, "gr-1", "gr-1", 0.0),
        (KYKLOS, "gr-1", "gr-4", 1.5),
        (KYKLOS, CLIENT_ZONE, "gr-2", 1.0),
        (BARIDI, "ke-1", "ke-3", 0.5),
        (BARIDI, "ke-1", CLIENT_ZONE, 1.0),
    ],
)
def test_delay_depends_on_the_zones(profile, zone, other, delay_ms):
    assert profile.delay_s(zone, other) == pytest.approx(delay_ms / 1000)


@pytest.mark.parametrize(
    ("make", "check"),
    [
        pytest.param(
            poison,
            lambda plan: (
                [a.always_fails for a in plan.trace[:11]]
                == [True, *[False] * 9, True]
            ),
            id="poison",
        ),
        pytest.param(
            burst,
            lambda plan: (
                sum(a.at == 5.0 for a in plan.trace) > 10
                and not any(5.0 < a.at < 10.0 for a in plan.trace)
            ),
            id="burst",
        ),
        pytest.param(
            cancellation_wave,
            lambda plan: (
                {a.cancel_at for a in plan.trace if a.at > 6.0} == {None}
                and sum(a.cancel_at == 6.0 for a in plan.trace) > 10
            ),
            id="cancellation-wave",
        ),
        pytest.param(
            lopsided_entries, lambda plan: plan.entries == 1, id="lopsided"
        ),
    ],
)
def test_experiment_changes_its_plan(make, check):
    assert check(make(KYKLOS, 20.0, 7))
