"""Sockets that listen before the rest of a process is imported.

After a loss of power all processes start at once, and the imports take a
quarter of a second. Until a process listens, its machine refuses connections:
requests fail, and a worker or an entry comes back only after a pause. On a
socket that listens early they wait for the process instead.

This module must not import others that are slow to load.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable

TYPE_CHECKING = False  # without the import of ``typing``, which is slow
if TYPE_CHECKING:
    import asyncio

__all__ = ["close_early_sockets", "create_server", "listen_early"]

# After a second of silence the machine of a peer is asked if the connection is
# still there, and again each second. It resets one whose end was lost on the
# way; without any answer the connection ends.
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 5
BACKLOG = 512  # connections of all clients, made again within one second

_SOCKETS: dict[tuple[str, int], socket.socket] = {}


def listen_early(addresses: Iterable[str]) -> None:
    """Listen on addresses that the process is going to serve.

    An address that cannot be used is left out; the server that is started
    for it later reports the error.

    :param addresses: IP numbers with ports, as in ``127.0.0.1:7300``.
    """
    for address in addresses:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            continue
        try:
            sock = _bind(host, int(port))
        except (OSError, OverflowError):
            continue
        sock.listen(BACKLOG)
        _SOCKETS[(host, int(port))] = sock


async def create_server(
    loop: asyncio.AbstractEventLoop,
    make_protocol: Callable[[], asyncio.BaseProtocol],
    host: str,
    port: int,
    backlog: int,
    receive_buffer: int = 0,
    keepalive: bool = False,
) -> asyncio.Server:
    """Serve an address, on the socket that listens there already if any.

    :param receive_buffer: bytes that the kernel keeps for each connection
        while it is not read; 0 for as many as it likes.
    :param keepalive: whether the end of a connection is to be noticed although
        it was lost on the way.
    """
    sock = _SOCKETS.pop((host, port), None) or _bind(host, port)
    if receive_buffer:
        # Accepted connections inherit it.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    if keepalive:
        _keep_alive(sock)
    return await loop.create_server(make_protocol, sock=sock, backlog=backlog)


def _bind(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
    except BaseException:
        sock.close()
        raise
    return sock


def _keep_alive(sock: socket.socket) -> None:
    """Ask silent peers on all connections that a socket accepts."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def close_early_sockets() -> None:
    """Close the sockets that no server has used."""
    while _SOCKETS:
        _SOCKETS.popitem()[1].close()
