"""Registration of agents in the key-value service.

An agent keeps a record there under a lease; entries poll the records to learn
the addresses of the agents.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Iterable

import msgspec

from briarford.bounds import Name, Ratio, SocketAddress
from briarford.exceptions import StoreError
from briarford.messages import decode_json
from briarford.runs import AgentAddress, WorkerReport
from briarford.store import (
    ChangeStore,
    KeyChanges,
    KeyListing,
    KeyValue,
)
from briarford_daemon.fleet.clock import BootClock
from briarford_daemon.fleet.prefix_watch import (
    CALL_TIMEOUT_S,
    PrefixWatch,
    WatchPace,
)

__all__ = [
    "AGENTS_PREFIX",
    "AgentDirectory",
    "AgentRecord",
    "AgentRegistration",
]

LOGGER = logging.getLogger("briarford.registry")

AGENTS_PREFIX = "agents/"
# Entries forget an agent only after a longer silence (``FORGET_AGENT_S``).
REGISTRATION_TTL_S = 5.0
RENEW_PERIOD_S = 1.5
RETRY_DELAY_S = 0.3
# After a write that another one preceded: the record of a previous process
# has just expired, or that process has just renewed it.
CONFLICT_DELAY_S = 0.05
STALENESS_S = 5.0  # stale reads of the service are some seconds old
POLL_PERIOD_S = 0.5  # between reads that fail
# The service answers at the first change, at the latest after this time. It
# may have dropped changes without notice, so all records are listed again
# periodically; an agent that moved must be found before its runs are given up.
WATCH_WAIT_S = 2.5
RELIST_PERIOD_S = 5.0
# Pause between two reads, in which changes collect. When all processes start
# together, agents register within the first seconds.
READ_GAP_S = 0.3
STARTUP_S = 3.0
STARTUP_READ_GAP_S = 0.05


class AgentRecord(msgspec.Struct, frozen=True):
    """The record of an agent in the key-value service.

    :param address: host and port where entries reach the agent.
    :param worker: last heartbeat of the agent's worker, so that the next
        process of the agent need not wait for one; without the clock and the
        sequence number.
    :param slowness: measured time of runs on the worker divided by their
        expected time.
    :param incarnation: of the agent's process; empty in records of versions
        that did not write it.
    """

    address: SocketAddress
    worker: WorkerReport | None = None
    slowness: Ratio = 1.0
    incarnation: Name = ""


class _AgentOnly(msgspec.Struct, frozen=True):
    """What a record has of the agent itself, whatever it has of the worker."""

    address: SocketAddress
    incarnation: Name = ""


class AgentRegistration:
    """Keeps the record of an agent in the key-value service under a lease.

    The record is written again if it is missing, if its content has changed,
    or if the agent needs a higher version as its fencing token.

    :param store: client of the key-value service.
    :param clock: clock of the process.
    :param name: name of the agent.
    :param make_record: returns the record to store.
    :param on_record_found: called with the stored record while this process
        holds no lease, so that it can use what a previous process stored.
    :param on_registered: called with the version of the key after a write.
    :param on_replaced: called when a later process of this agent has written
        the record. This one does not write it as long as it is there.
    """

    def __init__(
        self,
        store: ChangeStore,
        clock: BootClock,
        name: str,
        make_record: Callable[[], AgentRecord],
        on_record_found: Callable[[AgentRecord], None],
        on_registered: Callable[[int], None],
        on_replaced: Callable[[], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._key = AGENTS_PREFIX + name
        self._make_record = make_record
        self._on_record_found = on_record_found
        self._on_registered = on_registered
        self._on_replaced = on_replaced
        self._replaced = False
        self._lease = ""
        self._version = 0
        self._stale_reads_from = 0.0
        self._version_outdated = False
        self._wake = asyncio.Event()

    def request_new_version(self) -> None:
        """Write the record again at once, which gives it a higher version."""
        self._version_outdated = True
        self._wake.set()

    def record_changed(self) -> None:
        """Write the record at once if it differs from the stored one."""
        self._wake.set()

    async def run(self) -> None:
        """Keep the record in the store until cancelled.

        Logs when the key-value service stops answering and when it answers
        again.
        """
        store_reachable = True
        while True:
            try:
                is_settled = await self._renew()
            except StoreError as exc:
                if store_reachable:
                    LOGGER.warning("store-lost", extra={"error": exc.message})
                store_reachable = False
                self._stale_reads_from = self._clock.now() + STALENESS_S
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if not store_reachable:
                LOGGER.info("store-regained")
            store_reachable = True
            pause_s = RENEW_PERIOD_S if is_settled else CONFLICT_DELAY_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._wake.wait()
            self._wake.clear()

    def _deadline(self) -> float:
        return self._clock.now() + CALL_TIMEOUT_S

    async def _renew(self) -> bool:
        """Renew the lease, and write the record if it is missing or differs.

        A new lease needs a write as well, which ties the key to it. A stale
        read is enough to see that the record is as it was written; whatever
        else it shows is read again.

        :return: False if another write came first, so that the record has to
            be read again.
        """
        if self._lease and not await self._store.renew_lease(
            self._lease, self._deadline()
        ):
            LOGGER.warning("lease-lapsed", extra={"key": self._key})
            self._lease = ""
        value = msgspec.json.encode(self._make_record())
        if await self._is_unchanged(value):
            return True
        had_lease = bool(self._lease)
        item = await self._read_record()
        if item is not None and self._is_of_later_process(item):
            self._stand_back()
            return True
        self._replaced = False
        if not had_lease and item is not None:
            self._pass_on_stored_record(item.value)
        if had_lease and item is not None and item.value == value:
            # The answer of the write may have been lost.
            if item.version != self._version:
                self._adopt_version(item.version)
            if not self._version_outdated:
                return True
        if not self._lease:
            self._lease = await self._store.grant_lease(
                REGISTRATION_TTL_S, self._deadline()
            )
        # It may have changed during the reads.
        value = msgspec.json.encode(self._make_record())
        expected = item.version if item is not None else 0
        version = await self._store.write(
            self._key, value, expected, self._deadline(), self._lease
        )
        if version:
            self._adopt_version(version)
        return version > 0

    async def _read_record(self) -> KeyValue | None:
        """Read the stored record; at the start, get a lease at the same time.

        A process that stands back needs no lease. One that is granted while
        the read fails ends by itself.
        """
        read = self._store.get(self._key, self._deadline())
        if self._lease or self._replaced:
            return await read
        item, self._lease = await asyncio.gather(
            read,
            self._store.grant_lease(REGISTRATION_TTL_S, self._deadline()),
        )
        return item

    def _adopt_version(self, version: int) -> None:
        """Note the version of the record that this process has written."""
        LOGGER.info("registered", extra={"key": self._key, "version": version})
        self._version = version
        self._version_outdated = False
        self._stale_reads_from = self._clock.now() + STALENESS_S
        self._on_registered(version)

    def _stand_back(self) -> None:
        """Leave the record to the later process that has written it."""
        if not self._replaced:
            LOGGER.warning("agent-replaced", extra={"key": self._key})
            self._on_replaced()
        self._replaced = True
        self._lease = ""

    def _is_of_later_process(self, item: KeyValue) -> bool:
        """Whether another process has written the record after this one.

        A process that was frozen for long may wake when another one has taken
        its place. That one is on the same VM, has the same address and keeps
        the record under a lease; any other record is of another writer, and
        is written again.
        """
        if not self._version or item.version <= self._version:
            return False
        try:
            record = decode_json(item.value, AgentRecord)
        except msgspec.DecodeError:
            return False
        own = self._make_record()
        if not item.leased or record.address != own.address:
            return False
        return record.incarnation not in ("", own.incarnation)

    async def _is_unchanged(self, value: bytes) -> bool:
        """Whether a stale read shows the record that is to be stored.

        Not used after a write or an outage, when it could show what was there
        before.
        """
        if not self._lease or self._version_outdated:
            return False
        if self._clock.now() < self._stale_reads_from:
            return False
        item = await self._store.get_stale(self._key, self._deadline())
        return (
            item is not None
            and item.version == self._version
            and item.value == value
        )

    def _pass_on_stored_record(self, value: bytes) -> None:
        try:
            record = decode_json(value, AgentRecord)
        except msgspec.DecodeError as exc:
            LOGGER.warning("record-unreadable", extra={"error": str(exc)})
            return
        try:
            self._on_record_found(record)
        except Exception:
            # The agent has to register in any case.
            LOGGER.exception("record-failed", extra={"key": self._key})


class AgentDirectory:
    """Follows the records of the registered agents, at an entry.

    The records are listed once and then followed by their changes: all
    records of a large fleet, read twice a second by each entry, would fill
    the link of a small VM.

    :param store: client of the key-value service.
    :param clock: clock of the process.
    :param on_listed: called after each change with the address and service of
        each agent, by name.
    """

    def __init__(
        self,
        store: ChangeStore,
        clock: BootClock,
        on_listed: Callable[[dict[str, AgentAddress]], None],
    ) -> None:
        self._clock = clock
        self._on_listed = on_listed
        self._started_at = clock.now()
        self._agents: dict[str, AgentAddress] = {}
        self._unreadable: dict[str, int] = {}  # versions by key
        pace = WatchPace(
            WATCH_WAIT_S, RELIST_PERIOD_S, POLL_PERIOD_S, retry_at_once=False
        )
        self._watch = PrefixWatch(
            store, clock, AGENTS_PREFIX, pace, (self,), self._gap_s
        )

    async def run(self) -> None:
        """Follow the records until cancelled; a failed read is only logged."""
        await self._watch.run()

    def _gap_s(self, now: float) -> float:
        starting = now < self._started_at + STARTUP_S
        return STARTUP_READ_GAP_S if starting else READ_GAP_S

    def listed(self, listing: KeyListing) -> None:
        """Replace all agents."""
        self._agents = self._decode(listing.items)
        listed = {item.key for item in listing.items}
        for key in self._unreadable.keys() - listed:
            del self._unreadable[key]
        self._on_listed(self._agents)

    def changed(self, changes: KeyChanges) -> None:
        """Update the agents whose records have changed."""
        if not changes.written and not changes.deleted:
            return
        for key in changes.deleted:
            self._agents.pop(key.removeprefix(AGENTS_PREFIX), None)
        self._agents.update(self._decode(changes.written))
        self._on_listed(self._agents)

    def _decode(self, items: Iterable[KeyValue]) -> dict[str, AgentAddress]:
        """Return agents by name; records that cannot be decoded are left out.

        Each version of such a record is logged once.
        """
        addresses = {}
        for item in items:
            name = item.key.removeprefix(AGENTS_PREFIX)
            try:
                addresses[name] = _decode_address(item.value)
            except msgspec.DecodeError as exc:
                if self._unreadable.get(item.key) == item.version:
                    continue
                self._unreadable[item.key] = item.version
                LOGGER.warning(
                    "record-unreadable",
                    extra={"key": item.key, "error": str(exc)},
                )
        return addresses


def _decode_address(value: bytes) -> AgentAddress:
    """Decode the record of an agent as far as an entry uses it.

    An agent is dialed also if its record has an odd worker: it may have taken
    the heartbeat of another writer for that of its worker.

    :raises msgspec.DecodeError: if the address cannot be read.
    """
    try:
        record = decode_json(value, AgentRecord)
    except msgspec.ValidationError:
        agent = decode_json(value, _AgentOnly)
        return AgentAddress(agent.address, "", agent.incarnation)
    service = record.worker.service if record.worker is not None else ""
    return AgentAddress(record.address, service, record.incarnation)
