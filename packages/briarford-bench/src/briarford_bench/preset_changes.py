"""Changes the preset record at a steady rate, as operators' tools do."""

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

__all__ = ["change_presets"]

CALL_TIMEOUT_S = 2.0


async def change_presets(address: str, changes_per_s: float) -> None:
    """Switch the preset in force until cancelled.

    :param address: host and port of the key-value service.
    """
    store = HttpStore(address)
    try:
        while True:
            await _change(store)
            await asyncio.sleep(1 / changes_per_s)
    finally:
        await store.close()


async def _change(store: HttpStore) -> None:
    found = await store.get(PRESET_KEY, time.time() + CALL_TIMEOUT_S)
    record = decode_record(found.value) if found else make_default_record()
    await store.swap(
        PRESET_KEY,
        encode_record(_switch(record)),
        found.version if found else 0,
        time.time() + CALL_TIMEOUT_S,
    )


def _switch(record: Record) -> Record:
    """Return the next version, with the next preset in force."""
    names = sorted(record.presets)
    following = names[(names.index(record.active) + 1) % len(names)]
    return msgspec.structs.replace(
        record, version=record.version + 1, active=following
    )
