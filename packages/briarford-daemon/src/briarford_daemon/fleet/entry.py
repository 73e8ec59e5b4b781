"""The entry process, which serves clients.

Passes the requests of clients and the messages of agents to the core
(:class:`briarford.requests.Dispatcher`), and performs what the core decides.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import os
from collections.abc import Sequence
from typing import Protocol

from briarford.outcomes import Outcome
from briarford.requests import (
    CancelConfirmed,
    DialAgent,
    Dispatcher,
    DropLink,
    EntryEvent,
    JobEnded,
    JobRequest,
    SendToAgent,
)
from briarford.requests.effects import EntryEffect
from briarford.routes import Configuration, ConfigurationHolder, Route
from briarford.runs import AgentAddress, AgentMessage
from briarford.store import ChangeStore, KeyValue
from briarford_daemon.fleet.clock import BootClock
from briarford_daemon.fleet.driver import TurnDriver
from briarford_daemon.fleet.evacuations import (
    EvacuationFollower,
    EvacuationSource,
)
from briarford_daemon.fleet.events import log_event
from briarford_daemon.fleet.key_watch import KeyWatch
from briarford_daemon.fleet.links import EntryLinks
from briarford_daemon.fleet.metrics import FleetMetrics
from briarford_daemon.fleet.registry import AgentDirectory
from briarford_daemon.fleet.settings import FleetSettings
from briarford_daemon.fleet.tasks import BackgroundTasks
from briarford_daemon.http_connection import RequestLimits

__all__ = ["ConfigurationSource", "FleetEntry"]

EVENTS = logging.getLogger("briarford.decision")

# Four messages between processes take some milliseconds, and each of them up
# to a tenth of a second while its receiver is busy.
CANCEL_TIMEOUT_S = 0.5
DRAIN_POLL_PERIOD_S = 0.05
# Part of ``stop_within_s`` that is kept for closing the connections.
STOP_RESERVE_S = 0.6
# The load balancer sends requests until two checks, one second apart, have
# shown that the entry is not ready.
MIN_DRAIN_S = 2.6


class ConfigurationSource(Protocol):
    """Where the operators keep the configuration.

    The adapter of the platform implements it.
    """

    key: str

    def decode(self, value: bytes) -> Configuration | None:
        """Decode the value of the key; None if that is not possible."""


class FleetEntry:
    """An entry that accepts jobs and has agents run their tasks.

    It reads the registered agents and the configuration from the key-value
    service.

    :param cfg: settings of the process.
    :param store: client of the key-value service.
    :param source: the key of the operators' configuration.
    :param metrics: metrics of the process.
    :param evacuations: the keys of the operators' requests to evacuate zones;
        used if the settings enable evacuations.
    :param limits: on requests of clients; raised if the configuration has
        larger ones.
    """

    def __init__(
        self,
        cfg: FleetSettings,
        store: ChangeStore,
        source: ConfigurationSource,
        metrics: FleetMetrics,
        evacuations: EvacuationSource | None = None,
        limits: RequestLimits | None = None,
    ) -> None:
        self._cfg = cfg
        self._source = source
        self._limits = limits
        self.clock = BootClock()
        zone = cfg.zone if cfg.prefer_own_zone else ""
        self.core = Dispatcher(
            cfg.name,
            os.urandom(4).hex(),
            zone,
            cfg.machine.job_bytes(cfg.intake),
        )
        self._max_waiting = cfg.machine.waiting_requests(cfg.intake)
        self._waiting = 0  # requests that wait for an outcome
        self.routes = ConfigurationHolder()
        self._metrics = metrics
        metrics.set_sources(
            self.core.counts, self._state, self.core.by_priority
        )
        self.stopping = False
        self._configuration_read_at = 0.0
        # Set once a configuration is in force, or cannot be read.
        self._configuration_settled = asyncio.Event()
        self._links = EntryLinks(
            self._on_link_open, self._on_messages, self._on_link_closed
        )
        self._directory = AgentDirectory(
            store, self.clock, self._on_agents_listed
        )
        self._configuration = self._watch_configuration(store, evacuations)
        self._tasks = BackgroundTasks()
        # By number of the job's admission.
        self._waiters: dict[int, list[asyncio.Future[Outcome]]] = {}
        self._cancels: dict[str, asyncio.Future[None]] = {}
        self._driver: TurnDriver[EntryEffect] | None = None

    def _watch_configuration(
        self, store: ChangeStore, evacuations: EvacuationSource | None
    ) -> KeyWatch:
        """Return the watch of the configuration, and of evacuations if any.

        One watch serves both, so that evacuations cost no further calls.
        """
        key, on_read = self._source.key, self._on_configuration_read
        if evacuations is None or not self._cfg.evacuations:
            return KeyWatch(
                store,
                self.clock,
                key,
                on_read,
                on_failure=self._configuration_settled.set,
            )
        self.core.evacuations.enabled = True
        follower = EvacuationFollower(
            evacuations, self.core.evacuations, self.clock, self._wake
        )
        return KeyWatch(
            store,
            self.clock,
            key,
            on_read,
            evacuations.common_prefix,
            (follower,),
            self._configuration_settled.set,
        )

    async def start(self) -> None:
        """Begin to follow the configuration and the registered agents."""
        self._driver = TurnDriver(self.core, self.clock, self._perform)
        self._tasks.keep_running(self._directory.run)
        self._tasks.keep_running(self._configuration.run)
        self._driver.wake()

    async def wait_until_configured(self, longest_s: float) -> None:
        """Wait until a configuration is in force, but not long.

        Requests that arrive before it would be refused. The wait ends as well
        once the store has failed twice in a row: it may be down for seconds.

        :param longest_s: longest wait in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(longest_s):
                await self._configuration_settled.wait()

    def apply_settings(self, cfg: FleetSettings) -> None:
        """Use reloaded settings from now on."""
        self._cfg = cfg

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send new connections here."""
        has_routes = self.routes.current is not None
        return has_routes and not self.stopping and self.core.can_place

    def _state(self) -> dict[str, float]:
        now = self.clock.now()
        cfg = self.routes.current
        return {
            **self.core.state(now),
            **self.core.evacuations.state(now),
            "ready": float(self.ready),
            "configuration_version": cfg.version if cfg is not None else 0,
            "configuration_read_age_s": now - self._configuration_read_at,
        }

    async def drain(self) -> None:
        """Report not ready, and wait until the accepted jobs have ended.

        Returns once no job is open and the load balancer has stopped sending
        requests, or at the end of ``stop_within_s`` less a reserve. Jobs that
        are open then get an outcome that asks their clients to repeat them.
        """
        self.stopping = True
        now = self.clock.now()
        stop_by = now + self._cfg.stop_within_s - STOP_RESERVE_S
        self.core.stop_by(stop_by)
        while self.clock.now() < stop_by:
            await asyncio.sleep(DRAIN_POLL_PERIOD_S)
            min_drain_over = self.clock.now() >= now + MIN_DRAIN_S
            if min_drain_over and not self.core.open_jobs:
                return
        EVENTS.info("drain-ended", extra={"open_jobs": self.core.open_jobs})
        self.core.end_open_jobs(self.clock.now())
        self._wake()

    async def stop(self) -> None:
        """Close all connections to agents."""
        if self._driver is not None:
            self._driver.close()
        await self._tasks.cancel()
        await self._links.stop()

    async def submit(
        self,
        request: JobRequest,
        route: Route,
        deadline: float = math.inf,
    ) -> Outcome:
        """Submit a job and wait for its outcome.

        A repeated request joins the job that was submitted first.

        :param route: the route that the request matched.
        :param deadline: when its client stops waiting, in Unix seconds.
        """
        submitted_at = self.clock.now()
        outcome = None
        if self._waiting >= self._max_waiting:
            outcome = self.core.make_room(request.job, submitted_at)
        if outcome is None:
            outcome = self.core.submit(request, route, submitted_at, deadline)
        self._wake()
        if outcome is not None:
            return outcome
        number = self.core.number_of(request.job)
        waiters = self._waiters.setdefault(number, [])
        if len(waiters) >= self._cfg.intake.max_repeats:
            return self.core.refuse_repeat(request.job, submitted_at)
        fut: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        waiters.append(fut)
        self._waiting += 1
        try:
            return await fut
        finally:
            self._waiting -= 1
            self._metrics.observe_job(
                route.name, self.clock.now() - submitted_at
            )
            self._remove_waiter(request.job, number, fut)

    def _remove_waiter(
        self, job: str, number: int, fut: asyncio.Future[Outcome]
    ) -> None:
        """Stop waiting for a job; cancel it if no other request waits."""
        waiters = self._waiters.get(number, [])
        if fut in waiters:
            waiters.remove(fut)
        if waiters or self._waiters.pop(number, None) is None:
            return
        if self.core.number_of(job) == number:
            self.core.cancel(job, self.clock.now())
            self._wake()

    def cancel(self, job: str) -> bool:
        """Cancel a job; False if no open job has this id.

        :param job: id of the job.
        """
        cancelled = self.core.cancel(job, self.clock.now())
        self._wake()
        return cancelled

    async def cancel_elsewhere(self, job: str) -> bool:
        """Have the entry that has a job cancel it.

        The answer comes within ``CANCEL_TIMEOUT_S``.

        :param job: id of a job that is not open here.
        :return: False if no entry has confirmed it in time.
        """
        if not self.core.forward_cancel(job, self.clock.now()):
            self._wake()
            return False
        self._wake()
        loop = asyncio.get_running_loop()
        fut = self._cancels.setdefault(job, loop.create_future())
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                await asyncio.shield(fut)
        except TimeoutError:
            EVENTS.info("cancel-unanswered", extra={"job": job})
            if self._cancels.get(job) is fut:
                del self._cancels[job]
            return False
        return True

    def _wake(self) -> None:
        if self._driver is not None:
            self._driver.wake()

    def _on_link_open(self, agent: str, link: int) -> None:
        self.core.link_up(agent, link, self.clock.now())
        self._wake()

    def _on_link_closed(self, agent: str, link: int | None) -> None:
        self.core.link_down(agent, link, self.clock.now())
        self._wake()

    def _on_messages(
        self, link: int, messages: Sequence[AgentMessage]
    ) -> None:
        now = self.clock.now()
        for msg in messages:
            try:
                self.core.handle(link, msg, now)
            except Exception:
                # Ends of runs are sent again on the next connection.
                EVENTS.exception(
                    "message-failed", extra={"kind": type(msg).__name__}
                )
        if self.core.needs_turn(now):
            self._wake()

    def _on_agents_listed(self, directory: dict[str, AgentAddress]) -> None:
        self.core.agents_listed(directory, self.clock.now())
        self._wake()

    def _perform(self, effect: EntryEffect) -> None:
        match effect:
            case SendToAgent():
                self._links.send(effect.link, effect.message)
            case DialAgent():
                self._links.dial(effect.agent, effect.address)
            case DropLink():
                self._links.drop(effect.link)
            case JobEnded():
                for fut in self._waiters.pop(effect.number, ()):
                    if not fut.done():
                        fut.set_result(effect.outcome)
            case CancelConfirmed():
                waiting = self._cancels.pop(effect.job, None)
                if waiting is not None and not waiting.done():
                    waiting.set_result(None)
            case EntryEvent():
                log_event(effect.action, effect.fields)

    def _on_configuration_read(self, item: KeyValue | None) -> None:
        """Put a configuration that was read in force if it is newer."""
        self._configuration_read_at = self.clock.now()
        cfg = self._source.decode(item.value) if item is not None else None
        if cfg is not None and self.routes.adopt_if_newer(
            cfg, self.clock.now()
        ):
            self._configuration_settled.set()
            self._apply_request_limits(cfg)
            EVENTS.info(
                "configuration-in-force",
                extra={"version": cfg.version, "routes": len(cfg.routes)},
            )

    def _apply_request_limits(self, cfg: Configuration) -> None:
        """Serve requests as large as the configuration allows."""
        if self._limits is None:
            return
        own = self._cfg.intake
        self._limits.max_head_bytes = max(
            own.max_head_bytes, cfg.max_head_bytes
        )
        self._limits.max_body_bytes = max(
            own.max_body_bytes, cfg.max_body_bytes
        )
