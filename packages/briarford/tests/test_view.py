"""The view record, the lease on it, and the routes that follow from them."""

from __future__ import annotations

import math

import pytest

from briarford.homes import (
    ClientChosenId,
    Departed,
    Epoch,
    ForwardTo,
    IdAllocator,
    Member,
    Router,
    ServeAsHeir,
    ServeHere,
    ViewHolder,
    ViewLease,
    ViewRecord,
)
from briarford.homes.clocks import PeerClocks
from briarford.homes.holder import MEMBER_ABSENCE_S
from briarford.homes.ids import FIRST_SUBMIT_WINDOW_S, RECORD_GRACE_S
from briarford.homes.lease import (
    CLOCK_SKEW_S,
    STORE_ABSENCE_S,
    VIEW_LEASE_S,
)
from briarford.homes.messages import WireOutcome, from_wire, to_wire
from briarford.homes.view import EPOCHS_KEPT_S
from briarford.membership import EntryRecord
from briarford.messages import decode, encode
from briarford.outcomes import (
    Completed,
    Failed,
    FailureReason,
    RefusalReason,
    Refused,
    Step,
)

NOW = 1_800_000_000.0
E1, E2, E3 = (Member(f"e{n}", f"i{n}", f"10.0.0.{n}:1") for n in (1, 2, 3))
LEASE = VIEW_LEASE_S + CLOCK_SKEW_S


def make_record(*members, version=1, **fields):
    return ViewRecord(version, (Epoch(NOW - 300, members),), **fields)


@pytest.mark.parametrize(
    ("record", "calls", "known_until"),
    [
        pytest.param(make_record(E1), [], -math.inf, id="never-confirmed"),
        pytest.param(
            make_record(E1, E2), [("store", NOW)], NOW + LEASE, id="store"
        ),
        pytest.param(
            make_record(E1, E2),
            [("store", NOW), ("store", NOW - 9)],
            NOW + LEASE,
            id="late-answer-does-not-shorten",
        ),
        pytest.param(
            make_record(E1, E2, E3),
            [("store", NOW), (E2, NOW + 9), (E3, NOW + 8)],
            NOW + 8 + LEASE,
            id="all-peers",
        ),
        pytest.param(
            make_record(E1, E2, E3),
            [("store", NOW), (E2, NOW + 9)],
            NOW + LEASE,
            id="one-peer-is-not-enough",
        ),
        pytest.param(
            make_record(E1, E2),
            [("store", NOW), (E2, NOW + 2 * STORE_ABSENCE_S)],
            NOW + STORE_ABSENCE_S + CLOCK_SKEW_S,
            id="store-absent-too-long",
        ),
        pytest.param(
            make_record(E1, E2),
            [(E2, NOW)],
            -math.inf,
            id="never-confirmed-by-the-store",
        ),
        pytest.param(
            make_record(E1, E2, announced=(E1,), holds_until=NOW + 5),
            [("store", NOW + 9), (E2, NOW + 9)],
            NOW + 5,
            id="announcement-limits-the-lease",
        ),
        pytest.param(
            make_record(E1, E2),
            [("store", NOW), ("adopt", make_record(E1, E2, version=2))],
            NOW + LEASE,
            id="newer-record-does-not-shorten",
        ),
        pytest.param(
            make_record(E1, E2, E3),
            [
                (E2, NOW + 3),
                ("adopt", make_record(E1, E2, E3, version=2)),
                ("store", NOW + 1),
                (E3, NOW + 3),
            ],
            NOW + 1 + LEASE,
            id="confirmation-of-an-older-record-does-not-count",
        ),
    ],
)
def test_lease_reaches_no_further_than_confirmed(record, calls, known_until):
    """An entry whose lease is too long serves ids of an epoch it cannot know.

    Late, partial or outdated confirmations must not extend the lease.
    """
    lease = ViewLease(E1)
    lease.adopt(record)
    for kind, argument in calls:
        if kind == "store":
            lease.confirm_by_store(argument)
        elif kind == "adopt":
            lease.adopt(argument)
        else:
            lease.confirm_by_peer(kind.name, kind.incarnation, argument)
    assert lease.known_until == known_until


def make_holder(me, record, checked=True):
    holder = ViewHolder(me)
    if checked:
        holder.clocks.receive_reading("other", NOW, NOW, NOW)
    if record is not None:
        holder.receive_store_record(record, NOW)
    return holder


