"""The interface to the platform's key-value service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

__all__ = ["KeyListing", "KeyValue", "Store"]


@dataclass(slots=True, frozen=True)
class KeyValue:
    """One key with its value.

    :param key: the key.
    :param value: at most 1 MB.
    :param version: 1 when the key is made, one more with each write.
    """

    key: str
    value: bytes
    version: int


@dataclass(slots=True, frozen=True)
class KeyListing:
    """All keys under a prefix at one revision of the store."""

    revision: int
    items: tuple[KeyValue, ...]


class Store(Protocol):
    """Compare-and-swap, leases and watches.

    Every call has a deadline in Unix seconds and raises
    :class:`briarford.exceptions.StoreError` if there is no answer by then;
    its ``maybe_applied`` tells whether a write may have taken effect.
    """

    async def get(self, key: str, deadline: float) -> KeyValue | None:
        """Read one key; None if there is none."""

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
        :param expected: version that must be there; 0 if no key must be.
        :param lease: the key goes when this lease lapses; empty for none.
        :return: None if written, else what is there (version 0 if no key).
        """

    async def grant_lease(self, ttl_s: float, deadline: float) -> str:
        """Make a lease that lapses ``ttl_s`` seconds after a renewal."""

    async def renew_lease(self, lease: str, deadline: float) -> bool:
        """Renew a lease; False if it has lapsed."""

    async def revoke_lease(self, lease: str, deadline: float) -> None:
        """End a lease and delete its keys."""

    async def watch(
        self, prefix: str, after: int, deadline: float
    ) -> KeyListing | None:
        """Wait for a change under a prefix after a revision.

        :return: the new listing; None if nothing changed by the deadline.
        """
