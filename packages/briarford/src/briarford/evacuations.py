"""Which availability zones operators have closed for new runs.

Operators request in the store that nothing more starts in a zone, and remove
the request later. At full load all entries order runs there many times a
second, so one process that missed the request starts many of them; one that
missed its removal leaves the capacity of the zone unused. Both must be right
after store outages, lost answers and a forgotten history, at processes that
have just started, and at those that cannot reach the store themselves.

Each process reads the store, and entries and agents pass on what they know.
Whatever the source, of two statements about a zone the one of the higher
revision of the store holds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from briarford.messages import Message

__all__ = ["EvacuationPeer", "Evacuations", "KnownEvacuations", "ZoneState"]


class ZoneState(Message, frozen=True):
    """Whether a zone was closed for new runs at a revision of the store.

    :param zone: the availability zone.
    :param revision: of the request that closes it; if it is open, one at
        which there was no request.
    :param evacuated: whether it was closed.
    """

    zone: str
    revision: int
    evacuated: bool


class KnownEvacuations(Message, frozen=True):
    """All that a process knows of the evacuations.

    :param revision: at this revision of the store there was no request for
        any zone that ``zones`` does not contain.
    :param zones: the zones about which more is known.
    """

    revision: int
    zones: tuple[ZoneState, ...]


class EvacuationPeer(Protocol):
    """The peer of a connection, to which changes are passed on.

    :param evacuations_sent: number of the last change that it was sent; set
        to 0 with each new connection.
    """

    evacuations_sent: int


class Evacuations:
    """The zones that are closed for new runs, as one process knows them.

    ``zones`` holds the closed ones and is updated in place. ``enabled`` is
    set if operators may evacuate zones at all; without it no zone is closed.
    ``is_known`` is true once this process has read all requests itself.

    :param log: called with the name and the fields of each event to log.
    :param counts: counts the events if ``log`` does not.
    """

    __slots__ = (
        "_change",
        "_closed_at",
        "_counts",
        "_log",
        "_read_at",
        "_revision",
        "_states",
        "enabled",
        "is_known",
        "zones",
    )

    def __init__(
        self,
        log: Callable[..., None],
        counts: Counter[str] | None = None,
    ) -> None:
        self.enabled = False
        self.is_known = False
        self.zones: set[str] = set()
        self._log = log
        self._counts: Counter[str] = Counter() if counts is None else counts
        self._states: dict[str, ZoneState] = {}
        # At this revision there was no request for any other zone.
        self._revision = 0
        self._change = 0
        self._closed_at: dict[str, float] = {}
        self._read_at = 0.0

    def allow_runs(self, zone: str) -> bool:
        """Whether a run may start in a zone.

        Not while the requests are not known: the zone may be closed.
        """
        if not self.enabled:
            return True
        return self.is_known and zone not in self.zones

    # -- the store ----------------------------------------------------------

    def requests_listed(
        self, revision: int, requests: Mapping[str, int], now: float
    ) -> None:
        """Adopt a listing of all requests.

        :param revision: of the store, from which the listing is.
        :param requests: by closed zone, the revision of its request.
        :param now: Unix time in seconds.
        """
        self.is_known = True
        self._read_at = now
        states = [ZoneState(z, r, True) for z, r in requests.items()]
        self._adopt_all(revision, states, "store", now)

    def requests_changed(
        self,
        revision: int,
        written: Mapping[str, int],
        removed: Iterable[str],
        now: float,
    ) -> None:
        """Adopt changes of single requests.

        :param revision: of the store, up to which these are the changes.
        :param written: by zone, the revision of its new request.
        :param removed: zones whose request was removed and not written again.
        :param now: Unix time in seconds.
        """
        self._read_at = now
        for zone, written_at in written.items():
            self._adopt(ZoneState(zone, written_at, True), "store", now)
        for zone in removed:
            self._adopt(ZoneState(zone, revision, False), "store", now)

    # -- peers --------------------------------------------------------------

    def news_for(self, peer: EvacuationPeer) -> KnownEvacuations | None:
        """Return what to send to a peer; None if it has the last change."""
        if peer.evacuations_sent == self._change:
            return None
        peer.evacuations_sent = self._change
        return KnownEvacuations(self._revision, tuple(self._states.values()))

    def merge(self, known: KnownEvacuations | None, now: float) -> None:
        """Adopt what a peer knows, as far as it is newer.

        :param known: what the peer has sent; None if nothing.
        :param now: Unix time in seconds.
        """
        if known is not None and self.enabled:
            self._adopt_all(known.revision, known.zones, "peer", now)

    def state(self, now: float) -> dict[str, float]:
        """Return the state metrics, by kind; none if not enabled."""
        if not self.enabled:
            return {}
        return {
            "evacuations_known": float(self.is_known),
            "evacuations_read_age_s": now - self._read_at,
            "zones_evacuated": len(self.zones),
        }

    # -- revisions ----------------------------------------------------------

    def _adopt_all(
        self,
        revision: int,
        states: Iterable[ZoneState],
        source: str,
        now: float,
    ) -> None:
        """Adopt the states of some zones, and that all others were open."""
        named = set()
        for state in states:
            named.add(state.zone)
            self._adopt(state, source, now)
        for zone in sorted(self.zones - named):
            self._adopt(ZoneState(zone, revision, False), source, now)
        self._revision = max(self._revision, revision)
        for zone, state in list(self._states.items()):
            if not state.evacuated and state.revision <= self._revision:
                del self._states[zone]  # implied by the revision

    def _adopt(self, state: ZoneState, source: str, now: float) -> None:
        """Adopt the state of a zone if it is newer than what is known."""
        zone = state.zone
        known = self._states.get(zone)
        known_revision = self._revision if known is None else known.revision
        if state.revision <= known_revision:
            return
        self._states[zone] = state
        if not state.evacuated and zone not in self.zones:
            return
        self._change += 1
        if state.evacuated and zone not in self.zones:
            self.zones.add(zone)
            self._closed_at[zone] = now
            self._counts["evacuation-in-force"] += 1
            self._log(
                "evacuation-in-force",
                zone=zone,
                revision=state.revision,
                source=source,
                read_age_ms=round((now - self._read_at) * 1000),
            )
        elif not state.evacuated:
            self.zones.discard(zone)
            self._counts["evacuation-lifted"] += 1
            self._log(
                "evacuation-lifted",
                zone=zone,
                revision=state.revision,
                source=source,
                held_s=round(now - self._closed_at.pop(zone, now), 3),
            )
