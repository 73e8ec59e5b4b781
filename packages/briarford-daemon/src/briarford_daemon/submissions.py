"""Delays submissions until their clients cannot have left unnoticed.

The decisions are in :mod:`briarford.intake.arrivals`.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from briarford.intake import ClientNetworks, ConnectionArrivals, Suspensions
from briarford.intake.arrivals import FIRST_RETRANSMISSION_S
from briarford_daemon.tcp_state import TcpState, network_prefix

__all__ = ["ConnectionSubmissions", "SubmissionWatch", "boot_time"]

LOGGER = logging.getLogger("briarford.http")

# Turns of the event loop in which the end of a connection is read and reported
# that has arrived already, behind its request.
SETTLE_TURNS = 4
MS_PER_S = 1000


def boot_time() -> float:
    """Return seconds on a clock that counts suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SubmissionWatch:
    """What the connections of a listener share.

    :param methods: HTTP methods of submissions, which a client repeats
        elsewhere if it gets no answer.
    :param now: seconds on the steady clock. That of the event loop may stand
        still for one of its turns, which is no suspension.
    :param boot_now: seconds on a clock that counts suspensions.
    """

    __slots__ = ("_networks", "boot_now", "methods", "now", "suspensions")

    def __init__(
        self,
        methods: frozenset[str],
        now: Callable[[], float] = time.monotonic,
        boot_now: Callable[[], float] = boot_time,
    ) -> None:
        self.methods = methods
        self.now = now
        self.boot_now = boot_now
        self.suspensions = Suspensions(now(), boot_now())
        self._networks = ClientNetworks()

    def open(self, host: str, state: TcpState) -> ConnectionSubmissions:
        """Watch a new connection.

        :param host: IP number of the client.
        :param state: of the connection.
        """
        opened_at = self.boot_now()
        if state.retransmissions:  # the handshake was held up
            opened_at -= FIRST_RETRANSMISSION_S
        arrivals = self._networks.open(network_prefix(host), opened_at)
        return ConnectionSubmissions(self, arrivals)


class ConnectionSubmissions:
    """Submissions on one connection.

    :param watch: of the listener.
    :param arrivals: on the connection.
    """

    __slots__ = ("_arrivals", "_turns", "_watch")

    def __init__(
        self, watch: SubmissionWatch, arrivals: ConnectionArrivals
    ) -> None:
        self._watch = watch
        self._arrivals = arrivals
        self._turns = 0  # until the next submission may be served

    def received(self) -> None:
        """Record that data has been read."""
        boot_now = self._watch.boot_now()
        self._watch.suspensions.observe(self._watch.now(), boot_now)
        self._arrivals.received(boot_now)

    def completed(self, method: str, state: TcpState) -> float:
        """Record that a request has been read whole.

        :param state: of the connection.
        :return: for how many seconds the machine was suspended since the
            arrival of the request.
        """
        if method in self._watch.methods:
            self._turns = SETTLE_TURNS
            self._arrivals.submitted(
                self._watch.boot_now(), state.round_trip_s
            )
        return self._watch.suspensions.since(
            self._watch.now() - state.silent_s
        )

    def delay_s(self, method: str) -> float | None:
        """Return for how long the next request has to wait.

        :param method: of the request.
        :return: seconds, 0 for a turn of the event loop; None if it may be
            served.
        """
        if method not in self._watch.methods:
            return None
        if self._turns:
            self._turns -= 1
            return 0.0
        left_s = self._arrivals.settled_at - self._watch.boot_now()
        return left_s if left_s > 0.0 else None

    def resolve(self, path: str, read_state: Callable[[], TcpState]) -> bool:
        """Decide on a submission that may have been held, after its delay.

        The end of its connection may not have been read, as reading pauses
        while many requests are ahead.

        :param path: of the submission.
        :param read_state: reads the state of the connection.
        :return: whether its client has left.
        """
        if not self._arrivals.unresolved:
            return False
        self._arrivals.unresolved = False
        if read_state().has_ended:
            self._log("submission-dropped", path)
            return True
        self._log("submission-delayed", path)
        return False

    def ended(self, method: str, path: str, is_served: bool) -> None:
        """Record the end of the connection.

        :param method: of the first request that was not served; empty if all
            were.
        :param path: of that request.
        :param is_served: whether a request was being served.
        """
        if method in self._watch.methods:
            self._log("submission-dropped", path)
        if method or is_served:
            self._arrivals.ended(self._watch.boot_now())

    def _log(self, event: str, path: str) -> None:
        job = path.rpartition("/")[2]  # as in the lines of the core
        silent_ms = round(self._arrivals.silent_s * MS_PER_S)
        LOGGER.info(event, extra={"job": job, "silent_ms": silent_ms})
