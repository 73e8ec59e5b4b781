"""Commands that run stand-ins of the key-value service and backend servers.

With them the daemons run on one machine without the platform.
"""

from __future__ import annotations

import asyncio
import signal
from typing import Protocol

import uvloop

from briarford_bench.backend_core import BackendProfile
from briarford_bench.backend_server import BackendServer
from briarford_bench.kv_server import KvServer

__all__ = ["backend_stand_in", "kv_stand_in"]


class _Server(Protocol):
    async def start(self) -> None: ...

    async def stop(self) -> None: ...


def kv_stand_in(*, port: int = 7200) -> None:
    """Run a stand-in of the key-value service on loopback until a signal.

    :param port: port to listen on.
    """
    uvloop.run(_serve(KvServer(port)))


def backend_stand_in(
    *,
    agent: str,
    port: int = 0,
    service: str = "lease-desk",
    slots: int = 8,
    connections: int = 64,
    speed: float = 1.0,
    seed: int = 0,
) -> None:
    """Run a stand-in of a backend server on loopback until a signal.

    :param agent: HTTP address of the agent to which it announces itself.
    :param port: port to listen on, 0 for any free one.
    :param service: the service that it provides.
    :param slots: number of tasks that it runs at the same time.
    :param connections: number of connections that it accepts at most.
    :param speed: a task of ``run_ms`` takes ``run_ms / speed``.
    :param seed: seed of the random run times.
    """
    profile = BackendProfile(
        service=service, slots=slots, connections=connections, speed=speed
    )
    server = BackendServer(profile, seed, agent, port=port)
    uvloop.run(_serve(server))


async def _serve(server: _Server) -> None:
    """Run a server until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    await server.start()
    await stop_requested.wait()
    await server.stop()