def registered(*members, leaving=()):
    staying = tuple(EntryRecord(m) for m in members)
    return staying + tuple(EntryRecord(m, True) for m in leaving)


@pytest.mark.parametrize(
    ("me", "record", "entries", "starts_at"),
    [
        pytest.param(
            E1,
            make_record(E1, E2, announced=(E1,), holds_until=NOW),
            registered(E1),
            NOW + VIEW_LEASE_S + 2 * CLOCK_SKEW_S,
            id="member-waits-for-leases",
        ),
        pytest.param(
            E1,
            make_record(E1, E2, announced=(E1,), holds_until=NOW + 99),
            registered(E1),
            NOW + 99,
            id="not-before-the-announced-hold",
        ),
        pytest.param(
            E3,
            make_record(E1, E2, announced=(E3,), holds_until=NOW),
            registered(E3),
            NOW + STORE_ABSENCE_S + 2 * CLOCK_SKEW_S,
            id="outsider-waits-for-the-absence-of-the-store",
        ),
        pytest.param(
            E3,
            make_record(announced=(E3,), holds_until=NOW),
            registered(E3),
            NOW + VIEW_LEASE_S + 2 * CLOCK_SKEW_S,
            id="all-had-left",
        ),
    ],
)
def test_activation_starts_after_all_leases(me, record, entries, starts_at):
    """Two entries serve one id if an epoch starts while old leases run."""
    made = make_holder(me, record).plan_write(entries, NOW)
    assert made.version == record.version + 1
    assert made.announced is None
    assert made.epochs[-1] == Epoch(starts_at, record.announced)


@pytest.mark.parametrize(
    ("me", "record", "entries"),
    [
        pytest.param(E1, make_record(E1, E2), registered(E1, E2), id="same"),
        pytest.param(
            E1, make_record(E1, E2), registered(E1), id="just-unregistered"
        ),
        pytest.param(E1, make_record(E1), registered(E2), id="not-registered"),
        pytest.param(
            E3, make_record(E1, E2), registered(E1, E3), id="not-a-member"
        ),
        pytest.param(E1, None, registered(E2), id="none-and-not-registered"),
    ],
)
def test_entry_writes_nothing_if_unchanged_or_not_entitled(
    me, record, entries
):
    """A write by an entry that sees too little would remove live members."""
    assert make_holder(me, record).plan_write(entries, NOW) is None


@pytest.mark.parametrize(
    ("entries", "announced", "departed"),
    [
        pytest.param(registered(E1, E2, E3), (E1, E2, E3), (), id="joins"),
        pytest.param(registered(E1, leaving=[E2]), (E1,), (), id="leaves"),
        pytest.param(
            registered(E1), (E1,), (Departed("e2", "i2", NOW),), id="is-lost"
        ),
        pytest.param(
            registered(E1, Member("e2", "new", E2.address)),
            (E1, Member("e2", "new", E2.address)),
            (Departed("e2", "i2", NOW),),
            id="is-replaced",
        ),
    ],
)
def test_announcement_names_next_members_and_lost_incarnations(
    entries, announced, departed
):
    holder = make_holder(E1, make_record(E1, E2))
    holder.plan_write(registered(E1, E2), NOW - MEMBER_ABSENCE_S)
    made = holder.plan_write(entries, NOW)
    assert made.announced == announced
    assert made.departed == departed
    assert made.epochs == make_record(E1, E2).epochs
    assert made.holds_until > NOW


@pytest.mark.parametrize(
    ("departed", "named"),
    [((), True), ((Departed("e3", "i3", NOW),), False)],
    ids=["successor-present", "successor-departed"],
)
def test_departure_names_only_a_successor_that_has_not_departed(
    departed, named
):
    """Clients would be sent to a successor that has stopped itself."""
    record = make_record(E1, E2, E3, departed=departed)
    made = make_holder(E1, record).plan_departure(E3, NOW)
    assert (made is not None) is named
    if made is not None:
        assert made.departed == (Departed("e1", "i1", NOW, E3),)
        assert made.epochs == record.epochs


def test_member_with_an_unchecked_clock_neither_writes_nor_extends_its_lease():
    """The start of an epoch and the lease are as wrong as the clock is."""
    holder = make_holder(E1, make_record(E1, E2), checked=False)
    assert holder.plan_write(registered(E1, E2, E3), NOW) is None
    assert holder.lease.known_until == -math.inf


