"""The entry daemon: its core, and the tasks around it."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
from functools import singledispatchmethod
from typing import Any

from grpclib.server import Server

from briarford.dispatch.entry import EntryCore, EntryEffect, EntryMessage
from briarford.dispatch.messages import (
    CloseSession,
    Decision,
    EntriesChanged,
    JobEnded,
    PresetAdopted,
    SendToAgent,
    StopRequested,
)
from briarford.homes import (
    IdAllocator,
    Member,
    RecordExchanger,
    Router,
    TransferredJobTable,
    ViewHolder,
    choose_successor,
)
from briarford.outcomes import RefusalReason, Refused, Step
from briarford.placement import Placer
from briarford.presets import decode_record, to_document
from briarford.presets.configs import make_limit_config, make_placement_config
from briarford.sessions import EntryAddress
from briarford_daemon.agent_streams import AgentStreams
from briarford_daemon.clock import Clock
from briarford_daemon.driver import CoreDriver
from briarford_daemon.identity import new_incarnation
from briarford_daemon.local_jobs import LocalJobs
from briarford_daemon.logs import log_decision
from briarford_daemon.metrics import Metrics
from briarford_daemon.peers import Peers, PeerService
from briarford_daemon.preset_watcher import PresetWatcher
from briarford_daemon.registration import Membership
from briarford_daemon.settings import EntrySettings, split_address
from briarford_daemon.store_client import HttpStore
from briarford_daemon.wire import MsgpackCodec, Sessions

__all__ = ["EntryDaemon"]

SECRET_BYTES = 32
LEAVE_WITHIN_S = 15.0
LAST_SUBMITS_S = 2.0


class EntryDaemon:
    """An entry within the caller's loop.

    :param settings: its settings.
    :param clock: the process's clock.
    """

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = Metrics(settings.name)
        self.me = Member(
            settings.name, new_incarnation(), settings.rpc, settings.zone
        )
        rng = random.Random(secrets.randbits(64))
        self.core = EntryCore(
            settings.name,
            self.me.incarnation,
            Placer(settings.name, settings.zone, rng),
            rng,
        )
        self._minter = IdAllocator(
            settings.name,
            self.me.incarnation,
            secrets.token_bytes(SECRET_BYTES),
        )
        self._view = ViewHolder(self.me)
        self._exchanger = RecordExchanger(self._view, self._offer_preset)
        self._inheritance = TransferredJobTable(settings.name)
        self._store = HttpStore(settings.store) if settings.store else None
        self.leaving = False
        self._members: tuple[Member, ...] = ()
        self._watcher: PresetWatcher | None = None

    async def start(self) -> None:
        """Serve agents and other entries; HTTP is served beside it."""
        self._driver: CoreDriver[EntryMessage, EntryEffect] = CoreDriver(
            self.core, self.clock, self._perform
        )
        self._streams = AgentStreams(self._driver.post, self.metrics)
        self.jobs = LocalJobs(
            self.core, self._driver, self.clock, self.metrics
        )
        router = Router(self._view, self._minter)
        self.peers = Peers(
            router, self._exchanger, self._inheritance, self.jobs, self.clock
        )
        self._membership = Membership(
            self._view,
            router,
            self.peers,
            self._store,
            self.clock,
            self._note_members,
        )
        await self._serve()
        self._membership.start(self.settings.peers)
        await self._follow_presets()

    async def stop(self) -> None:
        """Leave the entries, finish the jobs, hand the ended ones over.

        Ids that were made before are accepted until the entry has left.
        """
        deadline = self.clock.now() + self.settings.stop_within_s
        self.leaving = True
        left = await self._leave(deadline)
        self._driver.post(StopRequested(deadline))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(deadline - self.clock.now()):
                await self.jobs.wait_idle()
        if left:
            await self._bequeath(deadline)

    async def close(self) -> None:
        """Close at once."""
        if self._watcher is not None:
            await self._watcher.stop()
        await self._membership.close()
        self._driver.close()
        self.peers.close()
        self._server.close()
        self._streams.close()
        await self._server.wait_closed()
        if self._store is not None:
            await self._store.close()

    def mint(self) -> str | Refused:
        """Return a new job id whose home is this entry."""
        if not self.leaving:
            return self._minter.allocate(self.clock.now())
        return Refused(
            RefusalReason.STOPPING,
            "this entry is stopping; ask again, another one will answer",
            Step.ALLOCATE_ID,
            self.settings.name,
            self.clock.now(),
        )

    def mint_single(self) -> str:
        """Return the id of a single request, taken until the entry stops."""
        return self._minter.allocate(self.clock.now())

    def state(self) -> dict[str, float]:
        """Return what the entry holds, for metrics."""
        workers = self.core.placer.workers.values()
        return {
            "jobs_running": self.core.jobs.running,
            "jobs_remembered": len(self.core.jobs),
            "answer_bytes": self.core.jobs.kept_bytes,
            "tasks_queued": sum(self.core.placer.queued_by_service().values()),
            "tasks_outstanding": self.core.outstanding(),
            "attempts_ended": self.metrics.attempts.total(),
            "workers": len(workers),
            "credits": sum(w.credits for w in workers),
            "entries": len(self._members),
            "preset_version": self.core.preset_version,
        }

    def status(self) -> dict[str, Any]:
        """Return what an operator sees of the entry."""
        return {
            "name": self.settings.name,
            "zone": self.settings.zone,
            "incarnation": self.me.incarnation,
            "status": "stopping" if self.leaving else "serving",
            "entries": [m.name for m in self._members],
            "workers": self._show_workers(),
            "state": self.state(),
        }

    def preset(self) -> dict[str, Any] | None:
        """Return the record that is in force here; None if there is none."""
        if self._watcher is None or self._watcher.holder.record is None:
            return None
        return to_document(self._watcher.holder.record)

    def _show_workers(self) -> list[dict[str, Any]]:
        versions = self.core.preset_versions()
        return [
            {
                "worker": w.name,
                "service": w.service,
                "zone": w.zone,
                "slots": w.slots,
                "credits": w.credits,
                "running": w.running,
                "state": "leaving" if w.leaving else "serving",
                "preset": versions.get(w.name, 0),
            }
            for w in self.core.placer.workers.values()
        ]

    async def _serve(self) -> None:
        services: list[Any] = [
            Sessions(self._streams.attach),
            PeerService(self.peers),
        ]
        self._server = Server(services, codec=MsgpackCodec())
        host, port = split_address(self.settings.rpc)
        await self._server.start(host, port)

    def _note_members(self, members: tuple[Member, ...]) -> None:
        self._members = members
        entries = tuple(
            EntryAddress(m.name, m.address, m.zone) for m in members
        )
        self.core.placer.set_entry_count(len(members))
        self._driver.post(EntriesChanged(entries))

    # Presets.

    async def _follow_presets(self) -> None:
        if self._store is None:
            return
        self._watcher = PresetWatcher(
            self._store, self.clock, self._adopt_preset
        )
        version, encoded = self._exchanger.preset
        if version:
            self._watcher.offer(encoded)
        await self._watcher.start()

    def _offer_preset(self, encoded: bytes) -> None:
        """Take a record that came from another entry."""
        if self._watcher is not None:
            self._watcher.offer(encoded)

    def _adopt_preset(self, adopted: PresetAdopted) -> None:
        self._exchanger.adopt_preset(adopted.version, adopted.encoded)
        record = decode_record(adopted.encoded)
        preset = record.presets[record.active]
        self.core.configure(
            make_placement_config(preset), make_limit_config(preset)
        )
        self._driver.post(adopted)

    # Leaving.

    async def _leave(self, deadline: float) -> bool:
        """Leave the view; whether no new id has its home here any longer."""
        now = self.clock.now()
        if self._store is None:
            await asyncio.sleep(min(LAST_SUBMITS_S, deadline - now))
            return False
        latest = min(deadline, now + LEAVE_WITHIN_S)
        return await self._membership.leave(latest)

    async def _bequeath(self, deadline: float) -> None:
        """Hand the ended jobs to the heir, and name it in the view."""
        heir = choose_successor(self.me, self._members)
        handed = heir is not None and await self.peers.hand_over(
            heir, self.me.name, self.me.incarnation, self.jobs.handed()
        )
        await self._membership.depart(heir if handed else None, deadline)

    # Effects of the core.

    @singledispatchmethod
    def _perform(self, effect: EntryEffect) -> None:
        raise TypeError(f"no way to perform {type(effect).__name__}")

    @_perform.register
    def _(self, effect: SendToAgent) -> None:
        self._streams.send(effect)

    @_perform.register
    def _(self, effect: CloseSession) -> None:
        self._streams.end(effect)

    @_perform.register
    def _(self, effect: JobEnded) -> None:
        self.jobs.ended(effect)

    @_perform.register
    def _(self, effect: Decision) -> None:
        self.metrics.decisions[effect.action] += 1
        log_decision(effect)
