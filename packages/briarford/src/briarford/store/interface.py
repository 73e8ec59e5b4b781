"""The interface through which processes use the key-value service.

Adapters implement :class:`Store` for one platform each.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

__all__ = ["ChangeStore", "KeyChanges", "KeyListing", "KeyValue", "Store"]


class KeyValue(msgspec.Struct, frozen=True, omit_defaults=True):
    """One key with its value.

    :param key: the key.
    :param value: its value, at most 1 MB.
    :param version: 1 when the key is created, one more with each write.
    :param leased: whether it ends with a lease; False if the store does not
        report it.
    """

    key: str
    value: bytes
    version: int
    leased: bool = False


class KeyListing(msgspec.Struct, frozen=True):
    """All keys under a prefix at one revision of the store.

    :param revision: the revision; a watch continues from it.
    :param items: the keys with their values.
    """

    revision: int
    items: tuple[KeyValue, ...]


class KeyChanges(msgspec.Struct, frozen=True):
    """What has changed under a prefix since a revision of the store.

    :param revision: the revision from which to continue.
    :param written: keys that were written, in the order of the writes.
    :param deleted: keys that were deleted and not written again.
    """

    revision: int
    written: tuple[KeyValue, ...]
    deleted: tuple[str, ...]


class Store(Protocol):
    """A key-value store with compare-and-swap, leases and watches.

    Every call has a deadline in Unix seconds and raises
    :class:`briarford.exceptions.StoreError` if there is no answer by then.
    The ``maybe_applied`` of that error is true if a write may have taken
    effect nevertheless.
    """

    async def get(self, key: str, deadline: float) -> KeyValue | None:
        """Read one key; None if it does not exist."""

    async def list(self, prefix: str, deadline: float) -> KeyListing:
        """Read all keys that start with ``prefix``."""

    async def swap(
        self,
        key: str,
        value: bytes | None,
        expected: int,
        deadline: float,
        lease: str = "",
    ) -> KeyValue | None:
        """Write a key if its version is as expected.

        :param value: the new value; None deletes the key.
        :param expected: version that the key must have; 0 if it must not
            exist.
        :param lease: lease with which the key is deleted when it expires;
            empty for none.
        :return: None if written, else the present key and value (version 0
            if it does not exist).
        """

    async def grant_lease(self, ttl_s: float, deadline: float) -> str:
        """Create a lease that expires ``ttl_s`` seconds after a renewal."""

    async def renew_lease(self, lease: str, deadline: float) -> bool:
        """Renew a lease; False if it has expired."""

    async def revoke_lease(self, lease: str, deadline: float) -> None:
        """End a lease and delete its keys."""

    async def watch(
        self, prefix: str, after: int, deadline: float
    ) -> KeyListing | None:
        """Wait for a change under a prefix after a revision of the store.

        :return: the keys after the change; None if nothing has changed by the
            deadline.
        """


class ChangeStore(Store, Protocol):
    """A store that also reports single changes, and has stale reads."""

    async def write(
        self,
        key: str,
        value: bytes,
        expected: int,
        deadline: float,
        lease: str = "",
    ) -> int:
        """Write a key like :meth:`swap`, and return its new version.

        :return: the version that this write gave the key; 0 if its version
            was not as expected, and nothing was written.
        """

    async def get_stale(self, key: str, deadline: float) -> KeyValue | None:
        """Read one key as it is now or was some seconds ago."""

    async def changes(
        self, prefix: str, after: int, deadline: float
    ) -> KeyChanges | None:
        """Wait for changes under a prefix after a revision of the store.

        :return: the changes, none of them if there was none by the deadline;
            None if the store has forgotten what came after the revision, so
            that all keys have to be listed again.
        """
