"""What a process asks next, for each fault at each step."""

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
from briarford.store import KeyValue, Listing


def encoded(version):
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


def listed(version, revision=9):
    return StoreAnswered(
        Listing(revision, (KeyValue("k", encoded(version), 1),))
    )


def peers(*versions):
    return PeersAnswered(tuple(encoded(v) for v in versions))


EMPTY = StoreAnswered(Listing(0, ()))
QUIET = StoreAnswered(None)
FAIL = StoreCallFailed()
WOKEN = Woken()


@pytest.mark.parametrize(
    ("events", "asked", "version"),
    [
        pytest.param([listed(1)], "list watch", 1, id="start"),
        pytest.param([EMPTY], "list watch", 0, id="no-record-yet"),
        pytest.param(
            [listed(1), listed(3)], "list watch watch", 3, id="watch-fires"
        ),
        pytest.param(
            [listed(1), QUIET, listed(2)],
            "list watch list watch",
            2,
            id="watch-brings-nothing-but-the-read-does",
        ),
        pytest.param(
            [listed(1), FAIL, listed(2)],
            "list watch list watch",
            2,
            id="watch-silent",
        ),
        pytest.param(
            [listed(3), listed(2)], "list watch watch", 3, id="stale-read"
        ),
        pytest.param(
            [listed(3), EMPTY], "list watch watch", 3, id="key-is-gone"
        ),
        pytest.param(
            [FAIL, peers(2, 4, 3)],
            "list peers sleep",
            4,
            id="started-with-the-store-down",
        ),
        pytest.param(
            [FAIL, peers(), WOKEN, FAIL, peers(1), WOKEN, listed(2)],
            "list peers sleep list peers sleep list watch",
            2,
            id="peers-know-nothing-at-first",
        ),
        pytest.param(
            [listed(1), FAIL, FAIL, peers(2), WOKEN, listed(1), listed(3)],
            "list watch list peers sleep list watch watch",
            3,
            id="store-lost-then-back-with-an-older-record",
        ),
    ],
)
def test_each_fault_at_each_step(events, asked, version):
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
    assert " ".join(names[type(e)] for e in effects) == asked
    assert follower.holder.version == version
    adopted = [a.version for a in follower.pop_adopted()]
    assert adopted == sorted(set(adopted))


def test_the_pause_grows_to_a_bound_and_ends_with_an_answer():
    follower = PresetFollower(PresetHolder(), random.Random(0))
    follower.start(0.0)
    pauses = []
    for _ in range(12):
        follower.handle(FAIL, 0.0)
        pauses.append(follower.handle(peers(), 0.0).at)
        follower.handle(WOKEN, 0.0)
    assert pauses[0] <= 0.2
    assert max(pauses) <= 1.5
    assert min(pauses[6:]) >= 0.75
    follower.handle(listed(1), 0.0)
    follower.handle(FAIL, 0.0)
    follower.handle(FAIL, 0.0)
    assert follower.handle(peers(), 0.0).at <= 0.2
