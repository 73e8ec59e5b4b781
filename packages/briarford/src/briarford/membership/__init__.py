"""Membership: which entries there are, and which an agent dials."""

from briarford.membership.attachments import choose_entries
from briarford.membership.messages import EntryRecord, entry_key
from briarford.membership.registration import (
    GrantLease,
    Registration,
    RenewLease,
    RevokeLease,
    Wait,
    WriteEntry,
)

__all__ = [
    "EntryRecord",
    "GrantLease",
    "Registration",
    "RenewLease",
    "RevokeLease",
    "Wait",
    "WriteEntry",
    "choose_entries",
    "entry_key",
]
