"""Reads and changes the preset record in the key-value service for commands.

The options that the commands share are here as well.
"""

from __future__ import annotations

import asyncio
import getpass
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from cyclopts import Parameter

from briarford.exceptions import StoreError
from briarford.presets import (
    PRESET_KEY,
    Accepted,
    ChangeEffect,
    ChangeOutcome,
    ChangeRequest,
    ChangeSession,
    Edit,
    ReadAnswered,
    ReadOrWriteFailed,
    ReadRecord,
    Record,
    SleepUntil,
    Woken,
    WriteAnswered,
    WriteRecord,
    apply_edits,
    decode_record,
    diff_records,
    encode_record,
    make_default_record,
    rewind,
)
from briarford.presets.messages import ChangeEvent
from briarford.store import Store
from briarford_cli.exceptions import InputError
from briarford_daemon.client import Client
from briarford_daemon.clock import Clock
from briarford_daemon.store_client import HttpStore

__all__ = [
    "ChangeOptions",
    "MakeEdits",
    "ReadOptions",
    "StoreOptions",
    "VersionedRecord",
    "change_record",
    "create_record",
    "read_record",
    "run_session",
    "write_first_record",
]

SESSION_CALL_TIMEOUT_S = 3.0  # a change session repeats failed calls
CALL_TIMEOUT_S = 10.0

MakeEdits = Callable[[Record], tuple[Edit, ...]]


def _make_change_id() -> str:
    return secrets.token_hex(8)


@Parameter(name="*")
@dataclass(slots=True, frozen=True, kw_only=True)
class StoreOptions:
    """Options that say in which store the record is.

    :param store: address of the key-value service.
    """

    store: Annotated[str, Parameter(env_var="BRIARFORD_STORE")]


@Parameter(name="*")
@dataclass(slots=True, frozen=True, kw_only=True)
class ReadOptions:
    """Options that say where a command reads the record.

    :param store: address of the key-value service.
    :param entry: HTTP address of an entry: read the record that is in force
        there instead, which works while the key-value service is down.
    """

    store: Annotated[str, Parameter(env_var="BRIARFORD_STORE")] = ""
    entry: str = ""


@Parameter(name="*")
@dataclass(slots=True, frozen=True, kw_only=True)
class ChangeOptions(StoreOptions):
    """Options of a command that changes the record.

    :param why: the reason, shown in the history.
    :param who: name of the operator, shown in the history.
    :param expect_version: version of the record on which the change is
        based; 0 for the current one.
    :param reapply: make the change on a newer record too if nobody else has
        changed the same fields.
    :param change_id: id of the change; after an unknown outcome, repeat the
        command with the same id: the change is made once at most.
    :param dry_run: show what would change, and change nothing.
    :param timeout_s: seconds after which nothing is retried; the outcome may
        be unknown then.
    """

    why: str
    who: str = field(default_factory=getpass.getuser)
    expect_version: int = 0
    reapply: bool = False
    change_id: str = field(default_factory=_make_change_id)
    dry_run: bool = False
    timeout_s: float = 15.0


@dataclass(slots=True, frozen=True)
class VersionedRecord:
    """A record with the version of its key, for compare-and-swap.

    :param record: the record.
    :param key_version: version of the record's key in the store.
    """

    record: Record
    key_version: int


async def read_record(options: ReadOptions) -> Record:
    """Read the record from the store or from an entry.

    :raises StoreError: if there is no answer.
    """
    if options.entry:
        return await _read_from_entry(options.entry)
    if not options.store:
        raise InputError("give --store or --entry, or set BRIARFORD_STORE")
    store = HttpStore(options.store)
    try:
        return (await _read_current(store, Clock())).record
    finally:
        await store.close()


async def _read_from_entry(address: str) -> Record:
    async with Client([address]) as client:
        answer = await client.get("/v1/preset", 0)
    if answer is None or answer.status != 200:
        raise StoreError(
            f"entry {address} gave no record; ask another entry",
            step="preset-read",
            peer=address,
        )
    return decode_record(msgspec.json.encode(answer.body))


