"""Holds the view of one entry and plans the writes that change it."""

from __future__ import annotations

from collections.abc import Iterable

from briarford.homes.clocks import PeerClocks
from briarford.homes.lease import (
    CLOCK_SKEW_S,
    STORE_ABSENCE_S,
    VIEW_LEASE_S,
    ViewLease,
)
from briarford.homes.view import (
    EPOCHS_KEPT_S,
    Departed,
    Epoch,
    Member,
    ViewRecord,
    ViewTag,
)
from briarford.membership.messages import EntryRecord

__all__ = ["ViewHolder"]

EPOCH_GAP_S = 0.001
MEMBER_ABSENCE_S = 3.0


class ViewHolder:
    """The view as one entry knows it.

    :param me: this entry.
    """

    __slots__ = ("_record", "_seen_at", "_tag", "clocks", "lease", "me")

    def __init__(self, me: Member) -> None:
        self.me = me
        self.lease = ViewLease(me)
        self.clocks = PeerClocks(CLOCK_SKEW_S)
        self._record: ViewRecord | None = None
        self._tag: ViewTag | None = None
        self._seen_at: dict[tuple[str, str], float] = {}

    @property
    def record(self) -> ViewRecord | None:
        """The newest record seen; None before the first one."""
        return self._record

    @property
    def tag(self) -> ViewTag | None:
        """The tag of the newest record seen."""
        return self._tag

    def adopt(self, record: ViewRecord) -> bool:
        """Take in a record that is in the store or that a peer has read.

        :return: whether it was newer than the one held.
        """
        if self._record is not None and (
            record.version <= self._record.version
        ):
            return False
        self._record = record
        self._tag = record.tag()
        self.lease.adopt(record)
        return True

    def receive_store_record(
        self, record: ViewRecord, asked_at: float
    ) -> None:
        """Take in an answer of the store.

        :param asked_at: Unix seconds before the read was sent.
        """
        self.adopt(record)
        if record == self._record and self.is_clock_trusted(asked_at):
            self.lease.confirm_by_store(asked_at)

    def receive_peer_tag(
        self,
        peer: tuple[str, str],
        tag: ViewTag | None,
        store_confirmed_at: float,
        asked_at: float,
    ) -> None:
        """Take in which record a peer holds.

        :param peer: the peer's name and incarnation.
        :param tag: the peer's record.
        :param store_confirmed_at: when the peer last asked the store and
            found that record there, in Unix seconds.
        :param asked_at: Unix seconds before the question was sent.
        """
        self._seen_at[peer] = max(asked_at, self._seen_at.get(peer, asked_at))
        if tag is None or tag != self._tag:
            return
        if not self.is_clock_trusted(asked_at):
            return
        self.lease.confirm_by_store(store_confirmed_at)
        self.lease.confirm_by_peer(*peer, asked_at)

    def is_clock_trusted(self, now: float) -> bool:
        """Whether this entry may rely on its clock.

        A member that shares the view with others must have compared clocks
        with one of them, unless there is nobody left to compare with.
        """
        if not self.clocks.empty:
            return self.clocks.is_own_clock_trusted()
        record = self._record
        if record is None or self.me not in record.members:
            return True
        others = (m for m in record.members if m != self.me)
        return all(self._is_absent(member, now) for member in others)

    def plan_write(
        self, entries: tuple[EntryRecord, ...], now: float
    ) -> ViewRecord | None:
        """Decide which record to write next, if any.

        The write is a compare-and-swap that expects the version before.

        :param entries: the entries that are registered in the store.
        :param now: Unix seconds, read after the newest record was adopted.
        """
        for entry in entries:
            self._seen(entry.member, now)
        self._forget_unseen(now)
        record = self._record
        staying = tuple(e.member for e in entries if not e.leaving)
        if record is None:
            return self._bootstrap(staying, now)
        if not self.is_clock_trusted(now):
            return None
        if not self._may_write(record, entries):
            return None
        if record.announced is not None:
            return self._activate(record, record.announced, now)
        return self._change(record, entries, now)

    def plan_departure(
        self, successor: Member, now: float
    ) -> ViewRecord | None:
        """Plan the record that names the successor of this incarnation.

        :return: None if the successor is gone itself; choose another one.
        """
        record = self._record
        if record is None:
            return None
        if (
            record.find_departed(successor.name, successor.incarnation)
            is not None
        ):
            return None
        gone = Departed(self.me.name, self.me.incarnation, now, successor)
        return record.make_next(
            now=now,
            announced=record.announced,
            holds_until=record.holds_until,
            departed=(*record.departed, gone),
        )

    def _bootstrap(
        self, staying: tuple[Member, ...], now: float
    ) -> ViewRecord | None:
        if self.me not in staying:
            return None
        return ViewRecord(1, (Epoch(now, _in_order(staying)),))

    def _may_write(
        self, record: ViewRecord, entries: tuple[EntryRecord, ...]
    ) -> bool:
        registered = {e.member for e in entries}
        if self.me not in registered:
            return False
        if self.me in record.members:
            return True
        return registered.isdisjoint(record.members)

    def _change(
        self,
        record: ViewRecord,
        entries: tuple[EntryRecord, ...],
        now: float,
    ) -> ViewRecord | None:
        wanted = self._wanted(record, entries, now)
        departed = self._departed(record, now)
        if wanted == record.members and departed == record.departed:
            return None
        if wanted == record.members:
            return record.make_next(now=now, departed=departed)
        return record.make_next(
            now=now,
            announced=wanted,
            holds_until=now + VIEW_LEASE_S,
            departed=departed,
        )

    def _wanted(
        self,
        record: ViewRecord,
        entries: tuple[EntryRecord, ...],
        now: float,
    ) -> tuple[Member, ...]:
        """List the members that there should be.

        A member that is not registered stays for a while: after an outage
        of the store the entries register again one by one. An entry that
        takes over has waited long enough.
        """
        staying = {e.member for e in entries if not e.leaving}
        if self.me not in record.members:
            return _in_order(staying)
        leaving = {e.member for e in entries if e.leaving}
        replaced = {m.name for m in staying | leaving}
        for member in record.members:
            if member.name in replaced or self._is_absent(member, now):
                continue
            staying.add(member)
        return _in_order(staying)

    def _departed(
        self, record: ViewRecord, now: float
    ) -> tuple[Departed, ...]:
        """List the incarnations that are gone, without those that are back."""
        kept = [
            gone
            for gone in record.departed
            if gone.successor is not None or not self._is_back(gone, now)
        ]
        noted = {(gone.name, gone.incarnation) for gone in kept}
        for epoch in record.epochs:
            for member in epoch.members:
                process = (member.name, member.incarnation)
                if process in noted or not self._is_absent(member, now):
                    continue
                noted.add(process)
                kept.append(Departed(*process, now))
        return tuple(kept)

    def _seen(self, member: Member, now: float) -> None:
        process = (member.name, member.incarnation)
        self._seen_at[process] = max(now, self._seen_at.get(process, now))

    def _forget_unseen(self, now: float) -> None:
        oldest = now - 2 * EPOCHS_KEPT_S
        self._seen_at = {
            process: seen_at
            for process, seen_at in self._seen_at.items()
            if seen_at >= oldest
        }

    def _is_absent(self, member: Member, now: float) -> bool:
        process = (member.name, member.incarnation)
        seen_at = self._seen_at.setdefault(process, now)
        return now - seen_at >= MEMBER_ABSENCE_S

    def _is_back(self, gone: Departed, now: float) -> bool:
        seen_at = self._seen_at.get((gone.name, gone.incarnation))
        return seen_at is not None and seen_at > gone.departed_at

    def _activate(
        self, record: ViewRecord, announced: tuple[Member, ...], now: float
    ) -> ViewRecord:
        starts_at = max(
            now + self._lease_of_others(record) + 2 * CLOCK_SKEW_S,
            record.holds_until,
            record.epochs[-1].effective_at + EPOCH_GAP_S,
        )
        return record.make_next(
            now=now,
            epochs=(*record.epochs, Epoch(starts_at, announced)),
        )

    def _lease_of_others(self, record: ViewRecord) -> float:
        """Bound how long members may go on with the record before.

        Members confirm each other while the store is silent, but need the
        word of every other one: a member that writes no longer gives it. A
        process that is no member must wait until the members, unseen by it,
        can have gone on without the store no longer.
        """
        if self.me in record.members or not record.members:
            return VIEW_LEASE_S
        return STORE_ABSENCE_S


def _in_order(members: Iterable[Member]) -> tuple[Member, ...]:
    return tuple(sorted(members, key=lambda m: (m.name, m.incarnation)))
