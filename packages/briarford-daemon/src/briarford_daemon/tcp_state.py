"""What the kernel knows of a TCP connection."""

from __future__ import annotations

import socket
import struct
from typing import NamedTuple

__all__ = ["TcpState", "network_prefix", "read_tcp_state"]

# Of struct tcp_info: tcpi_state, tcpi_last_data_recv (ms), tcpi_rtt
# (microseconds), tcpi_total_retrans.
TCP_INFO = struct.Struct("=B51xI12xI28xI")
# TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK, TCP_CLOSING
ENDED_STATES = frozenset({7, 8, 9, 11})
IPV4_PREFIX_BYTES = 3
IPV6_PREFIX_BYTES = 8


class TcpState(NamedTuple):
    """State of a connection; the defaults where the kernel reports none.

    :param has_ended: whether the peer has closed or reset it.
    :param silent_s: seconds since the last data arrived.
    :param round_trip_s: smoothed round-trip time in seconds.
    :param retransmissions: segments that were sent again; on a new connection
        those of the handshake.
    """

    has_ended: bool = False
    silent_s: float = 0.0
    round_trip_s: float = 0.0
    retransmissions: int = 0


def read_tcp_state(sock: socket.socket) -> TcpState:
    """Read the state of a connection."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size
        )
        state, silent_ms, round_trip_us, retransmissions = TCP_INFO.unpack(
            info
        )
    except (OSError, struct.error):
        return TcpState()
    return TcpState(
        state in ENDED_STATES,
        silent_ms / 1e3,
        round_trip_us / 1e6,
        retransmissions,
    )


def network_prefix(host: str) -> bytes:
    """Return the bits of an IP number that its network shares.

    An unknown host is a network of its own.
    """
    try:
        return socket.inet_pton(socket.AF_INET, host)[:IPV4_PREFIX_BYTES]
    except OSError:
        pass
    try:
        address = socket.inet_pton(socket.AF_INET6, host.partition("%")[0])
    except OSError:
        return host.encode()
    return address[:IPV6_PREFIX_BYTES]
