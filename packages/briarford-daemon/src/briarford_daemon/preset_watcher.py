"""Keeps a process on the newest preset record.

:class:`briarford.presets.follower.PresetFollower` decides when to list, watch
or ask peers; the watcher here makes these calls and reports each adopted
record.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from briarford.dispatch.messages import Decision, PresetAdopted
from briarford.exceptions import StoreError
from briarford.presets import PRESET_KEY, Adopted, PresetHolder
from briarford.presets.follower import (
    AskPeers,
    FollowEffect,
    FollowEvent,
    ListRecord,
    PeersAnswered,
    PresetFollower,
    StoreAnswered,
    StoreCallFailed,
    WatchRecord,
)
from briarford.presets.messages import Woken
from briarford.store import Store
from briarford_daemon.clock import Clock
from briarford_daemon.logs import log_decision

__all__ = ["PresetWatcher"]

LOGGER = logging.getLogger("briarford.presets")

FetchRecords = Callable[[float], Awaitable[tuple[bytes, ...]]]


async def _fetch_nothing(deadline: float) -> tuple[bytes, ...]:
    return ()


class PresetWatcher:
    """Adopts each newer preset record, from the store or from peers.

    :param store: the key-value service.
    :param clock: the process's clock.
    :param adopt: called with each record that is adopted, oldest first.
    :param fetch: asks the peers for their encoded records by a deadline
        (Unix seconds); called only while the store does not answer.
    :param rng: spreads the delays between failed calls.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        adopt: Callable[[PresetAdopted], None],
        fetch: FetchRecords = _fetch_nothing,
        rng: random.Random | None = None,
    ) -> None:
        self.holder = PresetHolder()
        self._store = store
        self._clock = clock
        self._adopt = adopt
        self._fetch = fetch
        self._follower = PresetFollower(self.holder, rng or random.Random())
        self._task: asyncio.Task[None] | None = None

    @property
    def counts(self) -> dict[str, int]:
        """Records adopted, records ignored by reason, and failed calls."""
        return dict(self._follower.counts)

    async def start(self) -> None:
        """Start to follow the record, until :meth:`stop`."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop following the record."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None

    def receive_record(self, encoded: bytes) -> bool:
        """Pass on a record that a peer sent.

        :return: whether it was newer than the one held, and adopted.
        """
        result = self._follower.receive_record(encoded, self._clock.now())
        self._apply_adopted()
        return isinstance(result, Adopted)

    async def _run(self) -> None:
        effect = self._follower.start(self._clock.now())
        while True:
            event = await self._perform(effect)
            effect = self._follower.handle(event, self._clock.now())
            self._apply_adopted()

    async def _perform(self, effect: FollowEffect) -> FollowEvent:
        if isinstance(effect, AskPeers):
            return await self._ask_peers(effect.deadline)
        try:
            if isinstance(effect, ListRecord):
                return StoreAnswered(
                    await self._store.list(PRESET_KEY, effect.deadline)
                )
            if isinstance(effect, WatchRecord):
                return StoreAnswered(
                    await self._store.watch(
                        PRESET_KEY, effect.after, effect.deadline
                    )
                )
        except StoreError as exc:
            LOGGER.warning(exc.message, extra={"step": exc.step})
            return StoreCallFailed()
        await asyncio.sleep(max(0.0, effect.at - self._clock.now()))
        return Woken()

    async def _ask_peers(self, deadline: float) -> PeersAnswered:
        wait_s = max(0.0, deadline - self._clock.now())
        try:
            async with asyncio.timeout(wait_s):
                return PeersAnswered(await self._fetch(deadline))
        except (TimeoutError, OSError):
            return PeersAnswered(())

    def _apply_adopted(self) -> None:
        for adopted in self._follower.pop_adopted():
            log_decision(_make_decision(adopted))
            self._adopt(PresetAdopted(adopted.version, adopted.encoded))


def _make_decision(adopted: Adopted) -> Decision:
    record = adopted.record
    last = record.history[-1] if record.history else None
    fields: dict[str, str | int | float] = {
        "version": adopted.version,
        "preset": record.active,
        "drains": len(record.drains),
    }
    if last is None:
        return Decision("preset-adopted", "the first record", fields)
    fields |= {"who": last.who, "change_id": last.change_id}
    return Decision("preset-adopted", last.why, fields)
