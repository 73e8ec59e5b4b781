"""Keeps an entry registered and its view of the entries confirmed."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from briarford.dispatch.messages import Decision
from briarford.exceptions import StoreError
from briarford.homes import Member, Router, ViewHolder, ViewRecord
from briarford.homes.lease import CLOCK_SKEW_S
from briarford.homes.view import VIEW_KEY
from briarford.membership import (
    EntryRecord,
    GrantLease,
    Registration,
    RenewLease,
    RevokeLease,
    Wait,
    WriteEntry,
)
from briarford.membership.messages import ENTRIES_PREFIX
from briarford.membership.registration import REGISTRATION_TTL_S
from briarford.messages import decode, encode
from briarford.store import KeyListing, Store
from briarford_daemon.clock import Clock
from briarford_daemon.logs import log_decision
from briarford_daemon.peers import Peers

__all__ = ["Membership"]

LOGGER = logging.getLogger("briarford.membership")

VIEW_PERIOD_S = 1.0
ENTRIES_PERIOD_S = 3.0
CALL_TIMEOUT_S = 2.0
LEAVE_POLL_S = 0.2


class Membership:
    """The tasks that keep one entry among the entries.

    :param holder: the view of this entry.
    :param router: is told which entries are registered.
    :param peers: the links to other entries.
    :param store: the key-value service; None if there is none.
    :param clock: the process's clock.
    :param changed: is called when the entries may have changed.
    """

    def __init__(
        self,
        holder: ViewHolder,
        router: Router,
        peers: Peers,
        store: Store | None,
        clock: Clock,
        changed: Callable[[tuple[Member, ...]], None],
    ) -> None:
        self._holder = holder
        self._router = router
        self._peers = peers
        self._store = store
        self._clock = clock
        self._changed = changed
        self._registration = Registration(holder.me)
        self._stored: ViewRecord | None = None
        self._entries: tuple[EntryRecord, ...] = ()
        self._seeds: tuple[str, ...] = ()
        self._tasks: list[asyncio.Task[None]] = []
        self._wake = asyncio.Event()
        self._turn = 0

    def start(self, seeds: tuple[str, ...] = ()) -> None:
        """Register, and watch the view.

        :param seeds: addresses of some other entries, for when the store
            does not answer.
        """
        self._seeds = seeds
        self._spawn(self._keep_in_touch())
        if self._store is None:
            return
        self._spawn(self._register(self._store))
        self._spawn(self._keep_view(self._store))
        self._spawn(self._keep_entries(self._store))

    async def close(self) -> None:
        """Stop at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def leave(self, deadline: float) -> bool:
        """Leave the view before a planned stop.

        :return: whether no new id has its home here any longer.
        """
        self._registration.mark_leaving()
        self._wake.set()
        while self._clock.now() < deadline:
            if self._has_left():
                return True
            await asyncio.sleep(LEAVE_POLL_S)
        return False

    async def depart(self, heir: Member | None, deadline: float) -> bool:
        """Name the heir in the view and end the registration.

        :param heir: the entry that has all ended jobs of this one.
        :return: whether the view names the heir.
        """
        named = heir is not None and await self._name_heir(heir, deadline)
        self._registration.withdraw()
        self._wake.set()
        return named

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(_log_crash)
        self._tasks.append(task)

    def _has_left(self) -> bool:
        record = self._holder.record
        if record is None:
            return True
        if record.announced is not None:
            return False
        if self._holder.me in record.members:
            return False
        gate = record.epochs[-1].effective_at
        return self._clock.now() > gate + CLOCK_SKEW_S

    async def _name_heir(self, heir: Member, deadline: float) -> bool:
        me = self._holder.me
        while self._store is not None and self._clock.now() < deadline:
            with contextlib.suppress(StoreError):
                await self._read_view(self._store)
                record = self._holder.record
                if record and record.find_departed(me.name, me.incarnation):
                    return True
                planned = self._holder.plan_departure(heir, self._clock.now())
                if planned is None:
                    return False
                await self._write_view(self._store, planned)
                continue
            await asyncio.sleep(LEAVE_POLL_S)
        return False

    # Registration.

    async def _register(self, store: Store) -> None:
        while True:
            step = self._registration.next_step(self._clock.now())
            if isinstance(step, Wait):
                if step.until is None:
                    return
                await self._sleep_until(step.until)
                continue
            try:
                await self._perform(store, step)
            except StoreError as exc:
                LOGGER.warning("registration failed", extra=_cause(exc))
                self._registration.on_call_failed(self._clock.now())

    async def _perform(
        self,
        store: Store,
        step: GrantLease | RenewLease | WriteEntry | RevokeLease,
    ) -> None:
        asked_at = self._clock.now()
        deadline = asked_at + CALL_TIMEOUT_S
        if isinstance(step, GrantLease):
            lease = await store.grant_lease(step.ttl_s, deadline)
            self._registration.on_lease_granted(lease, asked_at)
        elif isinstance(step, RenewLease):
            alive = await store.renew_lease(step.lease, deadline)
            self._registration.on_lease_renewed(alive, asked_at)
        elif isinstance(step, RevokeLease):
            await store.revoke_lease(step.lease, deadline)
            self._registration.on_lease_revoked()
        else:
            found = await store.swap(
                step.key, step.value, step.expected, deadline, step.lease
            )
            self._registration.on_entry_written(found)

    async def _sleep_until(self, until: float) -> None:
        wait = max(0.0, until - self._clock.now())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait):
                await self._wake.wait()
        self._wake.clear()

    # The view.

    async def _keep_view(self, store: Store) -> None:
        revision: int | None = None
        while True:
            try:
                revision = await self._follow_view(store, revision)
                await self._plan(store)
            except StoreError as exc:
                LOGGER.warning("view not confirmed", extra=_cause(exc))
                revision = None
                await asyncio.sleep(VIEW_PERIOD_S)
            except msgspec.MsgspecError as exc:
                LOGGER.error("record not readable", extra={"error": str(exc)})
                revision = None
                await asyncio.sleep(VIEW_PERIOD_S)

    async def _keep_entries(self, store: Store) -> None:
        revision: int | None = None
        while True:
            try:
                revision = await self._follow_entries(store, revision)
            except StoreError as exc:
                LOGGER.warning("entries not listed", extra=_cause(exc))
                revision = None
                await asyncio.sleep(VIEW_PERIOD_S)
            except msgspec.MsgspecError as exc:
                LOGGER.error("record not readable", extra={"error": str(exc)})
                revision = None
                await asyncio.sleep(VIEW_PERIOD_S)

    async def _follow_view(self, store: Store, revision: int | None) -> int:
        """Wait for a change of the view; no change confirms it as well."""
        asked_at = self._clock.now()
        listing = await _follow(
            store, VIEW_KEY, revision, asked_at, VIEW_PERIOD_S
        )
        if listing is not None:
            revision = listing.revision
            values = [i.value for i in listing.items if i.key == VIEW_KEY]
            self._stored = decode(values[0], ViewRecord) if values else None
        if self._stored is not None:
            self._holder.receive_store_record(self._stored, asked_at)
        return revision or 0

    async def _follow_entries(self, store: Store, revision: int | None) -> int:
        listing = await _follow(
            store,
            ENTRIES_PREFIX,
            revision,
            self._clock.now(),
            ENTRIES_PERIOD_S,
        )
        if listing is None:
            return revision or 0
        self._note_entries(
            tuple(decode(i.value, EntryRecord) for i in listing.items)
        )
        return listing.revision

    async def _plan(self, store: Store) -> None:
        if not self._registration.is_registered(self._clock.now()):
            return
        if self._holder.plan_write(self._entries, self._clock.now()) is None:
            return
        # Clocks are compared before the time that the record will name.
        await self._exchange_all(self._addresses())
        planned = self._holder.plan_write(self._entries, self._clock.now())
        if planned is not None:
            await self._write_view(store, planned)
            await self._read_view(store)

    async def _read_view(self, store: Store) -> None:
        asked_at = self._clock.now()
        found = await store.get(VIEW_KEY, asked_at + CALL_TIMEOUT_S)
        if found is not None:
            record = decode(found.value, ViewRecord)
            self._holder.receive_store_record(record, asked_at)

    async def _write_view(self, store: Store, record: ViewRecord) -> None:
        """Write a record; whether it took effect shows in the next read."""
        deadline = self._clock.now() + CALL_TIMEOUT_S
        found = await store.swap(
            VIEW_KEY, encode(record), record.version - 1, deadline
        )
        action = "view-written" if found is None else "view-write-lost-race"
        announced = record.announced is not None
        log_decision(
            Decision(
                action,
                "announce" if announced else "activate",
                {"version": record.version},
            )
        )

    def _note_entries(self, entries: tuple[EntryRecord, ...]) -> None:
        if entries == self._entries:
            return
        self._entries = entries
        self._note_members(tuple(e.member for e in entries))

    def _note_members(self, members: tuple[Member, ...]) -> None:
        self._router.set_peers(members)
        self._changed(members)

    # Other entries.

    async def _keep_in_touch(self) -> None:
        while True:
            addresses = self._addresses()
            self._peers.keep(self._former_addresses() | set(addresses))
            if self._is_confirmed():
                # One peer a turn is enough to pass on newer records.
                addresses = addresses[:1]
            await self._exchange_all(addresses)
            self._holder.lease.extend_if_all_confirmed(self._clock.now())
            await asyncio.sleep(VIEW_PERIOD_S)

    async def _exchange_all(self, addresses: list[str]) -> None:
        async with asyncio.TaskGroup() as group:
            for address in addresses:
                group.create_task(self._peers.link(address).exchange())

    def _is_confirmed(self) -> bool:
        record = self._holder.record
        if record is None:
            return False
        confirmed_at = self._holder.lease.store_confirmed_at
        return self._clock.now() - confirmed_at < REGISTRATION_TTL_S / 2

    def _former_addresses(self) -> set[str]:
        record = self._holder.record
        if record is None:
            return set()
        return {m.address for e in record.epochs for m in e.members}

    def _addresses(self) -> list[str]:
        record = self._holder.record
        members = {e.member for e in self._entries}
        if record is not None:
            members.update(record.members)
        addresses = {m.address for m in members} | set(self._seeds)
        addresses.discard(self._holder.me.address)
        ordered = sorted(addresses)
        self._turn += 1
        start = self._turn % len(ordered) if ordered else 0
        return ordered[start:] + ordered[:start]


async def _follow(
    store: Store,
    prefix: str,
    revision: int | None,
    now: float,
    period_s: float,
) -> KeyListing | None:
    """List a prefix, or wait for a change of it after a revision."""
    if revision is None:
        return await store.list(prefix, now + CALL_TIMEOUT_S)
    return await store.watch(prefix, revision, now + period_s)


def _log_crash(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        LOGGER.critical("task failed", exc_info=task.exception())


def _cause(exc: StoreError) -> dict[str, str]:
    return {"error": exc.message, "step": exc.step, "peer": exc.peer}