def test_older_or_conflicting_record_is_neither_adopted_nor_confirmed():
    """Late replies carry older records; a recreated key repeats versions.

    Neither may replace the record or extend the lease on it.
    """
    holder = make_holder(E1, make_record(E1, E2, version=3))
    bound = holder.lease.known_until
    for other in (make_record(E3, version=2), make_record(E3, version=3)):
        holder.receive_store_record(other, NOW + 9)
        holder.receive_peer_tag(("e2", "i2"), other.tag(), NOW + 9, NOW + 9)
    assert holder.record == make_record(E1, E2, version=3)
    assert holder.lease.known_until == bound


def test_next_record_drops_old_epochs_and_departures():
    """The record would grow with each change of the members."""
    ages = (3 * EPOCHS_KEPT_S, 2 * EPOCHS_KEPT_S, 1.0)
    epochs = tuple(Epoch(NOW - age, (E1,)) for age in ages)
    departures = tuple(Departed("e2", f"i{age}", NOW - age) for age in ages)
    made = ViewRecord(1, epochs, departed=departures).make_next(now=NOW)
    assert made.epochs == epochs[1:]
    assert made.departed == departures[2:]


@pytest.mark.parametrize(
    ("sent", "trusted"),
    [
        pytest.param([], False, id="no-reading"),
        pytest.param([0.5], True, id="within-skew"),
        pytest.param([3.0], False, id="peer-ahead"),
        pytest.param([-3.0], False, id="peer-behind"),
        pytest.param([0.0, 50.0], True, id="one-of-two-is-wrong"),
        pytest.param([50.0, 51.0, 0.0], False, id="most-disagree"),
    ],
)
def test_own_clock_is_trusted_only_if_half_of_the_peers_agree(sent, trusted):
    """A single peer with a wrong clock must not stop a correct entry."""
    clocks = PeerClocks(CLOCK_SKEW_S)
    for number, offset in enumerate(sent):
        clocks.receive_reading(f"e{number}", NOW + offset, NOW, NOW + 0.1)
    assert clocks.is_own_clock_trusted() is trusted


def make_id(created_at, serial=1):
    ms = f"{round(created_at * 1000):012x}"
    return f"{ms[:8]}-{ms[8:]}-7000-8000-{serial:012x}"


WINDOW = FIRST_SUBMIT_WINDOW_S
WITH_SUCCESSOR = (Departed("e2", "i2", NOW, E3),)
WITHOUT_SUCCESSOR = (Departed("e2", "i2", NOW),)
SUCCESSOR_CIRCLE = (*WITH_SUCCESSOR, Departed("e3", "i3", NOW, E2))
SUCCESSOR_CHAIN = (*WITH_SUCCESSOR, Departed("e3", "i3", NOW, E1))


@pytest.mark.parametrize(
    ("record", "age", "expected"),
    [
        pytest.param(make_record(E1), 0, ServeHere, id="own"),
        pytest.param(make_record(E2), 0, ForwardTo(E2), id="other"),
        pytest.param(make_record(E1), -5, ServeHere, id="ahead-but-certain"),
        pytest.param(
            make_record(E1),
            -5.5,
            FailureReason.HOME_UNREACHABLE,
            id="not-certain",
        ),
        pytest.param(
            make_record(E2), -5.5, ForwardTo(E2), id="presumed-owner-knows"
        ),
        pytest.param(
            make_record(E1), -9, RefusalReason.ID_INVALID, id="from-the-future"
        ),
        pytest.param(
            make_record(E1), WINDOW, RefusalReason.ID_EXPIRED, id="expired"
        ),
        pytest.param(
            make_record(E1),
            WINDOW + RECORD_GRACE_S,
            FailureReason.ANSWER_DROPPED,
            id="record-may-be-dropped",
        ),
        pytest.param(
            make_record(E2),
            WINDOW + RECORD_GRACE_S + 9,
            FailureReason.ANSWER_DROPPED,
            id="too-old-anywhere",
        ),
        pytest.param(
            make_record(), 0, FailureReason.HOME_LOST, id="no-member"
        ),
        pytest.param(
            ViewRecord(1, (Epoch(NOW, (E1,)),)),
            1,
            FailureReason.HOME_LOST,
            id="before-the-first-epoch",
        ),
        pytest.param(
            make_record(E2, departed=WITHOUT_SUCCESSOR),
            0,
            FailureReason.HOME_LOST,
            id="home-lost",
        ),
        pytest.param(
            make_record(E2, departed=WITH_SUCCESSOR),
            0,
            ForwardTo(E3),
            id="successor",
        ),
        pytest.param(
            make_record(E2, departed=SUCCESSOR_CIRCLE),
            0,
            FailureReason.HOME_LOST,
            id="successors-in-a-circle",
        ),
        pytest.param(
            make_record(E2, departed=SUCCESSOR_CHAIN),
            0,
            ServeAsHeir("e2", "i2"),
            id="successor-of-the-successor",
        ),
    ],
)
def test_client_chosen_id_is_routed_by_its_epoch_and_age(
    record, age, expected
):
    """A wrong route runs a job twice, or refuses one that has run."""
    holder = make_holder(E1, record)
    route = Router(holder, IdAllocator("e1", "i1", b"k")).route(
        make_id(NOW - age), NOW
    )
    if isinstance(route, Refused | Failed):
        assert route.reason is expected
    elif expected is ServeHere:
        assert route == ServeHere(NOW - age + WINDOW + RECORD_GRACE_S)
    else:
        assert route == expected


