"""The agent beside a worker: its sockets and tasks."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import secrets
from collections.abc import Sequence
from typing import Protocol

from briarford.runs import (
    Attach,
    EntryMessage,
    ListingFailure,
    OrderResult,
    RunAgent,
    RunListing,
    WorkerReport,
)
from briarford.runs.agent import (
    AgentEffect,
    AgentEvent,
    PlaceOrder,
    SendToEntry,
    WithdrawRun,
)
from briarford.store import Store
from briarford_daemon.fleet.clock import BootClock
from briarford_daemon.fleet.driver import TurnDriver
from briarford_daemon.fleet.links import AgentLinks
from briarford_daemon.fleet.metrics import FleetMetrics
from briarford_daemon.fleet.registry import AgentRecord, Registration
from briarford_daemon.fleet.settings import FleetSettings
from briarford_daemon.fleet.tasks import OwnedTasks

__all__ = ["FleetAgent", "WorkerPort"]

EVENTS = logging.getLogger("briarford.decision")

LISTING_WAIT_S = 0.2  # renews a lease of one second five times
LISTING_RETRY_S = 0.05
# Two listings wait at any time, so that one lost answer delays no end.
WATCHERS = 2
WITHDRAW_RETRY_S = 0.1
STOP_POLL_S = 0.05
MS_PER_S = 1000
STOP_RESERVE_S = 0.7  # of a stop, for closing what is left


class WorkerPort(Protocol):
    """How an agent calls its worker."""

    async def start_run(
        self,
        worker: WorkerReport,
        order: PlaceOrder,
        token: int,
        lease_s: float,
    ) -> OrderResult:
        """Order a run."""

    async def stop_run(
        self, worker: WorkerReport, order: WithdrawRun, token: int
    ) -> bool:
        """Order a run to stop; False if there was no answer."""

    async def list_runs(
        self,
        worker: WorkerReport,
        acked_end: int,
        token: int,
        wait_s: float,
        lease_s: float,
    ) -> RunListing | ListingFailure:
        """Acknowledge ends and read the lists.

        :param wait_s: the answer may wait so long for an end.
        :param lease_s: for how long to extend the lease of the runs; 0 to
            leave it.
        """

    async def close(self) -> None:
        """Close the connections."""


class FleetAgent:
    """An agent process.

    :param cfg: its settings.
    :param store: the key-value service.
    :param port: how to call the worker.
    :param metrics: of this process.
    """

    def __init__(
        self,
        cfg: FleetSettings,
        store: Store,
        port: WorkerPort,
        metrics: FleetMetrics,
    ) -> None:
        self._cfg = cfg
        self._port = port
        self._clock = BootClock()
        self.core = RunAgent(cfg.name, secrets.token_hex(4))
        self._metrics = metrics
        metrics.expose(self.core.counts, self._state)
        self._token = 0
        self._fenced = False
        self._links = AgentLinks(self._attach, self._receive, self._closed)
        self._tasks = OwnedTasks()
        self._driver: TurnDriver[AgentEffect] | None = None
        self._registration = Registration(
            store,
            self._clock,
            cfg.name,
            self._record,
            self._recalled,
            self._registered,
        )
        self._reported = asyncio.Event()

    async def start(self) -> None:
        """Start serving entries and the worker."""
        self._driver = TurnDriver(self.core, self._clock, self._perform)
        await self._links.start(self._cfg.ip, self._cfg.rpc_port)
        self._tasks.spawn(self._registration.run())
        for number in range(WATCHERS):
            offset_s = number * LISTING_WAIT_S / WATCHERS
            self._tasks.spawn(self._watch_worker(offset_s))
        self._driver.wake()

    def apply(self, cfg: FleetSettings) -> None:
        """Take changed settings."""
        self._cfg = cfg

    async def stop(self) -> None:
        """Take no new runs, and let those in progress end.

        The registration stays until its lease lapses: the next process of
        this agent finds the worker in it.
        """
        self.core.stopping = True
        self._wake()
        deadline = self._clock.now() + self._cfg.stop_within_s - STOP_RESERVE_S
        await self._wait_until_drained(deadline)
        if self._driver is not None:
            self._driver.close()
        await self._tasks.cancel()
        await self._links.stop()
        await self._port.close()

    def _state(self) -> dict[str, float]:
        return self.core.state(self._clock.now())

    async def _wait_until_drained(self, deadline: float) -> None:
        while self._clock.now() < deadline:
            if self.core.drained():
                return
            await asyncio.sleep(STOP_POLL_S)

    def worker_reported(self, report: WorkerReport) -> None:
        """Take a heartbeat of the worker."""
        self.core.worker_reported(report, self._clock.now())
        self._reported.set()
        self._wake()

    def worker_left(self, worker: str) -> None:
        """Take the sign-off of a worker."""
        self.core.worker_left(worker, self._clock.now())
        self._wake()

    def _record(self) -> AgentRecord:
        worker = self.core.worker
        if worker is not None:
            worker = dataclasses.replace(worker, clock_ms=0, sequence=0)
        address = f"{self._cfg.ip}:{self._cfg.rpc_port}"
        return AgentRecord(address, worker, self.core.recorded_slowness)

    def _recalled(self, record: AgentRecord) -> None:
        if record.worker is not None:
            self.core.restore_worker(
                record.worker, record.slowness, self._clock.now()
            )
            self._reported.set()
            self._wake()

    def _registered(self, version: int) -> None:
        """Take the version of the record as the fencing token.

        A process keeps its token, so that its orders do not fence each
        other, until the worker has seen a higher one.
        """
        if not self._token or self._fenced:
            self._token = version
            self._fenced = False
        self.core.has_token = True
        self._wake()

    def _wake(self) -> None:
        if self._driver is not None:
            self._driver.wake()

    def _attach(self, link: int, msg: Attach) -> None:
        self.core.attach(link, msg, self._clock.now())
        self._wake()

    def _receive(self, link: int, messages: Sequence[EntryMessage]) -> None:
        now = self._clock.now()
        for msg in messages:
            self.core.handle(link, msg, now)
        self._wake()

    def _closed(self, link: int) -> None:
        self.core.link_closed(link)
        self._wake()

    def _perform(self, effect: AgentEffect) -> None:
        match effect:
            case SendToEntry():
                self._links.send(effect.link, effect.message)
            case PlaceOrder():
                self._tasks.spawn(self._place(effect))
            case WithdrawRun():
                self._tasks.spawn(self._withdraw(effect))
            case AgentEvent():
                EVENTS.info(effect.action, extra=effect.fields)
                if effect.action == "run-ended":
                    ran_s = effect.fields["ran_ms"] / MS_PER_S
                    self._metrics.run_seconds(effect.fields["how"], ran_s)

    async def _place(self, order: PlaceOrder) -> None:
        worker = self.core.worker
        if worker is None:
            return
        now = self._clock.now()
        lease_s = self.core.lease_s(now)
        self.core.lease_extended(lease_s, now)
        result = await self._port.start_run(
            worker, order, self._token, lease_s
        )
        if result is OrderResult.FENCED:
            self._fenced = True
            self._registration.renew_version()
        self.core.order_answered(order.key, result, self._clock.now())
        self._wake()

    async def _withdraw(self, order: WithdrawRun) -> None:
        while (worker := self.core.worker) is not None:
            if await self._port.stop_run(worker, order, self._token):
                self.core.stop_answered(order.key, self._clock.now())
                self._wake()
                await self._list_runs(0.0)  # shows whether it ran at all
                return
            if not self.core.is_open(order.key):
                return
            await asyncio.sleep(WITHDRAW_RETRY_S)

    async def _watch_worker(self, offset_s: float) -> None:
        """Renew the lease of the runs and read the lists, again and again."""
        await asyncio.sleep(offset_s)
        while True:
            if self.core.worker is None or not self.core.has_token:
                await self._wait_for_report()
            elif not await self._list_runs(LISTING_WAIT_S):
                await asyncio.sleep(LISTING_RETRY_S)

    async def _wait_for_report(self) -> None:
        self._reported.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LISTING_WAIT_S):
                await self._reported.wait()

    async def _list_runs(self, wait_s: float) -> bool:
        """Ask the worker for its lists once; False without an answer."""
        worker = self.core.worker
        if worker is None:
            return False
        asked_at = self._clock.now()
        lease_s = self.core.lease_s(asked_at)
        if lease_s:
            self.core.lease_extended(lease_s, asked_at)
        listing = await self._port.list_runs(
            worker,
            self.core.acked_end,
            self._token,
            wait_s if self.core.reconciled else 0.0,
            lease_s,
        )
        if listing is ListingFailure.REFUSED:
            self.core.worker_refused(self._clock.now())
            self._wake()
        if isinstance(listing, ListingFailure):
            return False
        self.core.listing_received(listing, asked_at, self._clock.now())
        self._wake()
        return True
