"""Changes the preset record as the tools of operators do."""

from __future__ import annotations

import asyncio
import time

import msgspec

from briarford.presets import (
    PRESET_KEY,
    Record,
    decode_record,
    encode_record,
    make_default_record,
)
from briarford_daemon.store_client import HttpStore

__all__ = ["change_presets", "switch_preset"]

CALL_TIMEOUT_S = 2.0


async def change_presets(address: str, changes_per_s: float) -> None:
    """Switch to the next preset repeatedly, until cancelled.

    :param address: host and port of the key-value service.
    :param changes_per_s: switches a second, apart from the time that the
        switches themselves take.
    """
    store = HttpStore(address)
    try:
        while True:
            await switch_preset(store)
            await asyncio.sleep(1 / changes_per_s)
    finally:
        await store.close()


async def switch_preset(store: HttpStore) -> str:
    """Put the next preset in force and return its name.

    If another writer changes the record at the same time, the switch is made
    again on the record that it wrote.

    :raises StoreError: if the store does not answer.
    """
    while True:
        deadline = time.time() + CALL_TIMEOUT_S
        found = await store.get(PRESET_KEY, deadline)
        record = decode_record(found.value) if found else make_default_record()
        changed = _make_switched_record(record)
        conflict = await store.swap(
            PRESET_KEY,
            encode_record(changed),
            found.version if found else 0,
            deadline,
        )
        if conflict is None:
            return changed.active


def _make_switched_record(record: Record) -> Record:
    """Return the next version of a record, with the next preset in force."""
    names = sorted(record.presets)
    next_preset = names[(names.index(record.active) + 1) % len(names)]
    return msgspec.structs.replace(
        record, version=record.version + 1, active=next_preset
    )
