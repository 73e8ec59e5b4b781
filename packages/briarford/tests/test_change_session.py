"""A change session must report the true outcome, whatever the store answers.

Scripted answers stand for the faults of the store: it is down, a request or
an answer is lost, a read is stale, or another operator has changed the
record. A wrong outcome, or a change made twice, would come from a session
that trusts an answer which proves nothing.
"""

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
    ReadOrWriteFailed,
    ReadRecord,
    SleepUntil,
    Woken,
    WriteAnswered,
    WriteRecord,
    apply_change,
    encode_record,
    make_default_record,
)
from briarford.store import KeyValue

QUEUE_BOUND = ("presets", "peak", "limits", "queue_bound")
OWN_EDIT = Edit(QUEUE_BOUND, 5000, 7)
CLASHING_EDIT = Edit(QUEUE_BOUND, 5000, 8)
OTHER_EDIT = Edit(("active",), "ordinary", "peak")
V1 = make_default_record()
DEADLINE = 1.0


def apply_one(record, change_id, edit):
    return apply_change(
        record, (edit,), change_id=change_id, who="bob", why="x", when=0.0
    )


def make_key(record):
    return KeyValue("k", encode_record(record), record.version)


def apply_until_trimmed(record):
    """Apply so many changes that the history drops the first ones."""
    for n in range(30):
        edit = Edit(("active",), None, ("peak", "ordinary")[n % 2])
        record = apply_one(record, f"far-{n}", edit)
    return record


WRITE_OK = WriteAnswered(None)
STORE_DOWN = ReadOrWriteFailed("down", False)
ANSWER_LOST = ReadOrWriteFailed("no answer", True)
READ_V1 = ReadAnswered(make_key(V1))
READ_NO_KEY = ReadAnswered(None)
READ_OWN_CHANGE = ReadAnswered(make_key(apply_one(V1, "mine", OWN_EDIT)))
READ_OWN_THEN_OTHER = ReadAnswered(
    make_key(apply_one(apply_one(V1, "mine", OWN_EDIT), "b", OTHER_EDIT))
)
READ_OTHER_CHANGE = ReadAnswered(make_key(apply_one(V1, "b", OTHER_EDIT)))
READ_CLASHING_CHANGE = ReadAnswered(
    make_key(apply_one(V1, "b", CLASHING_EDIT))
)
READ_TRIMMED_HISTORY = ReadAnswered(make_key(apply_until_trimmed(V1)))
READ_UNREADABLE = ReadAnswered(KeyValue("k", b"{", 9))


def write_conflict(found):
    """Make the answer to a write that found the record of a read."""
    return WriteAnswered(found.found)


def run_script(answers, reapply=False):
    """Run a session with scripted answers, and then without any answer.

    :param answers: answers to its reads and writes, in order.
    :return: the outcome and the calls: ``r`` for a read, ``w`` and the
        expected version for a write.
    """
    req = ChangeRequest("mine", (OWN_EDIT,), "ann", "why", DEADLINE, reapply)
    session = ChangeSession(req, V1, 1, random.Random(1))
    effect = session.start(0.0)
    remaining = iter(answers)
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
        event = next(remaining, ReadOrWriteFailed("silence", is_write))
        effect = session.handle(event, now)
    return effect, calls


