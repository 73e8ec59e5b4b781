"""The entry daemon: runs the entry's core and connects it to the network.

The core, :class:`briarford.dispatch.entry.EntryCore`, decides without I/O.
Around it are the server for agents and other entries, the local jobs and
the routing of ids to their homes, the entry's membership in the view (the
record of the member entries), and the watcher of the preset record.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from briarford.capabilities import BUILD
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
from briarford_daemon.frames import FrameServer
from briarford_daemon.identity import new_incarnation
from briarford_daemon.local_jobs import LocalJobs
from briarford_daemon.logs import log_decision
from briarford_daemon.metrics import Metrics
from briarford_daemon.peers import PEERS_SERVICE, Peers, PeerService
from briarford_daemon.preset_watcher import PresetWatcher
from briarford_daemon.registration import Membership
from briarford_daemon.settings import EntrySettings, split_address
from briarford_daemon.store_client import HttpStore
from briarford_daemon.streams import SESSIONS_SERVICE

__all__ = ["EntryDaemon"]

SECRET_BYTES = 32
# Longest wait at a stop until the view no longer names this entry.
LEAVE_TIMEOUT_S = 15.0
# Without a store the entry cannot leave the view. During this time of a stop
# it allocates no new ids, but still accepts jobs under ids from before.
NO_STORE_GRACE_S = 2.0


class EntryDaemon:
    """An entry that runs in the caller's event loop.

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
        self._id_allocator = IdAllocator(
            settings.name,
            self.me.incarnation,
            secrets.token_bytes(SECRET_BYTES),
        )
        self._view_holder = ViewHolder(self.me)
        self._exchanger = RecordExchanger(
            self._view_holder, self._receive_preset
        )
        self._transferred_jobs = TransferredJobTable(settings.name)
        self._store = HttpStore(settings.store) if settings.store else None
        self.leaving = False
        self._members: tuple[Member, ...] = ()
        self._watcher: PresetWatcher | None = None

    async def start(self) -> None:
        """Serve agents and other entries and join the view.

        The HTTP interface is served by the caller.
        """
        self._driver: CoreDriver[EntryMessage, EntryEffect] = CoreDriver(
            self.core, self.clock, self._perform
        )
        self._streams = AgentStreams(self._driver.post, self.metrics)
        self.jobs = LocalJobs(
            self.core, self._driver, self.clock, self.metrics
        )
        router = Router(self._view_holder, self._id_allocator)
        self.peers = Peers(
            router,
            self._exchanger,
            self._transferred_jobs,
            self.jobs,
            self.clock,
        )
        self._membership = Membership(
            self._view_holder,
            router,
            self.peers,
            self._store,
            self.clock,
            self._on_members_changed,
        )
        await self._start_frame_server()
        self._membership.start(self.settings.peers)
        await self._follow_presets()

    async def stop(self) -> None:
        """Stop gracefully, within ``stop_within_s``.

        The entry leaves the view, so that no new id has its home here, and
        until then accepts jobs under ids that it allocated before. Then it
        refuses all submits, lets the running jobs end, and transfers the
        ended ones to a successor if it has left the view.
        """
        deadline = self.clock.now() + self.settings.stop_within_s
        self.leaving = True
        left = await self._leave_view(deadline)
        self._driver.post(StopRequested(deadline))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(deadline - self.clock.now()):
                await self.jobs.wait_idle()
        if left:
            await self._transfer_ended_jobs(deadline)

    async def close(self) -> None:
        """Close at once, without waiting for jobs."""
        if self._watcher is not None:
            await self._watcher.stop()
        await self._membership.close()
        self._driver.close()
        self.peers.close()
        self._server.close()
        self._streams.close()
        if self._store is not None:
            await self._store.close()

    def allocate_id(self) -> str | Refused:
        """Allocate a job id whose home is this entry.

        :return: a refusal once the entry is stopping.
        """
        if not self.leaving:
            return self._id_allocator.allocate(self.clock.now())
        return Refused(
            RefusalReason.STOPPING,
            "this entry is stopping; ask again, another one will answer",
            Step.ALLOCATE_ID,
            self.settings.name,
            self.clock.now(),
        )

    def allocate_single_id(self) -> str:
        """Allocate the id of a single request that has arrived here.

        While the entry leaves the view it still runs single requests, so it
        allocates these ids after :meth:`allocate_id` has begun to refuse.
        """
        return self._id_allocator.allocate(self.clock.now())

    def state(self) -> dict[str, float]:
        """Return the entry's gauges, for metrics and the status."""
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
        """Return the document of ``GET /v1/status``."""
        return {
            "name": self.settings.name,
            "build": BUILD,
            "zone": self.settings.zone,
            "incarnation": self.me.incarnation,
            "status": "stopping" if self.leaving else "serving",
            "entries": [m.name for m in self._members],
            "workers": self._show_workers(),
            "state": self.state(),
        }

    def preset(self) -> dict[str, Any] | None:
        """Return the adopted preset record; None before the first one."""
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

    async def _start_frame_server(self) -> None:
        self._peer_service = PeerService(self.peers)
        self._server = FrameServer(
            {
                SESSIONS_SERVICE: self._streams.accept,
                PEERS_SERVICE: self._peer_service.handler(),
            }
        )
        host, port = split_address(self.settings.rpc)
        await self._server.start(host, port)

    def observe_messages(self, observe: Callable[[object], None]) -> None:
        """Have a function called with each message of agents and entries."""
        self._streams.observe = observe
        self._peer_service.observe = observe

    def _on_members_changed(self, members: tuple[Member, ...]) -> None:
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
            self._watcher.receive_record(encoded)
        await self._watcher.start()

    def _receive_preset(self, encoded: bytes) -> None:
        """Pass a preset record that another entry sent to the watcher."""
        if self._watcher is not None:
            self._watcher.receive_record(encoded)

    def _adopt_preset(self, adopted: PresetAdopted) -> None:
        self._exchanger.adopt_preset(adopted.version, adopted.encoded)
        record = decode_record(adopted.encoded)
        preset = record.presets[record.active]
        self.core.configure(
            make_placement_config(preset), make_limit_config(preset)
        )
        self._driver.post(adopted)

    # Leaving.

    async def _leave_view(self, deadline: float) -> bool:
        """Leave the view.

        :param deadline: Unix seconds.
        :return: whether no new id has its home here any longer.
        """
        now = self.clock.now()
        if self._store is None:
            await asyncio.sleep(min(NO_STORE_GRACE_S, deadline - now))
            return False
        latest = min(deadline, now + LEAVE_TIMEOUT_S)
        return await self._membership.leave_view(latest)

    async def _transfer_ended_jobs(self, deadline: float) -> None:
        """Transfer the ended jobs to a successor and name it in the view.

        The view names it only if all jobs have arrived there: a successor
        answers that a job which it does not have never ran.
        """
        successor = choose_successor(self.me, self._members)
        transferred = successor is not None and await self.peers.transfer_jobs(
            successor,
            self.me.name,
            self.me.incarnation,
            self.jobs.list_ended(),
        )
        await self._membership.record_departure(
            successor if transferred else None, deadline
        )

    # Effects of the core.

    @singledispatchmethod
    def _perform(self, effect: EntryEffect) -> None:
        raise TypeError(f"unknown effect {type(effect).__name__}")

    @_perform.register
    def _(self, effect: SendToAgent) -> None:
        self._streams.send(effect)

    @_perform.register
    def _(self, effect: CloseSession) -> None:
        self._streams.close_session(effect)

    @_perform.register
    def _(self, effect: JobEnded) -> None:
        self.jobs.on_job_ended(effect)

    @_perform.register
    def _(self, effect: Decision) -> None:
        self.metrics.decisions[effect.action] += 1
        log_decision(effect)
