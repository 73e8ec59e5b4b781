"""The agent process beside a worker.

Passes the messages of entries and the answers of the worker to the core
(:class:`briarford.runs.RunAgent`), and performs what the core decides.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec.structs

from briarford.runs import (
    Attach,
    EntryMessage,
    ListingFailure,
    OrderResult,
    RunAgent,
    RunListing,
    WorkerReport,
)
from briarford.runs.contact import LISTING_WAIT_S
from briarford.runs.effects import (
    AgentEffect,
    AgentEvent,
    PlaceOrder,
    RaiseToken,
    SendToEntry,
    WithdrawRun,
)
from briarford.store import ChangeStore
from briarford_daemon.fleet.clock import BootClock
from briarford_daemon.fleet.driver import TurnDriver
from briarford_daemon.fleet.evacuations import (
    EvacuationFollower,
    EvacuationSource,
    watch_evacuations,
)
from briarford_daemon.fleet.events import log_event
from briarford_daemon.fleet.links import AgentLinks
from briarford_daemon.fleet.metrics import FleetMetrics
from briarford_daemon.fleet.prefix_watch import PrefixWatch
from briarford_daemon.fleet.registry import AgentRecord, AgentRegistration
from briarford_daemon.fleet.settings import FleetSettings
from briarford_daemon.fleet.tasks import BackgroundTasks
from briarford_daemon.intake import Intake

__all__ = ["FleetAgent", "WorkerApi"]

EVENTS = logging.getLogger("briarford.decision")

# Between requests for run listings to a worker that does not answer: twice as
# long after each one. A heartbeat of the worker ends the pause.
LISTING_RETRY_DELAY_S = 0.05
MAX_LISTING_RETRY_DELAY_S = 0.2
# If an answer is this late, it was lost or the worker is unresponsive. A
# hedged request, which the worker answers at once, shows which of the two.
# Without an answer a worker soon gets no runs.
HEDGE_DELAY_S = 0.03
TOKEN_WAIT_S = 0.2
# Runs of one job end within milliseconds; the next request waits for them,
# so that one answer reports them all.
END_BATCH_S = 0.004
# Between orders to stop a run, unless one takes longer.
WITHDRAW_PERIOD_S = 0.1
# Orders to stop a run at the same time. All of a worker's runs may have to be
# stopped at once; listings and other orders need connections meanwhile.
MAX_STOPS = 4
DRAIN_POLL_PERIOD_S = 0.05
MS_PER_S = 1000
# Part of ``stop_within_s`` that is kept for closing the connections.
STOP_RESERVE_S = 0.7


class WorkerApi(Protocol):
    """Calls that an agent makes to its worker.

    The adapter of the platform implements them.
    """

    async def start_run(
        self,
        worker: WorkerReport,
        order: PlaceOrder,
        token: int,
        lease_until: float,
        is_due: Callable[[], bool],
    ) -> OrderResult:
        """Order the worker to start a run.

        :param worker: the last heartbeat of the worker.
        :param order: the run.
        :param token: the agent's fencing token; the worker refuses orders
            with a lower one than it has seen.
        :param lease_until: when the lease of the run has ended, in Unix
            seconds.
        :param is_due: called right before the order is sent; if false it is
            not, and counts as expired.
        """

    async def stop_run(
        self, worker: WorkerReport, order: WithdrawRun, token: int
    ) -> bool:
        """Order the worker to stop a run; False if it did not confirm."""

    async def list_runs(
        self,
        worker: WorkerReport,
        acked_end: int,
        token: int,
        wait_s: float,
        lease_until: float,
    ) -> RunListing | ListingFailure:
        """Acknowledge ended runs and read the run listing.

        :param worker: the last heartbeat of the worker.
        :param acked_end: number of the last ended run to acknowledge.
        :param token: the agent's fencing token.
        :param wait_s: seconds that the worker may wait for a run to end
            before it answers.
        :param lease_until: when the lease of the runs has ended, in Unix
            seconds; 0 to leave it as it is.
        """

    async def close(self) -> None:
        """Close the connections."""


class FleetAgent:
    """An agent that serves entries and controls the runs on its worker.

    It registers itself in the key-value service, where entries find its
    address.

    :param cfg: settings of the process.
    :param store: client of the key-value service.
    :param worker_api: client that calls the worker.
    :param metrics: metrics of the process.
    :param evacuations: the keys of the operators' requests to evacuate zones;
        used if the settings enable evacuations.
    :param intake: bounds the connections of entries; None for no bounds.
    :param clock: the clock by which ``worker_api`` reads the ends of leases
        and calls; None if it reads none.
    """

    def __init__(
        self,
        cfg: FleetSettings,
        store: ChangeStore,
        worker_api: WorkerApi,
        metrics: FleetMetrics,
        evacuations: EvacuationSource | None = None,
        intake: Intake | None = None,
        clock: BootClock | None = None,
    ) -> None:
        self._cfg = cfg
        self._worker_api = worker_api
        self._clock = clock or BootClock()
        self.core = RunAgent(cfg.name, os.urandom(4).hex())
        self._metrics = metrics
        metrics.set_sources(self.core.counts, self._state)
        self._fencing_token = 0
        self._token_outdated = False
        self._polled_at = 0.0
        self._polled_wait_s = 0.0
        self._poll_given_up = False
        self._poll_limit: asyncio.Timeout | None = None
        self._listed_at = 0.0
        self._verifying = False
        self._stop_slots = asyncio.Semaphore(MAX_STOPS)
        self._links = AgentLinks(
            self._on_attach, self._on_messages, self._on_link_closed, intake
        )
        self._tasks = BackgroundTasks()
        self._driver: TurnDriver[AgentEffect] | None = None
        self._registration = AgentRegistration(
            store,
            self._clock,
            cfg.name,
            self._make_record,
            self._on_record_found,
            self._on_registered,
            self._on_replaced,
        )
        self._worker_changed = asyncio.Event()
        self._evacuations: PrefixWatch | None = None
        if evacuations is not None and cfg.evacuations:
            self.core.evacuations.enabled = True
            follower = EvacuationFollower(
                evacuations, self.core.evacuations, self._clock, self._wake
            )
            self._evacuations = watch_evacuations(
                store, self._clock, evacuations, follower
            )

    async def start(self) -> None:
        """Listen for entries, register, and begin to poll the worker."""
        self._driver = TurnDriver(self.core, self._clock, self._perform)
        await self._links.start(self._cfg.ip, self._cfg.rpc_port)
        self._tasks.keep_running(self._registration.run)
        if self._evacuations is not None:
            self._tasks.keep_running(self._evacuations.run)
        self._tasks.keep_running(self._poll_run_listings)
        self._tasks.keep_running(self._hedge_run_listings)
        self._driver.wake()

    def apply_settings(self, cfg: FleetSettings) -> None:
        """Use reloaded settings from now on."""
        self._cfg = cfg

    async def stop(self) -> None:
        """Accept no new runs, wait for those in progress, and close.

        The record in the key-value service stays until its lease expires: the
        next process of this agent reads the worker from it.
        """
        self.core.stopping = True
        self._wake()
        deadline = self._clock.now() + self._cfg.stop_within_s - STOP_RESERVE_S
        await self._wait_until_drained(deadline)
        if self._driver is not None:
            self._driver.close()
        await self._tasks.cancel()
        await self._links.stop()
        await self._worker_api.close()

    def _state(self) -> dict[str, float]:
        now = self._clock.now()
        return {**self.core.state(now), **self.core.evacuations.state(now)}

    async def _wait_until_drained(self, deadline: float) -> None:
        while self._clock.now() < deadline:
            if self.core.drained():
                return
            await asyncio.sleep(DRAIN_POLL_PERIOD_S)

    @property
    def now(self) -> float:
        """The time by the clock of the process, in Unix seconds."""
        return self._clock.now()

    def worker_reported(self, report: WorkerReport) -> None:
        """Pass a heartbeat of the worker to the core.

        That it drains, or that its capacity has shrunk, is stored at once:
        another process of this agent, which may follow before the next
        heartbeat, must not use what the worker no longer offers.
        """
        previous = self.core.worker
        self.core.worker_reported(report, self._clock.now())
        if self.core.worker is report and _offers_less(report, previous):
            self._registration.record_changed()
        if self.core.has_pending_claim and not self._verifying:
            self._verifying = True
            self._tasks.spawn(self._verify_worker())
        self._worker_changed.set()
        self._wake()

    async def _verify_worker(self) -> None:
        """See at once whether the worker answers, as a claim is pending.

        The first request may meet a connection that has ended, so the second
        one follows without a pause.
        """
        pause_s = 0.0
        try:
            while self.core.has_pending_claim and self.core.has_token:
                if await self._list_runs(0.0) is None:
                    await asyncio.sleep(pause_s)
                    pause_s = LISTING_RETRY_DELAY_S
        finally:
            self._verifying = False
        self._worker_changed.set()

    def worker_left(self, worker: str) -> None:
        """Pass the announcement of a worker that it leaves to the core.

        :param worker: id of the worker.
        """
        self.core.worker_left(worker, self._clock.now())
        self._registration.record_changed()
        self._wake()

    def _make_record(self) -> AgentRecord:
        """Return the record to store for entries and for the next process.

        It has no clock, no sequence number and no time of leaving, which
        change with every heartbeat: the record would be written at each
        renewal.
        """
        worker = self.core.worker
        if worker is not None:
            worker = msgspec.structs.replace(
                worker, clock_ms=0, sequence=0, leaves_at=0.0
            )
        address = f"{self._cfg.ip}:{self._cfg.rpc_port}"
        return AgentRecord(
            address,
            worker,
            self.core.recorded_slowness,
            self.core.incarnation,
        )

    def _on_record_found(self, record: AgentRecord) -> None:
        """Restore the worker that a previous process has stored."""
        if record.worker is not None:
            self.core.restore_worker(
                record.worker, record.slowness, self._clock.now()
            )
            self._worker_changed.set()
            self._wake()

    def _on_registered(self, version: int) -> None:
        """Use the version of the written record as the fencing token.

        The version rises with each write, but a process keeps its first
        token: if a later order had a higher one, the worker would refuse an
        earlier order of this process that arrives after it. The token is
        replaced only once the worker has refused it because of a higher one,
        or has restarted: it shall refuse orders to its previous incarnation.
        """
        if not self._fencing_token or self._token_outdated:
            self._fencing_token = version
            self._token_outdated = False
            self.core.token_raised()
        self.core.has_token = True
        self._worker_changed.set()
        self._wake()

    def _on_replaced(self) -> None:
        """Leave the worker to the later process of this agent.

        It orders nothing more until it is registered again; the runs that it
        has ordered end with their leases.
        """
        self._token_outdated = True
        self.core.has_token = False
        self._wake()

    def _wake(self) -> None:
        if self._driver is not None:
            self._driver.wake()

    def _on_attach(self, link: int, msg: Attach) -> None:
        self.core.attach(link, msg, self._clock.now())
        self._wake()

    def _on_messages(
        self, link: int, messages: Sequence[EntryMessage]
    ) -> None:
        now = self._clock.now()
        for msg in messages:
            try:
                self.core.handle(link, msg, now)
            except Exception:
                # An order that is not known here counts as lost for its
                # entry on the next connection.
                EVENTS.exception(
                    "message-failed", extra={"kind": type(msg).__name__}
                )
        if self.core.needs_turn(now):
            self._wake()

    def _on_link_closed(self, link: int) -> None:
        self.core.link_closed(link)
        self._wake()

    def _perform(self, effect: AgentEffect) -> None:
        match effect:
            case SendToEntry():
                self._links.send(effect.link, effect.message)
            case PlaceOrder():
                self._tasks.spawn(self._place_run(effect))
            case WithdrawRun():
                self._tasks.spawn(self._withdraw_run(effect))
            case RaiseToken():
                self._raise_token()
            case AgentEvent():
                log_event(effect.action, effect.fields)
                if effect.action == "run-ended":
                    ran_s = effect.fields["ran_ms"] / MS_PER_S
                    self._metrics.observe_run(effect.fields["how"], ran_s)

    def _raise_token(self) -> None:
        """Have the record written again, which gives a higher token."""
        self._token_outdated = True
        self._registration.request_new_version()

    async def _place_run(self, order: PlaceOrder) -> None:
        """Order the worker to start a run, and report the answer.

        If the worker refuses the fencing token, the record is written again,
        which gives a higher one.
        """
        worker = self.core.worker
        if worker is None:
            return
        lease_until = self.core.lease_until(self._clock.now())
        self.core.lease_extended(lease_until)
        result = OrderResult.NOT_SENT
        try:
            if lease_until:
                result = await self._worker_api.start_run(
                    worker,
                    order,
                    self._fencing_token,
                    lease_until,
                    lambda: self.core.is_due(order, self._clock.now()),
                )
        except Exception:
            # The order may have been sent, so the run is withdrawn.
            EVENTS.exception("order-failed", extra={"task": order.task})
            result = OrderResult.UNANSWERED
        if result is OrderResult.FENCED:
            self._raise_token()
        now = self._clock.now()
        self.core.order_answered(order.key, result, now)
        if self.core.needs_turn(now):
            self._wake()

    async def _withdraw_run(self, order: WithdrawRun) -> None:
        """Repeat the order to stop a run until the worker confirms it.

        Pauses while the worker does not answer: its lease is not renewed
        then. Gives up if there is no worker any more, if the run has
        certainly ended, or if another process of this agent has taken over.
        """
        while True:
            async with self._stop_slots:
                worker, now = self.core.worker, self._clock.now()
                if worker is None or not self.core.has_token:
                    return
                if order.key and not self.core.needs_withdrawal(order.key):
                    return
                retry_at = now + WITHDRAW_PERIOD_S
                answers = self.core.may_extend_lease(now)
                is_confirmed = answers and await self._confirm_stop(
                    worker, order
                )
            if is_confirmed:
                self.core.stop_answered(order.key, self._clock.now())
                self._wake()
                # Only the run listing shows whether the run had started.
                if not order.key or self.core.needs_withdrawal(order.key):
                    await self._list_runs(0.0)
                return
            if not order.key:
                return
            await asyncio.sleep(max(0.0, retry_at - self._clock.now()))

    async def _confirm_stop(
        self, worker: WorkerReport, order: WithdrawRun
    ) -> bool:
        """Order the worker once to stop a run; False if not confirmed."""
        try:
            return await self._worker_api.stop_run(
                worker, order, self._fencing_token
            )
        except Exception:
            EVENTS.exception("stop-failed", extra={"task": order.task})
            return False

    async def _poll_run_listings(self) -> None:
        """Read the run listing in a loop, which also renews the lease.

        Waits for a heartbeat, the stored record or the fencing token while
        the worker or the token is unknown, and also after a worker has not
        answered: a heartbeat may report another one.
        """
        retry_delay_s = LISTING_RETRY_DELAY_S
        while True:
            self._worker_changed.clear()
            if self.core.worker is None or not self.core.has_token:
                await self._wait_for_change(TOKEN_WAIT_S)
                continue
            self._polled_at = self._clock.now()
            self._polled_wait_s = self.core.listing_wait_s(self._polled_at)
            listing = await self._poll_once(self._polled_wait_s)
            if listing is None:
                if self._poll_given_up:
                    continue
                await self._wait_for_change(retry_delay_s)
                retry_delay_s = min(
                    MAX_LISTING_RETRY_DELAY_S, 2 * retry_delay_s
                )
                continue
            retry_delay_s = LISTING_RETRY_DELAY_S
            if listing.ended:
                await asyncio.sleep(END_BATCH_S)

    async def _poll_once(self, wait_s: float) -> RunListing | None:
        """Read the run listing, and give up early where answers get lost.

        That is where the worker is asked often, or once a hedged request has
        been answered.

        :param wait_s: seconds that the worker may wait for a run to end.
        """
        early = wait_s < LISTING_WAIT_S
        limit = asyncio.timeout(wait_s + HEDGE_DELAY_S if early else None)
        was_given_up, self._poll_given_up = self._poll_given_up, False
        try:
            async with limit:
                self._poll_limit = limit
                listing = await self._list_runs(wait_s)
        except TimeoutError:
            self._poll_given_up = True
            return None
        finally:
            self._poll_limit = None
        if listing is not None and was_given_up:
            self.core.listing_lost(self._clock.now())
        return listing

    async def _hedge_run_listings(self) -> None:
        """Request the run listing again when an answer is late.

        Otherwise an ended run would be unknown until the lost answer's call
        has timed out.
        """
        while True:
            now = self._clock.now()
            hedge_after_s = self._polled_wait_s + HEDGE_DELAY_S
            late_at = max(self._polled_at, self._listed_at) + hedge_after_s
            if now < late_at:
                await asyncio.sleep(late_at - now)
            elif self.core.worker is None or not self.core.has_token:
                await asyncio.sleep(TOKEN_WAIT_S)
            elif await self._list_runs(0.0) is None:
                await asyncio.sleep(MAX_LISTING_RETRY_DELAY_S)
            else:
                self.core.listing_lost(self._clock.now())
                limit = self._poll_limit
                if limit is not None and not limit.expired():
                    limit.reschedule(asyncio.get_running_loop().time())

    async def _wait_for_change(self, longest_s: float) -> None:
        """Wait until the worker or the token has changed, but not long."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(longest_s):
                await self._worker_changed.wait()

    async def _list_runs(self, wait_s: float) -> RunListing | None:
        """Read the run listing of the worker once and pass it to the core.

        :param wait_s: seconds that the worker may wait for a run to end; 0
            is used until all its runs are known to be of this agent.
        :return: the listing; None if the worker has not sent it.
        """
        worker = self.core.worker
        if worker is None:
            return None
        requested_at = self._clock.now()
        lease_until = self.core.lease_until(requested_at)
        self.core.lease_extended(lease_until)
        try:
            listing = await self._worker_api.list_runs(
                worker,
                self.core.acked_end,
                self._fencing_token,
                wait_s if self.core.reconciled else 0.0,
                lease_until,
            )
        except Exception:
            self.core.listing_failed(self._clock.now())
            raise
        if _called_instance(worker) != _called_instance(self.core.worker):
            return None  # the worker has been replaced meanwhile
        if isinstance(listing, ListingFailure):
            self._listing_failed(listing, requested_at)
            return None
        self._listed_at = self._clock.now()
        self.core.listing_received(listing, requested_at, self._listed_at)
        self._wake()
        return listing

    def _listing_failed(
        self, failure: ListingFailure, requested_at: float
    ) -> None:
        """Pass the failure of a request for a run listing to the core."""
        now = self._clock.now()
        match failure:
            case ListingFailure.REFUSED:
                self.core.worker_refused(now)
            case ListingFailure.OTHER_INSTANCE:
                self.core.worker_misdirected(now)
            case ListingFailure.RESET:
                self.core.connection_reset(requested_at, now)
            case ListingFailure.UNANSWERED:
                self.core.listing_failed(now)
        self._wake()


def _called_instance(worker: WorkerReport | None) -> tuple[str, str] | None:
    """Return what a call to a worker is addressed to."""
    return None if worker is None else (worker.worker, worker.address)


def _offers_less(report: WorkerReport, previous: WorkerReport | None) -> bool:
    """Whether a worker drains, or has less capacity, than it reported last."""
    if previous is None:
        return report.draining
    if report.draining and not previous.draining:
        return True
    now, before = report.capacity, previous.capacity
    return (
        now.cpu < before.cpu
        or now.memory_mb < before.memory_mb
        or now.gpu < before.gpu
    )
