from __future__ import annotations

import random

import pytest

from briarford.homes import Member
from briarford.membership import (
    EntryRecord,
    GrantLease,
    Registration,
    RenewLease,
    RevokeLease,
    Wait,
    WriteEntry,
    choose_entries,
    entry_key,
)
from briarford.membership.registration import REGISTRATION_TTL_S
from briarford.messages import decode, encode
from briarford.sessions import EntryAddress
from briarford.store import KeyValue

ME = Member("e1", "i2", "10.0.0.1:1", "z1")
BEFORE = Member("e1", "i1", "10.0.0.1:1", "z1")
KEY = entry_key("e1")


class FakeLeases:
    """One key under leases, in virtual time; answers may be lost or late."""

    def __init__(self):
        self.leases = {}
        self.entry = None
        self.holder = ""
        self.granted = 0

    def expire(self, now):
        self.leases = {k: t for k, t in self.leases.items() if t > now}
        if self.holder and self.holder not in self.leases:
            self.entry, self.holder = None, ""

    def perform(self, step, now):
        self.expire(now)
        if isinstance(step, GrantLease):
            self.granted += 1
            self.leases[f"l{self.granted}"] = now + step.ttl_s
            return f"l{self.granted}"
        if isinstance(step, RenewLease):
            alive = step.lease in self.leases
            if alive:
                self.leases[step.lease] = now + REGISTRATION_TTL_S
            return alive
        return self.write(step)

    def write(self, step):
        held = self.entry.version if self.entry else 0
        if step.expected != held or step.lease not in self.leases:
            return self.entry or KeyValue(step.key, b"", 0)
        self.entry = KeyValue(step.key, step.value, held + 1)
        self.holder = step.lease
        return None


def perform(registration, store, now, fault=""):
    """Do one step; say until when to wait."""
    step = registration.next_step(now)
    if isinstance(step, Wait):
        return max(step.until - now, 0.01)
    answer = None if fault == "down" else store.perform(step, now)
    if fault:
        registration.on_call_failed(now)
    elif isinstance(step, GrantLease):
        registration.on_lease_granted(answer, now)
    elif isinstance(step, RenewLease):
        registration.on_lease_renewed(answer, now)
    else:
        registration.on_entry_written(answer)
    return 0.0


@pytest.mark.parametrize("seed", range(20))
def test_registration_never_counts_on_a_lease_that_the_store_dropped(seed):
    rng = random.Random(seed)
    registration, store, now = Registration(ME), FakeLeases(), 1000.0
    for step in range(1000):
        if step % 8 == 0:
            fault = rng.choice(["", "", "down", "answer lost"])
        now += perform(registration, store, now, fault)
        now += rng.choice([0.0, 0.1, 0.1, 0.1, 7.0])
        store.expire(now)
        if registration.is_registered(now):
            assert store.entry is not None
    for _ in range(40):
        now += perform(registration, store, now) + 0.01
    assert registration.is_registered(now)
    assert decode(store.entry.value, EntryRecord).member == ME


def test_renewals_come_in_time_and_no_more_often():
    registration, store, now = Registration(ME), FakeLeases(), 1000.0
    calls = 0
    while now < 1100.0:
        before = now
        now += perform(registration, store, now)
        calls += now == before
        assert calls < 3 or registration.is_registered(now)
    assert calls <= 2 + 100 / (REGISTRATION_TTL_S / 3) + 1


@pytest.mark.parametrize(
    ("found", "written_before", "replaced", "then"),
    [
        pytest.param(
            KeyValue(KEY, encode(EntryRecord(BEFORE)), 4),
            False,
            False,
            WriteEntry(KEY, encode(EntryRecord(ME, grant=1)), 4, "l"),
            id="older-incarnation-is-replaced",
        ),
        pytest.param(
            KeyValue(KEY, encode(EntryRecord(ME, grant=1)), 4),
            False,
            False,
            Wait(1000.0 + REGISTRATION_TTL_S / 3),
            id="own-write-whose-answer-was-lost",
        ),
        pytest.param(
            KeyValue(KEY, encode(EntryRecord(BEFORE)), 4),
            True,
            True,
            RevokeLease("l"),
            id="another-process-of-this-name-took-over",
        ),
    ],
)
def test_conflicting_write(found, written_before, replaced, then):
    registration = Registration(ME)
    registration.on_lease_granted("l", 1000.0)
    if written_before:
        registration.on_entry_written(None)
    registration.on_entry_written(found)
    assert registration.replaced is replaced
    step = registration.next_step(1000.0)
    if isinstance(step, Wait):
        assert step.until == pytest.approx(then.until)
        return
    assert step == then


def test_leaving_is_written_and_the_lease_revoked_at_the_end():
    registration = Registration(ME)
    registration.on_lease_granted("l", 1000.0)
    registration.on_entry_written(None)
    registration.mark_leaving()
    step = registration.next_step(1000.0)
    assert step == WriteEntry(KEY, encode(EntryRecord(ME, True, 1)), 1, "l")
    registration.on_entry_written(None)
    registration.withdraw()
    assert registration.next_step(1000.0) == RevokeLease("l")
    registration.on_lease_revoked()
    assert registration.next_step(1000.0) == Wait(None)


def make_entries(per_zone, zones=4):
    return [
        EntryAddress(f"e{z}-{i}", f"10.0.{z}.{i}:1", f"z{z}")
        for z in range(zones)
        for i in range(per_zone)
    ]


@pytest.mark.parametrize(
    ("per_zone", "zones", "count", "inside", "outside"),
    [
        pytest.param(10, 4, 3, 2, 1, id="most-in-own-zone"),
        pytest.param(10, 4, 6, 4, 2, id="a-third-outside"),
        pytest.param(10, 4, 1, 1, 0, id="one"),
        pytest.param(1, 3, 3, 1, 2, id="few-in-own-zone"),
        pytest.param(10, 1, 3, 3, 0, id="one-zone"),
        pytest.param(1, 2, 5, 1, 1, id="fewer-than-wanted"),
        pytest.param(0, 4, 3, 0, 0, id="no-entries"),
        pytest.param(10, 4, 0, 0, 0, id="none-wanted"),
    ],
)
def test_attachments_by_zone(per_zone, zones, count, inside, outside):
    chosen = choose_entries("a1", make_entries(per_zone, zones), count, "z0")
    assert len(set(chosen)) == len(chosen)
    assert sum(e.zone == "z0" for e in chosen) == inside
    assert sum(e.zone != "z0" for e in chosen) == outside


def test_attachments_are_stable_and_even():
    entries = make_entries(10)
    gone = entries[3]
    load = dict.fromkeys(entries, 0)
    for number in range(2000):
        agent = f"a{number}"
        before = set(choose_entries(agent, entries, 3, "z0"))
        after = set(
            choose_entries(agent, [e for e in entries if e != gone], 3, "z0")
        )
        assert len(before - after) == (gone in before)
        assert set(choose_entries(agent, entries[::-1], 3, "z0")) == before
        for entry in before:
            load[entry] += 1
    inside = [n for e, n in load.items() if e.zone == "z0"]
    assert max(inside) <= 1.25 * 4000 / 10
    assert min(inside) >= 0.75 * 4000 / 10
