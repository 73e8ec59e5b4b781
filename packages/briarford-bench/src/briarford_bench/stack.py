"""A complete system in one process, connected by loopback sockets."""

from __future__ import annotations

from dataclasses import dataclass

from briarford_bench.backend_core import BackendProfile
from briarford_bench.backend_server import BackendServer
from briarford_bench.daemons import free_address
from briarford_bench.kv_server import KvServer
from briarford_daemon.processes import AgentProcess, EntryProcess
from briarford_daemon.settings import AgentSettings, EntrySettings

__all__ = ["Stack", "WorkerProcesses"]

ANY_PORT = "127.0.0.1:0"


@dataclass(slots=True)
class WorkerProcesses:
    """The agent and the backend server of one worker."""

    agent: AgentProcess
    backend: BackendServer


class Stack:
    """A key-value stand-in, entries, and workers with their agents.

    :param entries: number of entries.
    :param profiles: profiles of the backend servers, one for each worker.
    :param zones: availability zones, assigned to the processes in turn.
    :param seed: seed of the stand-ins.
    """

    def __init__(
        self,
        entries: int,
        profiles: list[BackendProfile],
        zones: tuple[str, ...],
        seed: int,
    ) -> None:
        self.store = KvServer(seed=seed)
        self.entries: list[EntryProcess] = []
        self.workers: list[WorkerProcesses] = []
        self._entry_count = entries
        self._profiles = profiles
        self._zones = zones
        self._seed = seed

    @property
    def http_addresses(self) -> list[str]:
        """HTTP addresses of the entries."""
        return [e.http_address for e in self.entries]

    async def start(self) -> None:
        """Start the store, then the entries, then the workers."""
        await self.store.start()
        addresses = [free_address() for _ in range(self._entry_count)]
        for index in range(self._entry_count):
            await self._start_entry(index, addresses)
        for index, profile in enumerate(self._profiles):
            await self._start_worker(index, profile, addresses)

    async def stop(self) -> None:
        """Stop workers, entries and the store gracefully.

        Processes that were stopped before may be among them.
        """
        for worker in self.workers:
            await worker.backend.stop()
            await worker.agent.stop()
        for entry in self.entries:
            await entry.stop()
        await self.store.stop()

    async def _start_entry(self, index: int, addresses: list[str]) -> None:
        peers = [a for i, a in enumerate(addresses) if i != index]
        settings = EntrySettings(
            name=f"entry-{index + 1}",
            zone=self._zone(index),
            http=ANY_PORT,
            rpc=addresses[index],
            store=self.store.address,
            peers=tuple(peers),
        )
        entry = EntryProcess(settings)
        await entry.start()
        self.entries.append(entry)

    async def _start_worker(
        self, index: int, profile: BackendProfile, addresses: list[str]
    ) -> None:
        settings = AgentSettings(
            name=f"worker-{index + 1}",
            zone=self._zone(index),
            http=ANY_PORT,
            entries=tuple(addresses),
        )
        agent = AgentProcess(settings)
        await agent.start()
        backend = BackendServer(
            profile, self._seed + index, agent.http_address
        )
        await backend.start()
        self.workers.append(WorkerProcesses(agent, backend))

    def _zone(self, index: int) -> str:
        return self._zones[index % len(self._zones)]
