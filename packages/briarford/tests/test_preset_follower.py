"""A process must find newer records whatever fails: the store or a watch.

Each case is a sequence of answers with faults: the store is down, a watch
reports no change or fails, a read is stale. The follower must neither stop
asking nor go back to an older record.
"""

from __future__ import annotations

import random

import pytest

from briarford.presets import (
    Edit,
    PresetHolder,
    SleepUntil,
    Woken,
    apply_change,
    encode_record,
    make_default_record,
)
from briarford.presets.follower import (
    AskPeers,
    ListRecord,
    PeersAnswered,
    PresetFollower,
    StoreAnswered,
    StoreCallFailed,
    WatchRecord,
)
from briarford.store import KeyListing, KeyValue


def encode_version(version):
    """Return an encoded record of a version."""
    record = make_default_record()
    for n in range(2, version + 1):
        record = apply_change(
            record,
            (Edit(("active",), None, ("ordinary", "peak")[n % 2]),),
            change_id=f"c{n}",
            who="ann",
            why="x",
            when=0.0,
        )
    return encode_record(record)


def answer_list(version, revision=9):
    return StoreAnswered(
        KeyListing(revision, (KeyValue("k", encode_version(version), 1),))
    )


def answer_peers(*versions):
    return PeersAnswered(tuple(encode_version(v) for v in versions))


NO_RECORD = StoreAnswered(KeyListing(0, ()))
NO_CHANGE = StoreAnswered(None)
STORE_FAILED = StoreCallFailed()
WOKEN = Woken()


@pytest.mark.parametrize(
    ("events", "calls", "version"),
    [
        pytest.param([answer_list(1)], "list watch", 1, id="start"),
        pytest.param([NO_RECORD], "list watch", 0, id="no-record-yet"),
        pytest.param(
            [answer_list(1), answer_list(3)],
            "list watch watch",
            3,
            id="watch-reports-a-change",
        ),
        pytest.param(
            [answer_list(1), NO_CHANGE, answer_list(2)],
            "list watch list watch",
            2,
            id="watch-misses-a-change-that-the-list-shows",
        ),
        pytest.param(
            [answer_list(1), STORE_FAILED, answer_list(2)],
            "list watch list watch",
            2,
            id="watch-fails",
        ),
        pytest.param(
            [answer_list(3), answer_list(2)],
            "list watch watch",
            3,
            id="stale-read",
        ),
        pytest.param(
            [answer_list(3), NO_RECORD],
            "list watch watch",
            3,
            id="key-is-missing",
        ),
        pytest.param(
            [STORE_FAILED, answer_peers(2, 4, 3)],
            "list peers sleep",
            4,
            id="started-with-the-store-down",
        ),
        pytest.param(
            [
                STORE_FAILED,
                answer_peers(),
                WOKEN,
                STORE_FAILED,
                answer_peers(1),
                WOKEN,
                answer_list(2),
            ],
            "list peers sleep list peers sleep list watch",
            2,
            id="peers-have-no-record-at-first",
        ),
        pytest.param(
            [
                answer_list(1),
                STORE_FAILED,
                STORE_FAILED,
                answer_peers(2),
                WOKEN,
                answer_list(1),
                answer_list(3),
            ],
            "list watch list peers sleep list watch watch",
            3,
            id="store-fails-then-answers-with-an-older-record",
        ),
    ],
)
def test_follower_keeps_asking_after_each_fault(events, calls, version):
    names = {
        ListRecord: "list",
        WatchRecord: "watch",
        AskPeers: "peers",
        SleepUntil: "sleep",
    }
    follower = PresetFollower(PresetHolder(), random.Random(0))
    effects = [follower.start(0.0)]
    for event in events:
        effects.append(follower.handle(event, 0.0))
    assert " ".join(names[type(e)] for e in effects) == calls
    assert follower.holder.version == version
    adopted = [a.version for a in follower.pop_adopted()]
    assert adopted == sorted(set(adopted))


def test_retry_delay_grows_to_a_bound_and_is_reset_by_an_answer():
    follower = PresetFollower(PresetHolder(), random.Random(0))
    follower.start(0.0)
    retry_times = []
    for _ in range(12):
        follower.handle(STORE_FAILED, 0.0)
        retry_times.append(follower.handle(answer_peers(), 0.0).at)
        follower.handle(WOKEN, 0.0)
    assert retry_times[0] <= 0.2
    assert max(retry_times) <= 1.5
    assert min(retry_times[6:]) >= 0.75
    follower.handle(answer_list(1), 0.0)
    follower.handle(STORE_FAILED, 0.0)
    follower.handle(STORE_FAILED, 0.0)
    assert follower.handle(answer_peers(), 0.0).at <= 0.2
