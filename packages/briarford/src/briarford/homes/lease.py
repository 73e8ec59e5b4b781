"""The lease of an entry on its view."""

from __future__ import annotations

import math

from briarford.homes.view import Member, ViewRecord

__all__ = ["ViewLease"]

VIEW_LEASE_S = 4.0
CLOCK_SKEW_S = 1.0
STORE_ABSENCE_S = 3600.0


class ViewLease:
    """Tells up to which creation time the epoch of an id is certain.

    A confirmation that was asked for at a time proves that no change had
    been announced (by the store) or could be activated by that member (by a
    peer) before. An epoch that comes later starts at least
    ``VIEW_LEASE_S + 2 * CLOCK_SKEW_S`` after that, so ids made up to
    ``known_until`` keep the home that this view gives them. The bound is on
    the id, not on the clock at the time of use: an entry that is paused
    after it has decided, and wakes later, has still decided rightly.

    :param me: this entry.
    """

    __slots__ = ("_known_until", "_me", "_peers", "_record", "_store_at")

    def __init__(self, me: Member) -> None:
        self._me = me
        self._record: ViewRecord | None = None
        self._known_until = -math.inf
        self._store_at = -math.inf
        self._peers: dict[tuple[str, str], float] = {}

    @property
    def known_until(self) -> float:
        """Unix seconds; the epoch of an id made later is not certain."""
        return self._known_until

    @property
    def store_confirmed_at(self) -> float:
        """Unix seconds at which the last answer of the store was asked."""
        return self._store_at

    def adopt(self, record: ViewRecord) -> None:
        """Start over with a newer record; what was certain stays so."""
        self._record = record
        self._store_at = -math.inf
        self._peers.clear()
        if record.announced is not None:
            self._extend(record.holds_until)

    def confirm_by_store(self, asked_at: float) -> None:
        """Take in that the store held this record.

        :param asked_at: Unix seconds before the read was sent, by the clock
            of whichever entry read it.
        """
        if self._record is None or self._record.announced is not None:
            return
        self._store_at = max(self._store_at, asked_at)
        self._extend(asked_at + VIEW_LEASE_S + CLOCK_SKEW_S)

    def confirm_by_peer(
        self, name: str, incarnation: str, asked_at: float
    ) -> None:
        """Take in that a peer has adopted no other record.

        :param asked_at: Unix seconds before the question was sent.
        """
        process = (name, incarnation)
        self._peers[process] = max(
            asked_at, self._peers.get(process, -math.inf)
        )
        self.extend_if_all_confirmed(asked_at)

    def extend_if_all_confirmed(self, now: float) -> None:
        """Extend the lease if all other members have confirmed."""
        if self._record is None or self._record.announced is not None:
            return
        if not self._record.members:
            return
        asked_at = min(
            (
                self._peers.get((m.name, m.incarnation), -math.inf)
                for m in self._record.members
                if not m.is_process(self._me.name, self._me.incarnation)
            ),
            default=now,
        )
        bound = min(asked_at + VIEW_LEASE_S, self._store_at + STORE_ABSENCE_S)
        self._extend(bound + CLOCK_SKEW_S)

    def _extend(self, known_until: float) -> None:
        self._known_until = max(self._known_until, known_until)
