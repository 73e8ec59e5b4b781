"""Keeps one entry registered under a lease of the key-value service."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from briarford.membership.messages import EntryRecord, Member, entry_key
from briarford.messages import decode, encode
from briarford.store.interface import KeyValue

__all__ = [
    "GrantLease",
    "Registration",
    "RenewLease",
    "RevokeLease",
    "Step",
    "Wait",
    "WriteEntry",
]

REGISTRATION_TTL_S = 5.0
RENEWALS_PER_TTL = 3
RETRY_AFTER_S = 0.5


@dataclass(slots=True, frozen=True)
class GrantLease:
    """Ask the store for a lease."""

    ttl_s: float


@dataclass(slots=True, frozen=True)
class RenewLease:
    """Renew the lease."""

    lease: str


@dataclass(slots=True, frozen=True)
class WriteEntry:
    """Write the entry's key by compare-and-swap."""

    key: str
    value: bytes
    expected: int
    lease: str


@dataclass(slots=True, frozen=True)
class RevokeLease:
    """End the lease: the entry is gone, or was replaced."""

    lease: str


@dataclass(slots=True, frozen=True)
class Wait:
    """Do nothing until a time.

    :param until: Unix seconds; None if there is nothing left to do.
    """

    until: float | None


Step = GrantLease | RenewLease | WriteEntry | RevokeLease | Wait


class Registration:
    """Decides the next call to the store; one call is open at a time.

    A lease counts from before the call that granted or renewed it, so after
    a pause the entry finds it lapsed no later than the store does, and asks
    for a new one instead of acting on it.

    :param me: this entry.
    """

    __slots__ = (
        "_ended",
        "_expected",
        "_lease",
        "_lease_until",
        "_record",
        "_retry_at",
        "_written",
        "replaced",
    )

    def __init__(self, me: Member) -> None:
        self._record = EntryRecord(me)
        self._lease = ""
        self._lease_until = 0.0
        self._expected = 0
        self._written: EntryRecord | None = None
        self._retry_at = 0.0
        self._ended = False
        self.replaced = False

    def is_registered(self, now: float) -> bool:
        """Whether this entry is registered and its lease has not lapsed."""
        return self._written is not None and self._has_lease(now)

    def mark_leaving(self) -> None:
        """Say in the registration that this entry is about to stop."""
        self._record = msgspec.structs.replace(self._record, leaving=True)

    def withdraw(self) -> None:
        """Withdraw the registration."""
        self._ended = True

    def next_step(self, now: float) -> Step:
        """Return the call that is due."""
        if now < self._retry_at:
            return Wait(self._retry_at)
        if self._ended or self.replaced:
            return RevokeLease(self._lease) if self._lease else Wait(None)
        if not self._has_lease(now):
            self._drop_lease()
            return GrantLease(REGISTRATION_TTL_S)
        if self._written != self._record:
            return self._write()
        renew_at = self._renew_at()
        if now >= renew_at:
            return RenewLease(self._lease)
        return Wait(renew_at)

    def on_lease_granted(self, lease: str, asked_at: float) -> None:
        """Take in a new lease.

        :param asked_at: Unix seconds before the call was sent.
        """
        self._lease = lease
        self._record = msgspec.structs.replace(
            self._record, grant=self._record.grant + 1
        )
        self._lease_until = asked_at + REGISTRATION_TTL_S

    def on_lease_renewed(self, alive: bool, asked_at: float) -> None:
        """Take in the answer to a renewal."""
        if not alive:
            self._drop_lease()
            return
        self._lease_until = asked_at + REGISTRATION_TTL_S

    def on_entry_written(self, found: KeyValue | None) -> None:
        """Take in the answer to a write.

        :param found: None if it was written, else what is there instead.
        """
        if found is None:
            self._accept(self._expected + 1)
        elif found.value == encode(self._record):
            self._accept(found.version)
        elif self._written is not None and self._is_foreign(found):
            self.replaced = True
        else:
            self._expected = found.version

    def on_lease_revoked(self) -> None:
        """Take in that the lease has ended."""
        self._drop_lease()

    def on_call_failed(self, now: float) -> None:
        """Take in that a call gave no usable answer."""
        self._retry_at = now + RETRY_AFTER_S

    def _accept(self, version: int) -> None:
        self._expected = version
        self._written = self._record

    def _has_lease(self, now: float) -> bool:
        return bool(self._lease) and now < self._lease_until

    def _renew_at(self) -> float:
        spare = REGISTRATION_TTL_S * (1 - 1 / RENEWALS_PER_TTL)
        return self._lease_until - spare

    def _drop_lease(self) -> None:
        self._lease = ""
        self._written = None
        self._expected = 0

    def _write(self) -> WriteEntry:
        return WriteEntry(
            entry_key(self._record.member.name),
            encode(self._record),
            self._expected,
            self._lease,
        )

    def _is_foreign(self, found: KeyValue) -> bool:
        if not found.value:
            return False
        other = decode(found.value, EntryRecord).member
        return other.incarnation != self._record.member.incarnation
