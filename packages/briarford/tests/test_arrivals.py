"""Which submissions wait, as they may have been held on their way."""

from __future__ import annotations

import pytest

from briarford.intake import ClientNetworks, Suspensions
from briarford.intake.arrivals import MAX_SETTLE_S, SETTLE_S

OURS = b"\x0a\x01\x02"
THEIRS = b"\x0a\x01\x03"


class Clients:
    """Connections by name; those named in capitals are of another network."""

    def __init__(self):
        self.networks = ClientNetworks()
        self.connections = {}

    def play(self, events):
        """Play events, and return the delays of submissions in ms."""
        delays = []
        for now, name, what in events:
            conn = self.connections.get(name)
            if what == "open":
                prefix = THEIRS if name.isupper() else OURS
                self.connections[name] = self.networks.open(prefix, now)
            elif what == "end":
                del self.connections[name]
                conn.ended(now)
            else:
                conn.received(now)
            if what == "submit":
                conn.submitted(now)
                delays.append(round(max(0.0, conn.settled_at - now) * 1e3))
        return delays


def steady(name, first, last, period=0.25):
    """Return submissions on a connection that is in use."""
    count = round((last - first) / period)
    return [(first + n * period, name, "submit") for n in range(count)]


OPEN = [(0.0, "a", "open"), (0.0, "b", "open"), (0.0, "c", "open")]
SETTLE_MS = round(SETTLE_S * 1e3)
# What happens, and the delay of the last submission.
PLAYS = {
    "a new connection": ([(0.0, "a", "open"), (0.01, "a", "submit")], 0),
    "a connection in use": ([*OPEN, *steady("a", 0.1, 9.0)], 0),
    "a connection that nobody else shows to be cut off": (
        [*OPEN, (0.1, "a", "submit"), (3.0, "a", "submit")],
        SETTLE_MS,
    ),
    "a silent connection, while others of the network are in use": (
        [
            *OPEN,
            (0.1, "a", "submit"),
            *steady("b", 0.2, 9.0),
            (9.0, "a", "submit"),
        ],
        0,
    ),
    "a connection that is silent as usual": (
        [*OPEN, *steady("a", 0.1, 9.0, 1.0), (9.1, "a", "submit")],
        0,
    ),
    "a connection that is silent for longer than usual": (
        [*OPEN, *steady("a", 0.1, 9.0, 1.0), (10.2, "a", "submit")],
        SETTLE_MS,
    ),
    "a connection that is silent as before a while": (
        [
            *OPEN,
            *steady("a", 0.1, 9.0, 1.0),
            *steady("a", 9.1, 19.0, 0.1),
            (20.0, "a", "submit"),
        ],
        SETTLE_MS,
    ),
    "while others of another network are in use": (
        [
            *OPEN,
            (0.0, "X", "open"),
            (0.1, "a", "submit"),
            *steady("X", 0.2, 9.0),
            (9.0, "a", "submit"),
        ],
        SETTLE_MS,
    ),
    "after a silence of the network": (
        [
            *OPEN,
            *steady("b", 0.2, 5.0),
            (8.0, "b", "submit"),
            (8.1, "a", "submit"),
        ],
        SETTLE_MS,
    ),
    "long after it": (
        [
            *OPEN,
            *steady("b", 0.2, 5.0),
            *steady("b", 8.0, 13.0),
            (13.0, "a", "submit"),
        ],
        0,
    ),
    "as long again after it": (
        [
            *OPEN,
            *steady("b", 0.2, 5.0),
            *steady("b", 8.0, 11.5),
            (11.5, "a", "submit"),
        ],
        SETTLE_MS,
    ),
    "once after it": (
        [
            *OPEN,
            *steady("b", 0.2, 5.0),
            *steady("b", 8.0, 11.0),
            (8.1, "a", "submit"),
            (11.0, "a", "submit"),
        ],
        0,
    ),
    "what arrives while an earlier submission waits": (
        [*OPEN, (3.0, "a", "submit"), (3.02, "a", "submit")],
        SETTLE_MS,
    ),
    "what arrives once it has been served": (
        [*OPEN, (3.0, "a", "submit"), (3.1, "a", "submit")],
        0,
    ),
    "a body that was held after its head": (
        [
            *OPEN,
            (0.1, "a", "receive"),
            (3.0, "a", "receive"),
            (3.01, "a", "submit"),
        ],
        SETTLE_MS,
    ),
    "after another one has ended at once": (
        [
            *OPEN,
            *steady("b", 0.2, 5.0),
            (5.0, "a", "submit"),
            (5.01, "a", "end"),
            (5.02, "c", "submit"),
        ],
        SETTLE_MS,
    ),
    "after another one has ended later": (
        [
            *OPEN,
            *steady("b", 0.2, 5.0),
            (5.0, "a", "submit"),
            (5.1, "a", "end"),
            (5.15, "c", "submit"),
        ],
        0,
    ),
}


@pytest.mark.parametrize(
    ("events", "delay_ms"), PLAYS.values(), ids=PLAYS.keys()
)
def test_a_submission_waits_if_it_may_have_been_held(events, delay_ms):
    """Guards against a start beside the repeat of a request that was held."""
    events = sorted(events, key=lambda e: e[0])
    assert Clients().play(events)[-1] == delay_ms


def test_a_submission_waits_only_so_long_for_what_follows():
    conn = ClientNetworks().open(OURS, 0.0)
    conn.received(3.0)
    conn.submitted(3.0)
    for n in range(1, 40):
        conn.received(3.0 + n / 100)
    assert conn.settled_at == 3.0 + MAX_SETTLE_S


def test_only_the_latest_submission_counts_as_held():
    """Guards against a busy client whose end is taken for a held one."""
    conn = ClientNetworks().open(OURS, 0.0)
    for now in (3.0, 3.2):
        conn.received(now)
        conn.submitted(now)
        conn.unresolved = False  # it has been served
    assert conn.silent_s == 0.0


def test_a_submission_waits_for_two_round_trips():
    conn = ClientNetworks().open(OURS, 0.0)
    conn.received(3.0)
    conn.submitted(3.0, 0.04)
    assert conn.settled_at == pytest.approx(3.0 + SETTLE_S + 0.08)


@pytest.mark.parametrize(
    ("reads", "arrived_at", "suspended_s"),
    [
        ([(100.0, 100.0), (101.0, 101.0)], 100.5, 0.0),
        ([(100.0, 100.0), (100.2, 102.8)], 100.1, 2.6),
        ([(100.0, 100.0), (100.2, 102.8)], 100.2, 2.6),
        ([(100.0, 100.0), (100.2, 102.8), (100.3, 102.9)], 100.25, 0.0),
        ([(100.0, 100.0), (100.2, 102.8), (100.3, 102.9)], 100.1, 2.6),
        ([(100.0, 100.0), (100.2, 100.22)], 100.1, 0.0),
    ],
    ids=[
        "never",
        "since the arrival",
        "perhaps since the arrival",
        "before the arrival",
        "since an arrival that is read late",
        "clocks that are read apart",
    ],
)
def test_a_suspension_since_an_arrival_is_known(
    reads, arrived_at, suspended_s
):
    """Guards against a client's time that stands still with the machine."""
    suspensions = Suspensions(*reads[0])
    for steady_at, boot_at in reads[1:]:
        suspensions.observe(steady_at, boot_at)
    assert suspensions.since(arrived_at) == pytest.approx(suspended_s)
