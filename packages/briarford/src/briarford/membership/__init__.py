"""Membership: entries register themselves, and agents choose among them.

:class:`Registration` keeps an entry's key in the key-value service under a
lease; :func:`choose_entries` decides which entries an agent connects to.
"""

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
