"""Which submissions may have been held on the way to this process.

TCP delivers what a cut path or a suspended machine has held up once that has
ended, in order. A client may have repeated its request elsewhere by then; the
end of its connection follows the request.
"""

from __future__ import annotations

import math
from weakref import WeakValueDictionary

__all__ = [
    "SETTLE_S",
    "SILENCE_S",
    "ClientNetwork",
    "ClientNetworks",
    "ConnectionArrivals",
    "Suspensions",
]

# A request that was held for less is not repeated before its run has been
# stopped: clients repeat 0.9 s after the end of a connection at the earliest.
SILENCE_S = 0.8
# A silence shows a cut if it is twice as long as is usual for its network.
# Usual ones count up to this length: clients that wait for their deadline
# repeat a request when it has been held for longer than twice as much.
MAX_USUAL_GAP_S = 1.0
GAP_DECAY = 0.95  # per submission
# The end of a connection is sent when its last request is acknowledged, so it
# follows after a round trip to the client, and whatever processes on the way
# take to pass it on.
SETTLE_S = 0.05
MAX_SETTLE_S = 0.25
# First retransmission while the round trip is not known (RFC 6298).
FIRST_RETRANSMISSION_S = 1.0
# Silences may last for hours without a cut.
MAX_HELD_S = 30.0
# Resolution of the times that the kernel reports.
TICK_S = 0.01
MIN_SUSPENSION_S = 0.1


class ClientNetwork:
    """Submissions of all clients of a network.

    A cut path or a suspended machine silences all of them. What was held
    arrives afterwards, at the times at which TCP sends it again: up to as long
    again as the silence has lasted.

    :param opened_at: when the first connection from it was opened.
    """

    __slots__ = (
        "__weakref__",
        "_held_until",
        "_resumed_at",
        "_submitted_at",
        "_usual_gap_s",
    )

    def __init__(self, opened_at: float) -> None:
        self._submitted_at = opened_at
        self._usual_gap_s = 0.0  # the longest one, decaying
        self._resumed_at = -math.inf
        self._held_until = -math.inf

    def submitted(self, now: float) -> None:
        """Record a submission of any client.

        :param now: seconds on a clock that counts suspensions.
        """
        silent_s = now - self._submitted_at
        self._submitted_at = now
        if silent_s >= max(SILENCE_S, 2 * self._usual_gap_s):
            self.resumed(silent_s, now)
        self._usual_gap_s = max(
            min(silent_s, MAX_USUAL_GAP_S), GAP_DECAY * self._usual_gap_s
        )

    def resumed(self, silent_s: float, now: float) -> None:
        """Record that a silence has ended, which may have held requests."""
        self._resumed_at = now
        held_until = now + min(silent_s, MAX_HELD_S) + FIRST_RETRANSMISSION_S
        self._held_until = max(self._held_until, held_until)

    def may_have_held(self, silent_since: float, now: float) -> bool:
        """Whether a submission may have been held before it arrived.

        :param silent_since: when its connection had last brought anything.
        """
        return silent_since < self._resumed_at and now < self._held_until


class ClientNetworks:
    """The networks from which connections are open."""

    __slots__ = ("_networks",)

    def __init__(self) -> None:
        self._networks: WeakValueDictionary[bytes, ClientNetwork] = (
            WeakValueDictionary()
        )

    def open(self, prefix: bytes, opened_at: float) -> ConnectionArrivals:
        """Follow a new connection.

        :param prefix: what the IP numbers of its network begin with.
        :param opened_at: when it was opened.
        """
        network = self._networks.get(prefix)
        if network is None:
            network = self._networks[prefix] = ClientNetwork(opened_at)
        return ConnectionArrivals(network, opened_at)


class ConnectionArrivals:
    """What has arrived on one connection, and when its requests may be served.

    Times are in seconds on a clock that counts suspensions.

    :attr:`settled_at`: when the requests that have arrived may be served.
    :attr:`silent_s`: for how long the connection was silent before the latest
        submission that followed a silence; 0 if none did.
    :attr:`unresolved`: whether a submission that has not been served may have
        been held.

    :param network: of the client.
    :param opened_at: when the connection was opened.
    """

    __slots__ = (
        "_arrived_at",
        "_doubted_at",
        "_network",
        "_settle_s",
        "_silent_since",
        "settled_at",
        "silent_s",
        "unresolved",
    )

    def __init__(self, network: ClientNetwork, opened_at: float) -> None:
        self._network = network
        self._arrived_at = opened_at
        # The start of a silence after which nothing has been submitted yet.
        self._silent_since: float | None = None
        self._doubted_at = -math.inf
        self._settle_s = SETTLE_S
        self.settled_at = -math.inf
        self.silent_s = 0.0
        self.unresolved = False

    def received(self, now: float) -> None:
        """Record the arrival of data."""
        if now - self._arrived_at >= SILENCE_S:
            self._silent_since = self._arrived_at
        self._arrived_at = now
        if now < self.settled_at:
            self._settle(now)

    def submitted(self, now: float, round_trip_s: float = 0.0) -> None:
        """Record that the data received last has completed a submission.

        :param round_trip_s: to the client, as far as it is known.
        """
        self._network.submitted(now)
        since, self._silent_since = self._silent_since, None
        if since is None:
            if not self.unresolved:
                self.silent_s = 0.0
            return
        self.silent_s = now - since
        if self._network.may_have_held(since, now):
            self.unresolved = True
            self._doubted_at = now
            self._settle_s = SETTLE_S + 2 * round_trip_s
            self._settle(now)

    def ended(self, now: float) -> None:
        """Record the end of the connection.

        An end that follows a submission at once has been held with it, even
        if others of the network have arrived meanwhile.
        """
        if self.silent_s and now < self._arrived_at + SETTLE_S:
            self._network.resumed(self.silent_s, now)

    def _settle(self, now: float) -> None:
        self.settled_at = min(
            now + self._settle_s, self._doubted_at + MAX_SETTLE_S
        )


class Suspensions:
    """When the machine was suspended last, as far as its clocks show.

    :param steady: seconds on a clock that stands still in a suspension.
    :param boot: seconds on one that does not.
    """

    __slots__ = ("_length_s", "_offset", "_woke_at")

    def __init__(self, steady: float, boot: float) -> None:
        self._offset = boot - steady
        self._length_s = 0.0
        self._woke_at = -math.inf

    def observe(self, steady: float, boot: float) -> None:
        """Compare the clocks; call it whenever data is read."""
        length_s = boot - steady - self._offset
        if length_s >= MIN_SUSPENSION_S:
            self._offset += length_s
            self._length_s = length_s
            self._woke_at = steady

    def since(self, arrived_at: float) -> float:
        """Return how long the machine was suspended after an arrival.

        What arrived just before the first read after a suspension may have
        arrived before it.

        :param arrived_at: seconds on the steady clock.
        """
        return self._length_s if arrived_at <= self._woke_at + TICK_S else 0.0
