"""Keeps an entry registered in the key-value service.

The entry's key exists as long as its lease: if the process dies, the key
goes when the lease lapses. This module decides on the calls; the caller makes
them and reports the answers.
"""

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
RETRY_DELAY_S = 0.5


@dataclass(slots=True, frozen=True)
class GrantLease:
    """Ask the store for a new lease.

    :param ttl_s: seconds after which it lapses unless renewed.
    """

    ttl_s: float


@dataclass(slots=True, frozen=True)
class RenewLease:
    """Renew the current lease."""

    lease: str


@dataclass(slots=True, frozen=True)
class WriteEntry:
    """Write the entry's key by compare-and-swap.

    :param value: the encoded :class:`EntryRecord`.
    :param expected: version that the key must have; 0 if it must not exist.
    :param lease: the lease with which the key is to go.
    """

    key: str
    value: bytes
    expected: int
    lease: str


@dataclass(slots=True, frozen=True)
class RevokeLease:
    """End the lease: the entry stops, or a new process has replaced it."""

    lease: str


@dataclass(slots=True, frozen=True)
class Wait:
    """Make no call until a time.

    :param until: Unix seconds; None if no call will follow.
    """

    until: float | None


Step = GrantLease | RenewLease | WriteEntry | RevokeLease | Wait


class Registration:
    """Decides the next call to the store; one call is in flight at a time.

    The term of a lease is counted from before the call that granted or
    renewed it was sent. So after a pause of the process, the entry finds the
    lease lapsed no later than the store does, and asks for a new one instead
    of relying on the old one.

    :param me: this process.
    """

    __slots__ = (
        "_expected_version",
        "_lease",
        "_lease_expires_at",
        "_record",
        "_retry_at",
        "_stored",
        "_withdrawn",
        "replaced",
    )

    def __init__(self, me: Member) -> None:
        self._record = EntryRecord(me)
        self._lease = ""
        self._lease_expires_at = 0.0
        self._expected_version = 0
        self._stored: EntryRecord | None = None
        self._retry_at = 0.0
        self._withdrawn = False
        self.replaced = False

    def is_registered(self, now: float) -> bool:
        """Whether this entry is registered and its lease has not lapsed."""
        return self._stored is not None and self._has_lease(now)

    def mark_leaving(self) -> None:
        """Mark the record: this entry is about to stop."""
        self._record = msgspec.structs.replace(self._record, leaving=True)

    def withdraw(self) -> None:
        """End the registration: the next call revokes the lease."""
        self._withdrawn = True

    def next_step(self, now: float) -> Step:
        """Return the call that is due, or until when none is.

        :param now: Unix seconds.
        """
        if now < self._retry_at:
            return Wait(self._retry_at)
        if self._withdrawn or self.replaced:
            return RevokeLease(self._lease) if self._lease else Wait(None)
        if not self._has_lease(now):
            self._forget_lease()
            return GrantLease(REGISTRATION_TTL_S)
        if self._stored != self._record:
            return self._make_write()
        renew_at = self._renew_at()
        if now >= renew_at:
            return RenewLease(self._lease)
        return Wait(renew_at)

    def on_lease_granted(self, lease: str, asked_at: float) -> None:
        """Use a new lease; the record is written again under it.

        :param lease: id of the lease.
        :param asked_at: Unix seconds before the call was sent.
        """
        self._lease = lease
        self._record = msgspec.structs.replace(
            self._record, grant=self._record.grant + 1
        )
        self._lease_expires_at = asked_at + REGISTRATION_TTL_S

    def on_lease_renewed(self, alive: bool, asked_at: float) -> None:
        """Extend the lease, or forget it if the store no longer has it.

        :param alive: whether the store renewed the lease.
        :param asked_at: Unix seconds before the call was sent.
        """
        if not alive:
            self._forget_lease()
            return
        self._lease_expires_at = asked_at + REGISTRATION_TTL_S

    def on_entry_written(self, found: KeyValue | None) -> None:
        """Process the answer to a write of the entry's key.

        The key may hold this record already, if the answer to an earlier
        write was lost. If it holds another incarnation although this one had
        written it under its present lease, a new process of the same name has
        replaced this one. Any other content is overwritten by the next write.

        :param found: None if the key was written; otherwise the key as it is
            in the store.
        """
        if found is None:
            self._confirm_write(self._expected_version + 1)
        elif found.value == encode(self._record):
            self._confirm_write(found.version)
        elif self._stored is not None and self._is_other_incarnation(found):
            self.replaced = True
        else:
            self._expected_version = found.version

    def on_lease_revoked(self) -> None:
        """Forget the lease, which the store has ended."""
        self._forget_lease()

    def on_call_failed(self, now: float) -> None:
        """Delay the next call, as the last one got no usable answer.

        :param now: Unix seconds.
        """
        self._retry_at = now + RETRY_DELAY_S

    def _confirm_write(self, version: int) -> None:
        """Note that the store has the current record, and its version."""
        self._expected_version = version
        self._stored = self._record

    def _has_lease(self, now: float) -> bool:
        return bool(self._lease) and now < self._lease_expires_at

    def _renew_at(self) -> float:
        """Return when a third of the lease's term has passed."""
        remaining_s = REGISTRATION_TTL_S * (1 - 1 / RENEWALS_PER_TTL)
        return self._lease_expires_at - remaining_s

    def _forget_lease(self) -> None:
        """Forget the lease, and with it the key that was held under it."""
        self._lease = ""
        self._stored = None
        self._expected_version = 0

    def _make_write(self) -> WriteEntry:
        return WriteEntry(
            entry_key(self._record.member.name),
            encode(self._record),
            self._expected_version,
            self._lease,
        )

    def _is_other_incarnation(self, found: KeyValue) -> bool:
        """Whether a key holds the record of another incarnation."""
        if not found.value:
            return False
        other = decode(found.value, EntryRecord).member
        return other.incarnation != self._record.member.incarnation
