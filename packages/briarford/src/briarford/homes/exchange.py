"""Exchanges the view and the preset record with the other entries.

Each entry periodically sends the versions that it holds to its peers. Request
and reply also carry the record itself if the receiver is known to hold an
older version. So a newer record reaches all entries, also those that cannot
reach the key-value service. The reply also confirms the receiver's view and
shows the peer's clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection

from briarford.homes.holder import ViewHolder
from briarford.homes.messages import (
    ExchangeReply,
    ExchangeRequest,
    PeerState,
)
from briarford.homes.view import ViewRecord

__all__ = ["RecordExchanger"]


class RecordExchanger:
    """Makes the requests and replies by which entries exchange records.

    :param holder: the view of this entry.
    :param on_newer_preset: called with the encoded preset record of a peer
        if it is newer than the one held here.
    """

    __slots__ = (
        "_holder",
        "_on_newer_preset",
        "_peer_states",
        "_preset",
        "_preset_version",
    )

    def __init__(
        self,
        holder: ViewHolder,
        on_newer_preset: Callable[[bytes], None] | None = None,
    ) -> None:
        self._holder = holder
        self._on_newer_preset = on_newer_preset
        self._peer_states: dict[str, PeerState] = {}
        self._preset_version = 0
        self._preset = b""

    @property
    def preset(self) -> tuple[int, bytes]:
        """The version of the newest preset record seen, and the record."""
        return self._preset_version, self._preset

    def adopt_preset(self, version: int, encoded: bytes) -> bool:
        """Replace the preset record that is sent to peers by a newer one.

        :return: whether it was newer than the one held; an older one has no
            effect.
        """
        if version <= self._preset_version:
            return False
        self._preset_version = version
        self._preset = encoded
        return True

    def retain_peers(self, addresses: Collection[str]) -> None:
        """Drop the last known state of peers at any other address."""
        for address in self._peer_states.keys() - set(addresses):
            del self._peer_states[address]

    def make_request(self, address: str, now: float) -> ExchangeRequest:
        """Make the request to a peer.

        It carries records only if an earlier message of the peer showed that
        it holds older ones.

        :param address: the peer's address.
        :param now: Unix seconds.
        """
        state = self._make_state(now)
        known = self._peer_states.get(address)
        if known is None:
            return ExchangeRequest(state)
        return ExchangeRequest(state, *self._select_newer(known))

    def answer_request(
        self, req: ExchangeRequest, now: float
    ) -> ExchangeReply:
        """Adopt the newer records in a peer's request, and make the reply."""
        self._receive_state(req.state, req.view, req.preset)
        return ExchangeReply(
            self._make_state(now), *self._select_newer(req.state)
        )

    def receive_reply(
        self, reply: ExchangeReply, asked_at: float, now: float
    ) -> None:
        """Adopt the newer records in a reply, and confirm the view by it.

        :param asked_at: Unix seconds before the request was sent.
        :param now: Unix seconds when the reply arrived.
        """
        state = reply.state
        self._holder.clocks.receive_reading(
            state.sender.name, state.sent_at, asked_at, now
        )
        self._receive_state(state, reply.view, reply.preset)
        self._holder.receive_peer_tag(
            (state.sender.name, state.sender.incarnation),
            state.view,
            state.store_confirmed_at,
            asked_at,
        )

    def _receive_state(
        self, state: PeerState, view: ViewRecord | None, preset: bytes
    ) -> None:
        self._peer_states[state.sender.address] = state
        if view is not None:
            self._holder.adopt(view)
        if not preset or not self.adopt_preset(state.preset_version, preset):
            return
        if self._on_newer_preset is not None:
            self._on_newer_preset(preset)

    def _select_newer(
        self, peer: PeerState
    ) -> tuple[ViewRecord | None, bytes]:
        """Return the view and the preset record that the peer has not seen.

        :return: None and empty bytes for those of which its version is not
            older than the one here.
        """
        record = self._holder.record
        known = peer.view.version if peer.view is not None else 0
        view = record if record and record.version > known else None
        behind = peer.preset_version < self._preset_version
        return view, self._preset if behind else b""

    def _make_state(self, now: float) -> PeerState:
        confirmed_at = self._holder.lease.store_confirmed_at
        return PeerState(
            self._holder.me,
            now,
            self._holder.tag,
            0.0 if math.isinf(confirmed_at) else confirmed_at,
            self._preset_version,
        )
