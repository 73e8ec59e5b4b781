"""Holds the view of one entry and plans the writes that change it.

The view is one record in the key-value service. Entries read it there or get
it from a peer. A member writes the next version when the registered entries
differ from the members of the newest epoch.
"""

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

# Epochs are ordered by their start, so no two may start at the same time.
MIN_EPOCH_GAP_S = 0.001
# A member is absent if it was not registered and sent no reply for so long.
# Absent members are removed from the view; removal at once would be wrong, as
# entries register again one by one after an outage of the store.
MEMBER_ABSENCE_S = 3.0


class ViewHolder:
    """The newest view record that one entry has seen, and its lease on it.

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
        """Replace the record by a newer one of the store or of a peer.

        :return: whether it was newer than the one held; an older one has no
            effect.
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
        """Adopt a record read from the store, and extend the lease by it.

        The lease is extended only if the store holds exactly the record that
        is held here and the own clock is trusted.

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
        """Confirm the record here if a peer holds the same one.

        It counts only if the own clock is trusted. The peer also reports when
        it found the record in the store, which confirms the record here as
        well. The lease is extended by these confirmations. The peer counts as
        present in any case.

        :param peer: the peer's name and incarnation.
        :param tag: version and digest of the peer's record; None if it has
            none.
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

        If readings of peer clocks are kept, these decide. Without any, a
        member relies on its clock only if all other members are absent, as
        there is nobody left to compare with. An entry that is no member yet
        always does.
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
        """Decide which record this entry must write next, if any.

        This is the first record, the announcement of a change of the
        members, its activation, or a change of the departed incarnations
        alone. The caller writes it by a compare-and-swap that expects the
        version before.

        :param entries: the entries that are registered in the store.
        :param now: Unix seconds, read after the newest record was adopted.
        :return: None if nothing is to be changed, or not by this entry.
        """
        for entry in entries:
            self._record_presence(entry.member, now)
        self._drop_old_presence(now)
        record = self._record
        staying = tuple(e.member for e in entries if not e.leaving)
        if record is None:
            return self._plan_first_record(staying, now)
        if not self.is_clock_trusted(now):
            return None
        if not self._may_write(record, entries):
            return None
        if record.announced is not None:
            return self._plan_activation(record, record.announced, now)
        return self._plan_change(record, entries, now)

    def plan_departure(
        self, successor: Member, now: float
    ) -> ViewRecord | None:
        """Plan the record that names the successor of this incarnation.

        :param successor: the entry that holds all ended jobs of this one.
        :param now: Unix seconds.
        :return: None if the successor has departed itself, so that another
            one must be chosen, or if there is no view.
        """
        record = self._record
        if record is None:
            return None
        if (
            record.find_departed(successor.name, successor.incarnation)
            is not None
        ):
            return None
        departure = Departed(self.me.name, self.me.incarnation, now, successor)
        return record.make_next(
            now=now,
            announced=record.announced,
            holds_until=record.holds_until,
            departed=(*record.departed, departure),
        )

    def _plan_first_record(
        self, staying: tuple[Member, ...], now: float
    ) -> ViewRecord | None:
        if self.me not in staying:
            return None
        return ViewRecord(1, (Epoch(now, _sort_members(staying)),))

    def _may_write(
        self, record: ViewRecord, entries: tuple[EntryRecord, ...]
    ) -> bool:
        """Whether this entry is among those that may change the record.

        It must be registered, and be a member unless no member is registered.
        """
        registered = {e.member for e in entries}
        if self.me not in registered:
            return False
        if self.me in record.members:
            return True
        return registered.isdisjoint(record.members)

    def _plan_change(
        self,
        record: ViewRecord,
        entries: tuple[EntryRecord, ...],
        now: float,
    ) -> ViewRecord | None:
        """Plan the record that announces new members or lists departed ones.

        None if neither has changed.
        """
        next_members = self._choose_members(record, entries, now)
        departed = self._update_departed(record, now)
        if next_members == record.members and departed == record.departed:
            return None
        if next_members == record.members:
            return record.make_next(now=now, departed=departed)
        return record.make_next(
            now=now,
            announced=next_members,
            holds_until=now + VIEW_LEASE_S,
            departed=departed,
        )

    def _choose_members(
        self,
        record: ViewRecord,
        entries: tuple[EntryRecord, ...],
        now: float,
    ) -> tuple[Member, ...]:
        """Choose the members of the next epoch.

        These are the registered entries that are not leaving. A member that
        is not registered stays as well until it counts as absent, as entries
        register again one by one after an outage of the store; it does not
        stay if another process of its name is registered. An entry that
        is no member itself takes only the registered ones: it may write only
        if no member is registered, and its epoch starts late enough.
        """
        staying = {e.member for e in entries if not e.leaving}
        if self.me not in record.members:
            return _sort_members(staying)
        leaving = {e.member for e in entries if e.leaving}
        replaced = {m.name for m in staying | leaving}
        for member in record.members:
            if member.name in replaced or self._is_absent(member, now):
                continue
            staying.add(member)
        return _sort_members(staying)

    def _update_departed(
        self, record: ViewRecord, now: float
    ) -> tuple[Departed, ...]:
        """Add absent members to the departed; remove those seen again.

        One that has named a successor stays departed.
        """
        kept = [
            departure
            for departure in record.departed
            if departure.successor is not None
            or not self._has_reappeared(departure, now)
        ]
        noted = {(departure.name, departure.incarnation) for departure in kept}
        for epoch in record.epochs:
            for member in epoch.members:
                process = (member.name, member.incarnation)
                if process in noted or not self._is_absent(member, now):
                    continue
                noted.add(process)
                kept.append(Departed(*process, now))
        return tuple(kept)

    def _record_presence(self, member: Member, now: float) -> None:
        process = (member.name, member.incarnation)
        self._seen_at[process] = max(now, self._seen_at.get(process, now))

    def _drop_old_presence(self, now: float) -> None:
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

    def _has_reappeared(self, departure: Departed, now: float) -> bool:
        seen_at = self._seen_at.get((departure.name, departure.incarnation))
        return seen_at is not None and seen_at > departure.departed_at

    def _plan_activation(
        self, record: ViewRecord, announced: tuple[Member, ...], now: float
    ) -> ViewRecord:
        """Plan the record that adds the epoch of the announced members.

        The epoch starts only after the leases of the members on this record
        have ended, on all clocks that differ by up to ``CLOCK_SKEW_S``.
        """
        starts_at = max(
            now + self._bound_lease_of_members(record) + 2 * CLOCK_SKEW_S,
            record.holds_until,
            record.epochs[-1].effective_at + MIN_EPOCH_GAP_S,
        )
        return record.make_next(
            now=now,
            epochs=(*record.epochs, Epoch(starts_at, announced)),
        )

    def _bound_lease_of_members(self, record: ViewRecord) -> float:
        """Return for how long members may extend leases on the old record.

        While the store does not answer, members extend their leases by
        confirming the record to each other, which needs every one of them. A
        member that writes the next record no longer confirms the old one, so
        the others' leases end after ``VIEW_LEASE_S``. A process that is no
        member takes no part in this, and cannot see whether the members
        still do; it must wait until they may no longer extend their leases
        without the store.
        """
        if self.me in record.members or not record.members:
            return VIEW_LEASE_S
        return STORE_ABSENCE_S


def _sort_members(members: Iterable[Member]) -> tuple[Member, ...]:
    return tuple(sorted(members, key=lambda m: (m.name, m.incarnation)))