async def _read_current(store: Store, clock: Clock) -> VersionedRecord:
    found = await store.get(PRESET_KEY, clock.now() + CALL_TIMEOUT_S)
    if found is None:
        raise InputError("there is no record yet; run 'briarford preset init'")
    return VersionedRecord(decode_record(found.value), found.version)


async def create_record(options: StoreOptions) -> bool:
    """Write the default record; return False if the store has a record."""
    store = HttpStore(options.store)
    try:
        return await write_first_record(store, Clock())
    finally:
        await store.close()


async def write_first_record(store: Store, clock: Clock) -> bool:
    """Write the default record to a store; return False if it has a record.

    The write expects version 0, that of a missing key, so it never replaces
    a record.
    """
    encoded = encode_record(make_default_record())
    deadline = clock.now() + CALL_TIMEOUT_S
    return await store.swap(PRESET_KEY, encoded, 0, deadline) is None


async def change_record(
    options: ChangeOptions, make_edits: MakeEdits
) -> tuple[Record, Record, ChangeOutcome | None]:
    """Change the record.

    If the history has the change id already, as after an answer that was
    lost, nothing is written and the outcome is accepted.

    :param options: options of the change.
    :param make_edits: returns the edits, given the record on which the
        change is based.
    :return: the record before and after, and the outcome; the outcome is
        None if there was nothing to change or it was a dry run.
    """
    clock = Clock()
    store = HttpStore(options.store, clock=clock)
    try:
        return await _change_in_store(options, make_edits, store, clock)
    finally:
        await store.close()


async def _change_in_store(
    options: ChangeOptions,
    make_edits: MakeEdits,
    store: Store,
    clock: Clock,
) -> tuple[Record, Record, ChangeOutcome | None]:
    """Apply edits to the stored record, unless it has the change already.

    :return: the record before and after the edits, and the outcome; no
        outcome for a dry run or if the edits change nothing.
    """
    current = await _read_current(store, clock)
    stored_change = current.record.find_change(options.change_id)
    if stored_change is not None:
        accepted = Accepted(stored_change.change_id, stored_change.version)
        return current.record, current.record, accepted
    base = _rewind(current, options.expect_version)
    after = apply_edits(base.record, make_edits(base.record))
    edits = diff_records(base.record, after)
    if options.dry_run or not edits:
        return base.record, after, None
    req = ChangeRequest(
        options.change_id,
        edits,
        options.who,
        options.why,
        clock.now() + options.timeout_s,
        options.reapply,
    )
    session = ChangeSession(
        req, base.record, base.key_version, random.Random()
    )
    outcome = await run_session(session, store, clock)
    return base.record, after, outcome


def _rewind(current: VersionedRecord, version: int) -> VersionedRecord:
    """Return the record as it was at an earlier version.

    Each change raises the version of the record and that of its key by one.

    :param version: version of the record; 0 for the current one.
    """
    record = current.record
    if version in (0, record.version):
        return current
    key_version = current.key_version - (record.version - version)
    return VersionedRecord(rewind(record, version), key_version)


async def run_session(
    session: ChangeSession, store: Store, clock: Clock
) -> ChangeOutcome:
    """Carry out the effects of a change session until it has an outcome."""
    step = session.start(clock.now())
    while isinstance(step, ReadRecord | WriteRecord | SleepUntil):
        event = await _carry_out(step, store, clock)
        step = session.handle(event, clock.now())
    return step


async def _carry_out(
    effect: ChangeEffect, store: Store, clock: Clock
) -> ChangeEvent:
    """Make the store call of an effect, or wait; return what came of it."""
    deadline = clock.now() + SESSION_CALL_TIMEOUT_S
    try:
        if isinstance(effect, ReadRecord):
            return ReadAnswered(await store.get(PRESET_KEY, deadline))
        if isinstance(effect, WriteRecord):
            return WriteAnswered(
                await store.swap(
                    PRESET_KEY, effect.encoded, effect.expected, deadline
                )
            )
    except StoreError as exc:
        return ReadOrWriteFailed(exc.message, exc.maybe_applied)
    await asyncio.sleep(max(0.0, effect.at - clock.now()))
    return Woken()
