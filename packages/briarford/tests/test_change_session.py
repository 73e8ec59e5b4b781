"""One session against scripted answers: each fault at each step."""

from __future__ import annotations

import random

import pytest

from briarford.presets import (
    Accepted,
    ChangeRequest,
    ChangeSession,
    Conflicted,
    Edit,
    NotAccepted,
    OutcomeUnknown,
    ReadAnswered,
    ReadRecord,
    SleepUntil,
    StoreFailed,
    Woken,
    WriteAnswered,
    WriteRecord,
    apply_change,
    encode_record,
    make_default_record,
)
from briarford.store import KeyValue

QUEUE = ("presets", "peak", "limits", "queue_bound")
MINE = Edit(QUEUE, 5000, 7)
CLASHING = Edit(QUEUE, 5000, 8)
OTHER = Edit(("active",), "ordinary", "peak")
V1 = make_default_record()
DEADLINE = 1.0


def follow(record, change_id, edit):
    return apply_change(
        record, (edit,), change_id=change_id, who="bob", why="x", when=0.0
    )


def stored(record):
    return KeyValue("k", encode_record(record), record.version)


def follow_far(record):
    for n in range(30):
        edit = Edit(("active",), None, ("peak", "ordinary")[n % 2])
        record = follow(record, f"far-{n}", edit)
    return record


WRITTEN = WriteAnswered(None)
REFUSED = StoreFailed("down", False)
SILENT = StoreFailed("no answer", True)
AT_V1 = ReadAnswered(stored(V1))
GONE = ReadAnswered(None)
MADE = ReadAnswered(stored(follow(V1, "mine", MINE)))
MADE_THEN_OTHER = ReadAnswered(
    stored(follow(follow(V1, "mine", MINE), "b", OTHER))
)
OTHERS = ReadAnswered(stored(follow(V1, "b", OTHER)))
CLASH = ReadAnswered(stored(follow(V1, "b", CLASHING)))
FAR = ReadAnswered(stored(follow_far(V1)))
GARBAGE = ReadAnswered(KeyValue("k", b"{", 9))


def swapped(found):
    return WriteAnswered(found.found)


def run(script, reapply=False):
    """Answer a session's reads and writes from a script, then silence."""
    req = ChangeRequest("mine", (MINE,), "ann", "why", DEADLINE, reapply)
    session = ChangeSession(req, V1, 1, random.Random(1))
    effect = session.start(0.0)
    answers = iter(script)
    calls = []
    now = 0.0
    while isinstance(effect, ReadRecord | WriteRecord | SleepUntil):
        if isinstance(effect, SleepUntil):
            now = effect.at
            assert now < DEADLINE
            effect = session.handle(Woken(), now)
            continue
        is_write = isinstance(effect, WriteRecord)
        calls.append(f"w{effect.expected}" if is_write else "r")
        event = next(answers, StoreFailed("silence", is_write))
        effect = session.handle(event, now)
    return effect, calls


@pytest.mark.parametrize(
    ("script", "reapply", "outcome", "calls"),
    [
        pytest.param([WRITTEN], False, Accepted, "w1", id="written"),
        pytest.param(
            [REFUSED, WRITTEN], False, Accepted, "w1 w1", id="down-then-up"
        ),
        pytest.param([REFUSED] * 9, False, NotAccepted, None, id="down"),
        pytest.param([], False, OutcomeUnknown, None, id="silent-throughout"),
        pytest.param(
            [SILENT, MADE], False, Accepted, "w1 r", id="answer-lost"
        ),
        pytest.param(
            [SILENT, MADE_THEN_OTHER],
            False,
            Accepted,
            "w1 r",
            id="answer-lost-then-changed-by-another",
        ),
        pytest.param(
            [SILENT, AT_V1, WRITTEN],
            False,
            Accepted,
            "w1 r w1",
            id="request-lost",
        ),
        pytest.param(
            [SILENT, AT_V1, swapped(MADE)],
            False,
            Accepted,
            "w1 r w1",
            id="write-arrives-late-or-read-was-stale",
        ),
        pytest.param(
            [SILENT, REFUSED, REFUSED, MADE],
            False,
            Accepted,
            "w1 r r r",
            id="down-while-reading-back",
        ),
        pytest.param(
            [SILENT] + [REFUSED] * 9,
            False,
            OutcomeUnknown,
            None,
            id="doubt-outlives-a-proven-refusal",
        ),
        pytest.param(
            [SILENT, OTHERS],
            False,
            Conflicted,
            "w1 r",
            id="lost-to-another",
        ),
        pytest.param(
            [SILENT, GONE, GARBAGE, MADE],
            False,
            Accepted,
            "w1 r r r",
            id="key-gone-then-unreadable-then-there",
        ),
        pytest.param(
            [SILENT, FAR],
            False,
            OutcomeUnknown,
            "w1 r",
            id="history-too-short",
        ),
        pytest.param(
            [swapped(FAR)], False, Conflicted, "w1", id="seen-long-ago"
        ),
        pytest.param(
            [swapped(OTHERS)], False, Conflicted, "w1", id="conflict"
        ),
        pytest.param(
            [swapped(OTHERS), WRITTEN],
            True,
            Accepted,
            "w1 w2",
            id="reapplied",
        ),
        pytest.param(
            [swapped(CLASH)], True, Conflicted, "w1", id="clash-is-not"
        ),
        pytest.param(
            [swapped(OTHERS), SILENT, AT_V1, OTHERS, WRITTEN],
            True,
            Accepted,
            "w1 w2 r r w2",
            id="stale-read-after-reapplying",
        ),
        pytest.param(
            [swapped(OTHERS), REFUSED, WRITTEN],
            True,
            Accepted,
            "w1 w2 w2",
            id="down-while-reapplying",
        ),
    ],
)
def test_each_fault_at_each_step(script, reapply, outcome, calls):
    got, made = run(script, reapply)
    assert isinstance(got, outcome)
    if calls is not None:
        assert " ".join(made) == calls


def test_a_conflict_shows_both_edits():
    got, _ = run([swapped(CLASH)])
    assert got.mine == (MINE,)
    assert got.theirs == (CLASHING,)
    assert got.clashes[0].mine is MINE


def test_a_change_that_is_in_the_record_is_not_made_again():
    made = follow(V1, "mine", MINE)
    req = ChangeRequest("mine", (MINE,), "ann", "why", DEADLINE)
    session = ChangeSession(req, made, 2, random.Random(1))
    assert session.start(0.0) == Accepted("mine", 2)
