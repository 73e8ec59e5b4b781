"""Passes on between entries whichever record is newer."""

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
    """One entry's side of the exchange with all others.

    :param holder: the view of this entry.
    :param preset_came: is called with a newer preset record of a peer.
    """

    __slots__ = (
        "_holder",
        "_peers",
        "_preset",
        "_preset_came",
        "_preset_version",
    )

    def __init__(
        self,
        holder: ViewHolder,
        preset_came: Callable[[bytes], None] | None = None,
    ) -> None:
        self._holder = holder
        self._preset_came = preset_came
        self._peers: dict[str, PeerState] = {}
        self._preset_version = 0
        self._preset = b""

    @property
    def preset(self) -> tuple[int, bytes]:
        """The version of the newest preset record seen, and the record."""
        return self._preset_version, self._preset

    def adopt_preset(self, version: int, encoded: bytes) -> bool:
        """Take in a preset record.

        :return: whether it was newer than the one held.
        """
        if version <= self._preset_version:
            return False
        self._preset_version = version
        self._preset = encoded
        return True

    def retain_peers(self, addresses: Collection[str]) -> None:
        """Forget what peers at other addresses held."""
        for address in self._peers.keys() - set(addresses):
            del self._peers[address]

    def make_request(self, address: str, now: float) -> ExchangeRequest:
        """Make the request to a peer."""
        state = self._state(now)
        known = self._peers.get(address)
        if known is None:
            return ExchangeRequest(state)
        return ExchangeRequest(state, *self._lacking(known))

    def answer_request(
        self, req: ExchangeRequest, now: float
    ) -> ExchangeReply:
        """Answer the request of a peer."""
        self._take(req.state, req.view, req.preset)
        return ExchangeReply(self._state(now), *self._lacking(req.state))

    def receive_reply(
        self, reply: ExchangeReply, asked_at: float, now: float
    ) -> None:
        """Take in the answer of a peer.

        :param asked_at: Unix seconds before the request was sent.
        """
        state = reply.state
        self._holder.clocks.receive_reading(
            state.sender.name, state.sent_at, asked_at, now
        )
        self._take(state, reply.view, reply.preset)
        self._holder.receive_peer_tag(
            (state.sender.name, state.sender.incarnation),
            state.view,
            state.store_confirmed_at,
            asked_at,
        )

    def _take(
        self, state: PeerState, view: ViewRecord | None, preset: bytes
    ) -> None:
        self._peers[state.sender.address] = state
        if view is not None:
            self._holder.adopt(view)
        if not preset or not self.adopt_preset(state.preset_version, preset):
            return
        if self._preset_came is not None:
            self._preset_came(preset)

    def _lacking(self, peer: PeerState) -> tuple[ViewRecord | None, bytes]:
        record = self._holder.record
        known = peer.view.version if peer.view is not None else 0
        view = record if record and record.version > known else None
        behind = peer.preset_version < self._preset_version
        return view, self._preset if behind else b""

    def _state(self, now: float) -> PeerState:
        confirmed_at = self._holder.lease.store_confirmed_at
        return PeerState(
            self._holder.me,
            now,
            self._holder.tag,
            0.0 if math.isinf(confirmed_at) else confirmed_at,
            self._preset_version,
        )
