"""The two systems that are compared: the product and the naive dispatcher.

Each runs with its backend servers in this process, on loopback connections
with the delays of a deployment.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from typing import Any, Protocol

from briarford.homes.messages import ExchangeReply, ExchangeRequest
from briarford.sessions import AgentBatch, EntryBatch
from briarford_bench.backend_core import Start
from briarford_bench.backend_server import BackendServer
from briarford_bench.daemons import free_address
from briarford_bench.kv_server import KvServer
from briarford_bench.naive import NaiveEntry
from briarford_bench.network import ZoneDelayLoop, dialler_zone
from briarford_bench.profiles import Profile
from briarford_daemon.processes import AgentProcess, EntryProcess
from briarford_daemon.settings import AgentSettings, EntrySettings

__all__ = ["NaiveSystem", "ProductSystem", "System", "classify_waste"]

ANY_PORT = "127.0.0.1:0"
READY_POLLS = 200
READY_POLL_S = 0.05
STOP_WITHIN_S = 2.0
MESSAGES_PER_REJECTED_CALL = 2


class System(Protocol):
    """A dispatcher with its backend servers, to which load can be sent."""

    backends: list[BackendServer]

    @property
    def addresses(self) -> list[str]:
        """HTTP addresses of the entries."""

    async def start(self) -> None:
        """Start everything; return once jobs can be placed."""

    async def stop(self) -> None:
        """Stop everything."""

    def count_wasted_messages(self) -> Counter[str]:
        """Return numbers of messages that served no answer, by kind."""

    def list_starts(self) -> list[Start]:
        """Return the records of the tasks that backend servers started."""

    def count_decisions(self) -> Counter[str]:
        """Return numbers of decisions of the daemons, by action."""


class _SystemBase:
    """The part that both systems have: backend servers and zone delays."""

    def __init__(self, profile: Profile, seed: int) -> None:
        self.backends: list[BackendServer] = []
        self._profile = profile
        self._seed = seed

    def list_starts(self) -> list[Start]:
        """Return the records of the tasks that backend servers started."""
        return [start for b in self.backends for start in b.starts]

    def _set_listener_zone(self, address: str, zone: str) -> None:
        loop = asyncio.get_running_loop()
        if isinstance(loop, ZoneDelayLoop):
            loop.set_listener_zone(address, zone)


class ProductSystem(_SystemBase):
    """The product: entries, and an agent beside each backend server.

    :param profile: the deployment.
    :param seed: seed of the stand-ins.
    """

    def __init__(self, profile: Profile, seed: int) -> None:
        super().__init__(profile, seed)
        self.entries: list[EntryProcess] = []
        self.agents: list[AgentProcess] = []
        self._store = KvServer(seed=seed)
        self._batches: Counter[str] = Counter()

    @property
    def addresses(self) -> list[str]:
        """HTTP addresses of the entries."""
        return [entry.http_address for entry in self.entries]

    async def start(self) -> None:
        """Start everything; return once each entry knows each worker."""
        await self._store.start()
        rpc = [free_address() for _ in range(self._profile.entries)]
        for index in range(len(rpc)):
            await self._start_entry(index, rpc)
        for index in range(len(self._profile.speeds)):
            await self._start_worker(index, rpc)
        for _ in range(READY_POLLS):
            if all(map(self._knows_all_workers, self.entries)):
                return
            await asyncio.sleep(READY_POLL_S)
        raise TimeoutError("not every entry knows every worker")

    async def stop(self) -> None:
        """Stop the backend servers, agents, entries and the store."""
        await asyncio.gather(*(b.stop() for b in self.backends))
        await asyncio.gather(*(a.stop() for a in self.agents))
        await asyncio.gather(*(e.stop() for e in self.entries))
        await self._store.stop()

    def count_wasted_messages(self) -> Counter[str]:
        """Return numbers of messages that served no answer, by kind."""
        counts = +self._batches
        rejected = sum(b.core.busy_replies for b in self.backends)
        counts["bounce"] += MESSAGES_PER_REJECTED_CALL * rejected
        return counts

    def count_decisions(self) -> Counter[str]:
        """Return numbers of decisions of the daemons, by action."""
        counts: Counter[str] = Counter()
        for entry in self.entries:
            counts += entry.daemon.metrics.decisions
        for agent in self.agents:
            counts += agent.daemon.metrics.decisions
        return counts

    def _knows_all_workers(self, entry: EntryProcess) -> bool:
        workers = entry.daemon.core.placer.workers
        return len(workers) == len(self._profile.speeds)

    async def _start_entry(self, index: int, rpc: Sequence[str]) -> None:
        zone = self._profile.zone(index)
        dialler_zone.set(zone)
        entry = EntryProcess(
            EntrySettings(
                name=f"entry-{index + 1}",
                zone=zone,
                http=ANY_PORT,
                rpc=rpc[index],
                store=self._store.address,
                peers=tuple(a for a in rpc if a != rpc[index]),
                stop_within_s=STOP_WITHIN_S,
            )
        )
        await entry.start()
        self._set_listener_zone(rpc[index], zone)
        self._set_listener_zone(entry.http_address, zone)
        self._count_server_messages(entry)
        self.entries.append(entry)

    async def _start_worker(self, index: int, rpc: Sequence[str]) -> None:
        zone = self._profile.zone(index)
        dialler_zone.set(zone)
        agent = AgentProcess(
            AgentSettings(
                name=f"worker-{index + 1}",
                zone=zone,
                http=ANY_PORT,
                entries=tuple(rpc),
                stop_within_s=STOP_WITHIN_S,
            )
        )
        await agent.start()
        backend = BackendServer(
            self._profile.make_backend_profiles()[index],
            self._seed + index,
            agent.http_address,
        )
        await backend.start()
        self.agents.append(agent)
        self.backends.append(backend)

    def _count_server_messages(self, entry: EntryProcess) -> None:
        """Count the wasted messages that pass the server of an entry.

        These are the batches of the sessions with agents and the calls that
        other entries make here. The calls that this entry makes are counted
        at the entry that serves them.
        """
        entry.daemon.observe_messages(self._count_message)

    def _count_message(self, message: Any) -> None:
        kind = classify_waste(message)
        if kind:
            self._batches[kind] += 1


class NaiveSystem(_SystemBase):
    """Naive entries that call the backend servers without agents.

    :param profile: the deployment.
    :param seed: seed of the stand-ins.
    """

    def __init__(self, profile: Profile, seed: int) -> None:
        super().__init__(profile, seed)
        self.entries: list[NaiveEntry] = []

    @property
    def addresses(self) -> list[str]:
        """HTTP addresses of the entries."""
        return [entry.address for entry in self.entries]

    async def start(self) -> None:
        """Start the backend servers, then the entries."""
        for index, profile in enumerate(self._profile.make_backend_profiles()):
            backend = BackendServer(profile, self._seed + index)
            await backend.start()
            self._set_listener_zone(backend.address, self._profile.zone(index))
            self.backends.append(backend)
        addresses = [b.address for b in self.backends]
        for index in range(self._profile.entries):
            zone = self._profile.zone(index)
            dialler_zone.set(zone)
            entry = NaiveEntry(addresses, self._seed + index)
            await entry.start()
            self._set_listener_zone(entry.address, zone)
            self.entries.append(entry)

    async def stop(self) -> None:
        """Stop the entries, then the backend servers."""
        await asyncio.gather(*(e.stop() for e in self.entries))
        await asyncio.gather(*(b.stop() for b in self.backends))

    def count_wasted_messages(self) -> Counter[str]:
        """Return numbers of messages that served no answer, by kind."""
        return sum((e.wasted_messages for e in self.entries), Counter())

    def count_decisions(self) -> Counter[str]:
        """Return an empty counter: a naive entry logs no decisions."""
        return Counter()


def classify_waste(message: object) -> str:
    """Return the kind of waste that a message is; empty if it is not waste.

    Starts, results, reports on attempts, announcements of a worker, of the
    preset record or of the entries, the first batch of a session, forwarded
    jobs and transferred records serve an answer. A message that carries none
    of them counts as waste, even if the protocol needs it.
    """
    if isinstance(message, AgentBatch):
        return _classify_agent_batch(message)
    if isinstance(message, EntryBatch):
        return _classify_entry_batch(message)
    if isinstance(message, ExchangeRequest | ExchangeReply):
        return "entry-exchange"
    return ""


def _classify_agent_batch(batch: AgentBatch) -> str:
    if batch.results or batch.hello or batch.worker or batch.reports:
        return ""
    if batch.credits:
        return "credits-only"
    if batch.recall:
        return "recalls-only"
    return "agent-heartbeat"


def _classify_entry_batch(batch: EntryBatch) -> str:
    if batch.starts or batch.welcome or batch.preset or batch.entries:
        return ""
    if batch.cancels:
        return "cancels-only"
    if batch.returned:
        return "returns-only"
    if batch.acks:
        return "acks-only"
    if batch.demand:
        return "demand-only"
    return "entry-heartbeat"