TOO_OLD_S = FIRST_SUBMIT_WINDOW_S + RECORD_GRACE_S + 2 * CLOCK_SKEW_S


@pytest.mark.parametrize(
    ("home", "record", "peers", "age", "expected"),
    [
        pytest.param(("e1", "i1"), None, (), 0, ServeHere, id="own-no-view"),
        pytest.param(
            ("e2", "i2"), make_record(E2), (), 0, ForwardTo(E2), id="in-view"
        ),
        pytest.param(
            ("e2", "i2"), None, (E2,), 0, ForwardTo(E2), id="registered"
        ),
        pytest.param(
            ("e2", "i2"),
            None,
            (E2,),
            TOO_OLD_S,
            ForwardTo(E2),
            id="home-decides",
        ),
        pytest.param(
            ("e2", "old"),
            make_record(E2),
            (E2,),
            0,
            FailureReason.HOME_UNREACHABLE,
            id="unknown-incarnation",
        ),
        pytest.param(
            ("e2", "old"),
            make_record(E2),
            (E2,),
            TOO_OLD_S,
            FailureReason.ANSWER_DROPPED,
            id="unknown-incarnation-and-old",
        ),
        pytest.param(
            ("e2", "i2"),
            make_record(E1, departed=WITHOUT_SUCCESSOR),
            (),
            0,
            FailureReason.HOME_LOST,
            id="lost",
        ),
    ],
)
def test_allocated_id_is_routed_to_the_process_it_names(
    home, record, peers, age, expected
):
    """Only the process that allocated an id knows whether the job has run.

    Whether another answer is final shows in ``retry_at``.
    """
    job_id = IdAllocator(*home, b"k").allocate(NOW - age)
    router = Router(make_holder(E1, record), IdAllocator("e1", "i1", b"k"))
    router.set_peers(peers)
    route = router.route(job_id, NOW)
    if isinstance(route, Failed):
        assert route.reason is expected
        final = expected is not FailureReason.HOME_UNREACHABLE
        assert (route.retry_at is None) is final
        return
    assert route == expected or isinstance(route, expected)


def test_homes_are_spread_and_only_ids_of_a_removed_entry_move():
    """A hash modulo their number would move most ids at each change."""
    ids = [ClientChosenId(make_id(NOW, n), NOW) for n in range(3000)]
    before, after = Epoch(0.0, (E1, E2, E3)), Epoch(0.0, (E1, E2))
    homes = [before.find_home(i) for i in ids]
    assert all(900 <= homes.count(m) <= 1100 for m in (E1, E2, E3))
    for client_id, home in zip(ids, homes, strict=True):
        assert home == E3 or after.find_home(client_id) == home


@pytest.mark.parametrize(
    "outcome",
    [
        Completed((b"1", b"{}")),
        Failed(FailureReason.HOME_LOST, "d", Step.FORWARD, "p", True, 2.5),
        Refused(RefusalReason.QUEUE_FULL, "d", Step.ADMIT, "p", None),
    ],
    ids=["completed", "failed", "refused"],
)
def test_outcome_is_unchanged_by_encoding(outcome):
    wire = to_wire(outcome)
    decoded = decode(encode(wire), WireOutcome)
    assert from_wire(decoded) == outcome
