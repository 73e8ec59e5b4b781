"""A fleet of which the measured daemons run as processes of their own.

These are all entries and the first agent. The other agents, the backend
servers and the key-value stand-in run in this process.
"""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass

import aiohttp

from briarford_bench.backend_core import BackendProfile
from briarford_bench.backend_server import BackendServer
from briarford_bench.daemons import Daemon, free_address
from briarford_bench.kv_server import KvServer
from briarford_daemon.processes import AgentProcess
from briarford_daemon.settings import AgentSettings

__all__ = ["Fleet", "FleetSize"]

SERVICE = "bench"
ZONE = "z-1"
ANY_PORT = "127.0.0.1:0"
READY_POLLS = 100
READY_POLL_S = 0.1
WORKERS_METRIC = re.compile(
    rb'briarford_state\{[^}]*kind="workers"[^}]*\} (\d+)'
)


@dataclass(slots=True, frozen=True)
class FleetSize:
    """Size of a fleet.

    :param agents: number of agents, each with a backend server of 8 slots.
    :param entries: number of entries.
    :param log_level: log level of the measured processes; ``info`` logs each
        decision.
    """

    agents: int = 8
    entries: int = 1
    log_level: str = "warning"


class Fleet:
    """Starts and stops a fleet; has handles of its measured processes.

    :param size: its size.
    """

    def __init__(self, size: FleetSize) -> None:
        self.size = size
        self.entries: list[Daemon] = []
        self.addresses: list[str] = []
        self.agent: Daemon
        self._store = KvServer(seed=1)
        self._agents: list[AgentProcess] = []
        self._backends: list[BackendServer] = []

    @property
    def store_address(self) -> str:
        """Host and port of the key-value stand-in."""
        return self._store.address

    async def start(self) -> None:
        """Start all processes; return once each entry knows each worker."""
        await self._store.start()
        rpc = [free_address() for _ in range(self.size.entries)]
        for index in range(len(rpc)):
            await self._start_entry(index, rpc)
        await self._start_measured_agent(rpc)
        for index in range(1, self.size.agents):
            await self._start_agent(index, rpc)
        for address in self.addresses:
            await self._wait_for_workers(address)

    async def stop(self) -> None:
        """Stop backend servers, agents, entries and the store."""
        await asyncio.gather(*(b.stop() for b in self._backends))
        await asyncio.gather(*(a.stop() for a in self._agents))
        await self.agent.stop()
        await asyncio.gather(*(e.stop() for e in self.entries))
        await self._store.stop()

    async def _start_entry(self, index: int, rpc: list[str]) -> None:
        http = free_address()
        peers = [a for a in rpc if a != rpc[index]]
        entry = Daemon(
            "entry",
            f'name = "entry-{index + 1}"\nzone = "{ZONE}"\n'
            f'http = "{http}"\nrpc = "{rpc[index]}"\n'
            f'store = "{self._store.address}"\npeers = {peers}\n'
            f'log_level = "{self.size.log_level}"\nstop_within_s = 2.0\n',
        )
        await entry.start()
        self.entries.append(entry)
        self.addresses.append(http)

    async def _start_measured_agent(self, rpc: list[str]) -> None:
        http = free_address()
        self.agent = Daemon(
            "agent",
            f'name = "agent-1"\nzone = "{ZONE}"\nhttp = "{http}"\n'
            f"entries = {rpc}\n"
            f'log_level = "{self.size.log_level}"\nstop_within_s = 2.0\n',
        )
        await self.agent.start()
        await self._start_backend(0, http)

    async def _start_agent(self, index: int, rpc: list[str]) -> None:
        agent = AgentProcess(
            AgentSettings(
                name=f"agent-{index + 1}",
                zone=ZONE,
                http=ANY_PORT,
                entries=tuple(rpc),
                stop_within_s=2.0,
            )
        )
        await agent.start()
        self._agents.append(agent)
        await self._start_backend(index, agent.http_address)

    async def _start_backend(self, index: int, agent: str) -> None:
        profile = BackendProfile(name=f"worker-{index + 1}", service=SERVICE)
        backend = BackendServer(profile, index, agent)
        await backend.start()
        self._backends.append(backend)

    async def _wait_for_workers(self, address: str) -> None:
        async with aiohttp.ClientSession() as http:
            for _ in range(READY_POLLS):
                if (
                    await self._read_worker_count(http, address)
                    == self.size.agents
                ):
                    return
                await asyncio.sleep(READY_POLL_S)
        raise TimeoutError(f"the entry at {address} does not know all workers")

    async def _read_worker_count(
        self, http: aiohttp.ClientSession, address: str
    ) -> int:
        try:
            async with http.get(f"http://{address}/metrics") as response:
                found = WORKERS_METRIC.search(await response.read())
        except aiohttp.ClientError:
            return 0
        return int(found[1]) if found else 0
