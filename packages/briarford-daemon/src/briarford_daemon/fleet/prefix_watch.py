"""Follows the keys under a prefix of the key-value service.

The service may fail, lose the answer to a call, forget its history, or drop
changes without notice. The keys are therefore listed again after each failed
call and periodically, and their changes followed in between.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

import msgspec

from briarford.exceptions import StoreError
from briarford.store import ChangeStore, KeyChanges, KeyListing
from briarford_daemon.fleet.clock import BootClock

__all__ = ["PrefixFollower", "PrefixWatch", "WatchPace"]

LOGGER = logging.getLogger("briarford.registry")

T = TypeVar("T", KeyListing, KeyChanges)

# A call takes 4 ms, and 50 times as long while the service is slow.
CALL_TIMEOUT_S = 0.8


class WatchPace(msgspec.Struct, frozen=True):
    """How often a prefix is read.

    :param wait_s: longest wait for a change, in seconds.
    :param relist_s: seconds from one listing to the next; 0 to list the keys
        at each read, without waiting for changes.
    :param retry_s: seconds until the next read after a failed one.
    :param retry_at_once: whether the first retry follows at once: the
        connection of a watch may be broken while the service answers on
        others.
    """

    wait_s: float
    relist_s: float
    retry_s: float
    retry_at_once: bool


class PrefixFollower(Protocol):
    """What is done with the keys of a prefix."""

    def listed(self, listing: KeyListing) -> None:
        """Process a listing of all keys."""

    def changed(self, changes: KeyChanges) -> None:
        """Process what a wait for changes returned, also if nothing."""


class PrefixWatch:
    """Lists the keys under a prefix, and then follows their changes.

    :param store: client of the key-value service.
    :param clock: clock of the process.
    :param prefix: the beginning of the keys.
    :param pace: how often they are read.
    :param followers: get the listings and the changes.
    :param gap_s: returns the seconds between two reads at a time.
    :param on_failure: called after each failed read but the first of a row.
    """

    def __init__(
        self,
        store: ChangeStore,
        clock: BootClock,
        prefix: str,
        pace: WatchPace,
        followers: Sequence[PrefixFollower],
        gap_s: Callable[[float], float] | None = None,
        on_failure: Callable[[], None] | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._prefix = prefix
        self._pace = pace
        self._followers = followers
        self._gap_s = gap_s
        self._on_failure = on_failure
        self._revision: int | None = None
        self._relist_at = 0.0
        self._failed = False

    async def run(self) -> None:
        """Follow the keys until cancelled; a failed call is only logged."""
        while True:
            try:
                await self._read()
            except StoreError as exc:
                LOGGER.debug(
                    "keys-not-read",
                    extra={"prefix": self._prefix, "error": exc.message},
                )
                if self._failed and self._on_failure is not None:
                    self._on_failure()
                if self._failed or not self._pace.retry_at_once:
                    await asyncio.sleep(self._pace.retry_s)
                self._failed = True
                self._revision = None
            else:
                self._failed = False
                if self._gap_s is not None:
                    await asyncio.sleep(self._gap_s(self._clock.now()))

    async def _read(self) -> None:
        """List the keys if that is due, else wait for changes."""
        now = self._clock.now()
        if self._revision is None or now >= self._relist_at:
            listing = await self._store.list(
                self._prefix, now + CALL_TIMEOUT_S
            )
            self._revision = listing.revision
            self._relist_at = now + self._pace.relist_s
            for follower in self._followers:
                self._pass_on(follower.listed, listing)
            return
        changes = await self._store.changes(
            self._prefix, self._revision, now + self._pace.wait_s
        )
        if changes is None:
            self._revision = None
            return
        self._revision = changes.revision
        for follower in self._followers:
            self._pass_on(follower.changed, changes)

    def _pass_on(self, receive: Callable[[T], None], read: T) -> None:
        """Pass on what was read; the other followers and reads go on."""
        try:
            receive(read)
        except Exception:
            LOGGER.exception("read-failed", extra={"prefix": self._prefix})
