"""The lease of an entry on its view.

The view (:mod:`briarford.homes.view`) states which entry is the home of which
client-chosen id. It lists epochs; an id belongs to the one in which it was
created.
"""

from __future__ import annotations

import math

from briarford.homes.view import Member, ViewRecord

__all__ = ["ViewLease"]

VIEW_LEASE_S = 4.0
# Longest difference that is allowed between the clocks of two entries.
CLOCK_SKEW_S = 1.0
# Members confirm the view among themselves for this long after the last
# answer of the store. A process that is no member waits as long before it
# takes over. A longer value therefore keeps client-chosen ids usable through
# a longer outage of the store, but leaves them unusable for longer once all
# entries are lost.
STORE_ABSENCE_S = 3600.0


class ViewLease:
    """Up to which creation time the epoch of a client-chosen id is certain.

    An entry asks the store or its peers which view is current. An answer
    proves that at the time of asking no change of the members had been
    announced (answer of the store), or that the answering member could not
    yet activate one (answer of a peer). An epoch that is added afterwards
    starts at least ``VIEW_LEASE_S + 2 * CLOCK_SKEW_S`` after the time of
    asking, so ids created up to ``known_until`` keep the home that this view
    gives them.

    The bound applies to the id's creation time, not to the clock at the time
    of use. A process that is paused between its decision and the start of
    the job therefore does not act on a lapsed lease: its decision still
    holds when it resumes.

    :param me: this entry.
    """

    __slots__ = (
        "_known_until",
        "_me",
        "_peer_confirmed_at",
        "_record",
        "_store_confirmed_at",
    )

    def __init__(self, me: Member) -> None:
        self._me = me
        self._record: ViewRecord | None = None
        self._known_until = -math.inf
        self._store_confirmed_at = -math.inf
        self._peer_confirmed_at: dict[tuple[str, str], float] = {}

    @property
    def known_until(self) -> float:
        """Latest creation time, in Unix seconds, of ids with a sure epoch."""
        return self._known_until

    @property
    def store_confirmed_at(self) -> float:
        """When the store was last asked and held this record.

        In Unix seconds; minus infinity if it was not asked yet for this
        record.
        """
        return self._store_confirmed_at

    def adopt(self, record: ViewRecord) -> None:
        """Replace the record by a newer one, which nobody has confirmed yet.

        The lease never becomes shorter. While a change is announced, it
        extends up to ``holds_until`` of the record and no further.
        """
        self._record = record
        self._store_confirmed_at = -math.inf
        self._peer_confirmed_at.clear()
        if record.announced is not None:
            self._extend(record.holds_until)

    def confirm_by_store(self, asked_at: float) -> None:
        """Extend the lease, as the store held this record.

        :param asked_at: Unix seconds before the read was sent, by the clock
            of whichever entry read it.
        """
        if self._record is None or self._record.announced is not None:
            return
        self._store_confirmed_at = max(self._store_confirmed_at, asked_at)
        self._extend(asked_at + VIEW_LEASE_S + CLOCK_SKEW_S)

    def confirm_by_peer(
        self, name: str, incarnation: str, asked_at: float
    ) -> None:
        """Note that a peer holds this record and has adopted no other.

        :param name: the peer's name.
        :param incarnation: the incarnation of its process.
        :param asked_at: Unix seconds before the question was sent.
        """
        process = (name, incarnation)
        self._peer_confirmed_at[process] = max(
            asked_at, self._peer_confirmed_at.get(process, -math.inf)
        )
        self.extend_if_all_confirmed(asked_at)

    def extend_if_all_confirmed(self, now: float) -> None:
        """Extend the lease if all other members have confirmed the record.

        The member that confirmed it longest ago decides. Members alone
        extend the lease for at most ``STORE_ABSENCE_S`` after the store
        confirmed the record.

        :param now: Unix seconds; counts as the time of confirmation if there
            is no other member.
        """
        if self._record is None or self._record.announced is not None:
            return
        if not self._record.members:
            return
        asked_at = min(
            (
                self._peer_confirmed_at.get((m.name, m.incarnation), -math.inf)
                for m in self._record.members
                if not m.is_process(self._me.name, self._me.incarnation)
            ),
            default=now,
        )
        bound = min(
            asked_at + VIEW_LEASE_S,
            self._store_confirmed_at + STORE_ABSENCE_S,
        )
        self._extend(bound + CLOCK_SKEW_S)

    def _extend(self, known_until: float) -> None:
        self._known_until = max(self._known_until, known_until)
