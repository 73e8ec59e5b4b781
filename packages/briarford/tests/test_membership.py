"""Registration of an entry under a lease, and an agent's choice of entries."""

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
FORMER_PROCESS = Member("e1", "i1", "10.0.0.1:1", "z1")
KEY = entry_key("e1")


class FakeStore:
    """A store of one key under leases, in virtual time."""

    def __init__(self):
        self.leases = {}
        self.entry = None
        self.holder = ""
        self.granted = 0

    def expire(self, now):
        """Drop lapsed leases, and the entry's key if its lease is one."""
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
        """Write by compare-and-swap; return what is there if it fails."""
        held = self.entry.version if self.entry else 0
        if step.expected != held or step.lease not in self.leases:
            return self.entry or KeyValue(step.key, b"", 0)
        self.entry = KeyValue(step.key, step.value, held + 1)
        self.holder = step.lease
        return None


def perform(registration, store, now, fault=""):
    """Carry out the next step; return the seconds to wait after it.

    :param fault: ``down`` if the store does not get the call, ``answer lost``
        if it does but the entry gets no answer.
    """
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
def test_entry_never_relies_on_a_lease_that_the_store_ended(seed):
    """The entry must not act as registered once its key has left the store.

    Calls fail, answers are lost, and pauses are longer than the lease.
    """
    rng = random.Random(seed)
    registration, store, now = Registration(ME), FakeStore(), 1000.0
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


def test_lease_is_renewed_in_time_and_not_more_often():
    registration, store, now = Registration(ME), FakeStore(), 1000.0
    calls = 0
    while now < 1100.0:
        started_at = now
        now += perform(registration, store, now)
        calls += now == started_at
        assert calls < 3 or registration.is_registered(now)
    assert calls <= 2 + 100 / (REGISTRATION_TTL_S / 3) + 1


@pytest.mark.parametrize(
    ("found", "written_before", "replaced", "expected_step"),
    [
        pytest.param(
            KeyValue(KEY, encode(EntryRecord(FORMER_PROCESS)), 4),
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
            KeyValue(KEY, encode(EntryRecord(FORMER_PROCESS)), 4),
            True,
            True,
            RevokeLease("l"),
            id="another-process-of-this-name-registered",
        ),
    ],
)
def test_write_conflict_ends_only_a_process_that_was_replaced(
    found, written_before, replaced, expected_step
):
    registration = Registration(ME)
    registration.on_lease_granted("l", 1000.0)
    if written_before:
        registration.on_entry_written(None)
    registration.on_entry_written(found)
    assert registration.replaced is replaced
    step = registration.next_step(1000.0)
    if isinstance(step, Wait):
        assert step.until == pytest.approx(expected_step.until)
        return
    assert step == expected_step


def test_leaving_entry_updates_its_record_and_then_revokes_its_lease():
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
    ("per_zone", "zones", "count", "same_zone", "other_zones"),
    [
        pytest.param(10, 4, 3, 2, 1, id="most-in-own-zone"),
        pytest.param(10, 4, 6, 4, 2, id="a-third-in-other-zones"),
        pytest.param(10, 4, 1, 1, 0, id="one"),
        pytest.param(1, 3, 3, 1, 2, id="few-in-own-zone"),
        pytest.param(10, 1, 3, 3, 0, id="one-zone"),
        pytest.param(1, 2, 5, 1, 1, id="fewer-than-count"),
        pytest.param(0, 4, 3, 0, 0, id="no-entries"),
        pytest.param(10, 4, 0, 0, 0, id="count-of-none"),
    ],
)
def test_zones_of_the_chosen_entries(
    per_zone, zones, count, same_zone, other_zones
):
    chosen = choose_entries("a1", make_entries(per_zone, zones), count, "z0")
    assert len(set(chosen)) == len(chosen)
    assert sum(e.zone == "z0" for e in chosen) == same_zone
    assert sum(e.zone != "z0" for e in chosen) == other_zones


def test_removed_entry_costs_an_agent_one_choice_and_load_is_even():
    """Agents that had not chosen the removed entry keep all their choices.

    Otherwise each restart of an entry would make many agents reconnect.
    """
    entries = make_entries(10)
    removed = entries[3]
    load = dict.fromkeys(entries, 0)
    for number in range(2000):
        agent = f"a{number}"
        before = set(choose_entries(agent, entries, 3, "z0"))
        after = set(
            choose_entries(
                agent, [e for e in entries if e != removed], 3, "z0"
            )
        )
        assert len(before - after) == (removed in before)
        assert set(choose_entries(agent, entries[::-1], 3, "z0")) == before
        for entry in before:
            load[entry] += 1
    same_zone = [n for e, n in load.items() if e.zone == "z0"]
    assert max(same_zone) <= 1.25 * 4000 / 10
    assert min(same_zone) >= 0.75 * 4000 / 10