@pytest.mark.parametrize(
    ("answers", "reapply", "outcome", "calls"),
    [
        pytest.param([WRITE_OK], False, Accepted, "w1", id="written"),
        pytest.param(
            [STORE_DOWN, WRITE_OK], False, Accepted, "w1 w1", id="down-then-up"
        ),
        pytest.param([STORE_DOWN] * 9, False, NotAccepted, None, id="down"),
        pytest.param([], False, OutcomeUnknown, None, id="silent-throughout"),
        pytest.param(
            [ANSWER_LOST, READ_OWN_CHANGE],
            False,
            Accepted,
            "w1 r",
            id="answer-lost",
        ),
        pytest.param(
            [ANSWER_LOST, READ_OWN_THEN_OTHER],
            False,
            Accepted,
            "w1 r",
            id="answer-lost-then-changed-by-another",
        ),
        pytest.param(
            [ANSWER_LOST, READ_V1, WRITE_OK],
            False,
            Accepted,
            "w1 r w1",
            id="request-lost",
        ),
        pytest.param(
            [ANSWER_LOST, READ_V1, write_conflict(READ_OWN_CHANGE)],
            False,
            Accepted,
            "w1 r w1",
            id="write-arrives-late-or-read-was-stale",
        ),
        pytest.param(
            [ANSWER_LOST, STORE_DOWN, STORE_DOWN, READ_OWN_CHANGE],
            False,
            Accepted,
            "w1 r r r",
            id="down-while-reading-back",
        ),
        pytest.param(
            [ANSWER_LOST] + [STORE_DOWN] * 9,
            False,
            OutcomeUnknown,
            None,
            id="unknown-even-if-the-store-refuses-later-calls",
        ),
        pytest.param(
            [ANSWER_LOST, READ_OTHER_CHANGE],
            False,
            Conflicted,
            "w1 r",
            id="another-change-was-stored-instead",
        ),
        pytest.param(
            [ANSWER_LOST, READ_NO_KEY, READ_UNREADABLE, READ_OWN_CHANGE],
            False,
            Accepted,
            "w1 r r r",
            id="key-missing-then-unreadable-then-readable",
        ),
        pytest.param(
            [ANSWER_LOST, READ_TRIMMED_HISTORY],
            False,
            OutcomeUnknown,
            "w1 r",
            id="history-too-short",
        ),
        pytest.param(
            [write_conflict(READ_TRIMMED_HISTORY)],
            False,
            Conflicted,
            "w1",
            id="record-was-read-long-ago",
        ),
        pytest.param(
            [write_conflict(READ_OTHER_CHANGE)],
            False,
            Conflicted,
            "w1",
            id="conflict",
        ),
        pytest.param(
            [write_conflict(READ_OTHER_CHANGE), WRITE_OK],
            True,
            Accepted,
            "w1 w2",
            id="reapplied",
        ),
        pytest.param(
            [write_conflict(READ_CLASHING_CHANGE)],
            True,
            Conflicted,
            "w1",
            id="clash-is-not-reapplied",
        ),
        pytest.param(
            [
                write_conflict(READ_OTHER_CHANGE),
                ANSWER_LOST,
                READ_V1,
                READ_OTHER_CHANGE,
                WRITE_OK,
            ],
            True,
            Accepted,
            "w1 w2 r r w2",
            id="stale-read-after-reapplying",
        ),
        pytest.param(
            [write_conflict(READ_OTHER_CHANGE), STORE_DOWN, WRITE_OK],
            True,
            Accepted,
            "w1 w2 w2",
            id="down-while-reapplying",
        ),
    ],
)
def test_outcome_is_true_after_each_fault(answers, reapply, outcome, calls):
    result, calls_made = run_script(answers, reapply)
    assert isinstance(result, outcome)
    if calls is not None:
        assert " ".join(calls_made) == calls


def test_conflict_shows_the_edits_of_both_operators():
    result, _ = run_script([write_conflict(READ_CLASHING_CHANGE)])
    assert result.mine == (OWN_EDIT,)
    assert result.theirs == (CLASHING_EDIT,)
    assert result.clashes[0].mine is OWN_EDIT


def test_change_that_is_already_in_the_record_is_not_made_again():
    changed = apply_one(V1, "mine", OWN_EDIT)
    req = ChangeRequest("mine", (OWN_EDIT,), "ann", "why", DEADLINE)
    session = ChangeSession(req, changed, 2, random.Random(1))
    assert session.start(0.0) == Accepted("mine", 2)
