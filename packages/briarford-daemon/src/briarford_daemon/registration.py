"""Keeps an entry registered in the store and its view confirmed.

The *registration* is the entry's key in the store, which exists as long as the
entry renews its lease. The *view* is the record of the member entries by which
ids are mapped to their homes. Background tasks maintain both, follow the other
registered entries and exchange records with them, so that the view stays
confirmed while the store does not answer.
"""

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

# A watch in which nothing has changed ends after its period, and another one
# follows.
VIEW_PERIOD_S = 1.0
ENTRIES_PERIOD_S = 3.0
CALL_TIMEOUT_S = 2.0
LEAVE_POLL_S = 0.2


class Membership:
    """Runs the tasks by which one entry is a member of the entries.

    :param holder: the view of this entry.
    :param router: gets the registered entries, some not in the view yet.
    :param peers: the links to other entries.
    :param store: the key-value service; None if there is none.
    :param clock: the process's clock.
    :param on_members_changed: called with the registered entries after they
        have changed.
    """

    def __init__(
        self,
        holder: ViewHolder,
        router: Router,
        peers: Peers,
        store: Store | None,
        clock: Clock,
        on_members_changed: Callable[[tuple[Member, ...]], None],
    ) -> None:
        self._holder = holder
        self._router = router
        self._peers = peers
        self._store = store
        self._clock = clock
        self._report_members = on_members_changed
        self._registration = Registration(holder.me)
        self._stored_view: ViewRecord | None = None
        self._entries: tuple[EntryRecord, ...] = ()
        self._seeds: tuple[str, ...] = ()
        self._tasks: list[asyncio.Task[None]] = []
        self._wake = asyncio.Event()
        self._rotation = 0

    def start(self, seeds: tuple[str, ...] = ()) -> None:
        """Start to register, to follow the view and to exchange records.

        :param seeds: addresses of some other entries, with which records are
            exchanged even if the store does not answer.
        """
        self._seeds = seeds
        self._spawn(self._exchange_with_peers())
        if self._store is None:
            return
        self._spawn(self._register(self._store))
        self._spawn(self._maintain_view(self._store))
        self._spawn(self._maintain_entries(self._store))

    async def close(self) -> None:
        """Cancel all tasks.

        A registration that was not withdrawn lapses with its lease.
        """
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def leave_view(self, deadline: float) -> bool:
        """Leave the view before a planned stop.

        :param deadline: Unix seconds at which the wait for it ends.
        :return: whether no new id has its home here any longer.
        """
        self._registration.mark_leaving()
        self._wake.set()
        while self._clock.now() < deadline:
            if self._has_left():
                return True
            await asyncio.sleep(LEAVE_POLL_S)
        return False

    async def record_departure(
        self, successor: Member | None, deadline: float
    ) -> bool:
        """Record the departure in the view and end the registration.

        Entries then forward requests about jobs of this incarnation to the
        successor.

        :param successor: the entry that has all ended jobs of this one; None
            if there is none, and the view is left as it is.
        :return: whether the view names the successor.
        """
        recorded = successor is not None and await self._record_successor(
            successor, deadline
        )
        self._registration.withdraw()
        self._wake.set()
        return recorded

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(_log_task_failure)
        self._tasks.append(task)

    def _has_left(self) -> bool:
        """Whether no id that is made from now on has its home here.

        The epoch without this entry must have begun by every clock, that is
        by more than the allowed difference between clocks.
        """
        record = self._holder.record
        if record is None:
            return True
        if record.announced is not None:
            return False
        if self._holder.me in record.members:
            return False
        newest_effective_at = record.epochs[-1].effective_at
        return self._clock.now() > newest_effective_at + CLOCK_SKEW_S

    async def _record_successor(
        self, successor: Member, deadline: float
    ) -> bool:
        """Write into the view that this process leaves, and its successor.

        Retry until the view shows it.

        :param deadline: Unix seconds at which to give up.
        :return: whether the view lists this process as departed; False at
            once if the successor has departed itself.
        """
        me = self._holder.me
        while self._store is not None and self._clock.now() < deadline:
            with contextlib.suppress(StoreError):
                await self._read_view(self._store)
                record = self._holder.record
                if record and record.find_departed(me.name, me.incarnation):
                    return True
                planned = self._holder.plan_departure(
                    successor, self._clock.now()
                )
                if planned is None:
                    return False
                await self._write_view(self._store, planned)
                continue
            await asyncio.sleep(LEAVE_POLL_S)
        return False

    # Registration.

    async def _register(self, store: Store) -> None:
        """Perform the steps of the registration until it needs no more."""
        while True:
            step = self._registration.next_step(self._clock.now())
            if isinstance(step, Wait):
                if step.until is None:
                    return
                await self._sleep_until(step.until)
                continue
            try:
                await self._call_store(store, step)
            except StoreError as exc:
                LOGGER.warning("registration failed", extra=_error_fields(exc))
                self._registration.on_call_failed(self._clock.now())

    async def _call_store(
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

    async def _maintain_view(self, store: Store) -> None:
        revision: int | None = None
        while True:
            try:
                revision = await self._follow_view(store, revision)
                await self._write_next_view(store)
            except StoreError as exc:
                LOGGER.warning("view not confirmed", extra=_error_fields(exc))
                revision = None
                await asyncio.sleep(VIEW_PERIOD_S)
            except msgspec.MsgspecError as exc:
                LOGGER.error(
                    "view record not decoded", extra={"error": str(exc)}
                )
                revision = None
                await asyncio.sleep(VIEW_PERIOD_S)

    async def _maintain_entries(self, store: Store) -> None:
        revision: int | None = None
        while True:
            try:
                revision = await self._follow_entries(store, revision)
            except StoreError as exc:
                LOGGER.warning(
                    "registered entries not read", extra=_error_fields(exc)
                )
                revision = None
                await asyncio.sleep(VIEW_PERIOD_S)
            except msgspec.MsgspecError as exc:
                LOGGER.error(
                    "registration record not decoded",
                    extra={"error": str(exc)},
                )
                revision = None
                await asyncio.sleep(VIEW_PERIOD_S)

    async def _follow_view(self, store: Store, revision: int | None) -> int:
        """Wait for a change of the view and pass the record to the holder.

        A watch that ends without a change confirms the last record, too.

        :param revision: revision of the store after which to wait; None to
            read the record at once.
        :return: the revision from which to continue.
        """
        asked_at = self._clock.now()
        listing = await _follow(
            store, VIEW_KEY, revision, asked_at, VIEW_PERIOD_S
        )
        if listing is not None:
            revision = listing.revision
            values = [i.value for i in listing.items if i.key == VIEW_KEY]
            self._stored_view = (
                decode(values[0], ViewRecord) if values else None
            )
        if self._stored_view is not None:
            self._holder.receive_store_record(self._stored_view, asked_at)
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
        self._on_entries_listed(
            tuple(decode(i.value, EntryRecord) for i in listing.items)
        )
        return listing.revision

    async def _write_next_view(self, store: Store) -> None:
        if not self._registration.is_registered(self._clock.now()):
            return
        if self._holder.plan_write(self._entries, self._clock.now()) is None:
            return
        # The record names times by this entry's clock, so the clock is first
        # compared with those of the peers. If it turns out wrong, or a peer
        # has a newer record, the second plan differs.
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
        """Write a record by compare-and-swap on the version before it.

        The caller reads the view afterwards: another entry may have written
        first, or the answer of the store may have been lost.
        """
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

    def _on_entries_listed(self, entries: tuple[EntryRecord, ...]) -> None:
        if entries == self._entries:
            return
        self._entries = entries
        self._on_members_changed(tuple(e.member for e in entries))

    def _on_members_changed(self, members: tuple[Member, ...]) -> None:
        self._router.set_peers(members)
        self._report_members(members)

    # Exchanges with other entries.

    async def _exchange_with_peers(self) -> None:
        while True:
            addresses = self._addresses()
            self._peers.retain_links(self._epoch_addresses() | set(addresses))
            if self._is_confirmed():
                # With the view confirmed by the store, one peer per period
                # is enough to spread newer records.
                addresses = addresses[:1]
            await self._exchange_all(addresses)
            self._holder.lease.extend_if_all_confirmed(self._clock.now())
            await asyncio.sleep(VIEW_PERIOD_S)

    async def _exchange_all(self, addresses: list[str]) -> None:
        async with asyncio.TaskGroup() as group:
            for address in addresses:
                group.create_task(self._peers.link(address).exchange())

    def _is_confirmed(self) -> bool:
        """Whether the store has confirmed the view recently."""
        record = self._holder.record
        if record is None:
            return False
        confirmed_at = self._holder.lease.store_confirmed_at
        return self._clock.now() - confirmed_at < REGISTRATION_TTL_S / 2

    def _epoch_addresses(self) -> set[str]:
        """Return the addresses of all homes of ids from recent epochs."""
        record = self._holder.record
        if record is None:
            return set()
        return {m.address for e in record.epochs for m in e.members}

    def _addresses(self) -> list[str]:
        """Return the addresses of the other entries.

        Each call starts at another one, so that exchanges with only the
        first reach all of them in turn.
        """
        record = self._holder.record
        members = {e.member for e in self._entries}
        if record is not None:
            members.update(record.members)
        addresses = {m.address for m in members} | set(self._seeds)
        addresses.discard(self._holder.me.address)
        ordered = sorted(addresses)
        self._rotation += 1
        start = self._rotation % len(ordered) if ordered else 0
        return ordered[start:] + ordered[:start]


async def _follow(
    store: Store,
    prefix: str,
    revision: int | None,
    now: float,
    period_s: float,
) -> KeyListing | None:
    """List the keys under a prefix, or wait until one has changed.

    :param revision: revision after which to wait; None to list at once.
    :param now: Unix seconds.
    :param period_s: longest wait for a change.
    :return: None if nothing has changed.
    """
    if revision is None:
        return await store.list(prefix, now + CALL_TIMEOUT_S)
    return await store.watch(prefix, revision, now + period_s)


def _log_task_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        LOGGER.critical("task failed", exc_info=task.exception())


def _error_fields(exc: StoreError) -> dict[str, str]:
    return {"error": exc.message, "step": exc.step, "peer": exc.peer}
