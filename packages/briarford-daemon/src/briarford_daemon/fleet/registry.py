"""Keeps a process registered in the store, and reads who is registered."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from briarford.exceptions import StoreError
from briarford.runs import AgentAddress, WorkerReport
from briarford.store import KeyListing, Store
from briarford_daemon.fleet.clock import BootClock

__all__ = [
    "AGENTS_PREFIX",
    "AgentDirectory",
    "AgentRecord",
    "AgentRegistration",
]

LOGGER = logging.getLogger("briarford.registry")

AGENTS_PREFIX = "agents/"
# An entry keeps the agents that it knows for longer than this.
REGISTRATION_TTL_S = 5.0
RENEW_PERIOD_S = 1.5
RETRY_DELAY_S = 0.3
CALL_TIMEOUT_S = 0.8  # a call takes 4 ms; slow spells take 50 times as long
# After a common start agents register within the first seconds.
STARTUP_S = 3.0
STARTUP_POLL_PERIOD_S = 0.1
POLL_PERIOD_S = 0.5  # members and configuration are needed within two seconds


class AgentRecord(msgspec.Struct, frozen=True):
    """What is stored of an agent.

    :param address: where entries reach it.
    :param worker: its worker, so that the next process of the agent need not
        wait for a heartbeat; without the clock and the sequence number.
    :param slowness: time of runs there as a multiple of estimates.
    """

    address: str
    worker: WorkerReport | None = None
    slowness: float = 1.0


class AgentRegistration:
    """An agent's key with a lease, restored whenever it is missing.

    :param store: the key-value service.
    :param name: name of the agent.
    :param make_record: returns what is to be stored.
    :param on_record_found: is told what a former process has stored.
    :param on_registered: is told the version of the key once it is written.
    """

    def __init__(
        self,
        store: Store,
        clock: BootClock,
        name: str,
        make_record: Callable[[], AgentRecord],
        on_record_found: Callable[[AgentRecord], None],
        on_registered: Callable[[int], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._key = AGENTS_PREFIX + name
        self._make_record = make_record
        self._on_record_found = on_record_found
        self._on_registered = on_registered
        self._lease = ""
        self._version_outdated = False

    def request_new_version(self) -> None:
        """Have the key written again, which gives it a higher version."""
        self._version_outdated = True

    async def run(self) -> None:
        """Keep the key until cancelled."""
        store_reachable = True
        while True:
            try:
                await self._renew()
            except StoreError as exc:
                if store_reachable:
                    LOGGER.warning("store-lost", extra={"error": exc.message})
                store_reachable = False
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if not store_reachable:
                LOGGER.info("store-regained")
            store_reachable = True
            await asyncio.sleep(RENEW_PERIOD_S)

    def _deadline(self) -> float:
        return self._clock.now() + CALL_TIMEOUT_S

    async def _renew(self) -> None:
        """Renew the lease, and write the key if it is not there."""
        if self._lease and not await self._store.renew_lease(
            self._lease, self._deadline()
        ):
            LOGGER.warning("lease-lapsed", extra={"key": self._key})
            self._lease = ""
        item = await self._store.get(self._key, self._deadline())
        if not self._lease and item is not None:
            self._pass_on_stored_record(item.value)
        value = msgspec.json.encode(self._make_record())
        lease_and_version_valid = self._lease and not self._version_outdated
        if (
            lease_and_version_valid
            and item is not None
            and item.value == value
        ):
            return
        if not self._lease:
            self._lease = await self._store.grant_lease(
                REGISTRATION_TTL_S, self._deadline()
            )
        expected = item.version if item is not None else 0
        conflicting = await self._store.swap(
            self._key, value, expected, self._deadline(), self._lease
        )
        if conflicting is not None:
            return  # another write came first; the next round reads it
        written = await self._store.get(self._key, self._deadline())
        if written is not None:
            LOGGER.info(
                "registered",
                extra={"key": self._key, "version": written.version},
            )
            self._version_outdated = False
            self._on_registered(written.version)

    def _pass_on_stored_record(self, value: bytes) -> None:
        try:
            record = msgspec.json.decode(value, type=AgentRecord)
        except msgspec.DecodeError as exc:
            LOGGER.warning("record-unreadable", extra={"error": str(exc)})
        else:
            self._on_record_found(record)


class AgentDirectory:
    """Reads the registered agents again and again.

    :param store: the key-value service.
    :param on_listed: is told the addresses by name.
    """

    def __init__(
        self,
        store: Store,
        clock: BootClock,
        on_listed: Callable[[dict[str, AgentAddress]], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._on_listed = on_listed
        self._started_at = clock.now()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            deadline = self._clock.now() + CALL_TIMEOUT_S
            try:
                listing = await self._store.list(AGENTS_PREFIX, deadline)
            except StoreError as exc:
                LOGGER.debug("agents-not-read", extra={"error": exc.message})
            else:
                self._on_listed(_decode_addresses(listing))
            starting = self._clock.now() < self._started_at + STARTUP_S
            await asyncio.sleep(
                STARTUP_POLL_PERIOD_S if starting else POLL_PERIOD_S
            )


def _decode_addresses(listing: KeyListing) -> dict[str, AgentAddress]:
    addresses = {}
    for item in listing.items:
        try:
            record = msgspec.json.decode(item.value, type=AgentRecord)
        except msgspec.DecodeError as exc:
            LOGGER.warning(
                "record-unreadable",
                extra={"key": item.key, "error": str(exc)},
            )
            continue
        service = record.worker.service if record.worker is not None else ""
        name = item.key.removeprefix(AGENTS_PREFIX)
        addresses[name] = AgentAddress(record.address, service)
    return addresses
