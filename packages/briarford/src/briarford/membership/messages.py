"""The record that an entry keeps about itself in the key-value service."""

from __future__ import annotations

from briarford.messages import Message

__all__ = ["ENTRIES_PREFIX", "EntryRecord", "Member", "entry_key"]

ENTRIES_PREFIX = "entries/"


class Member(Message, frozen=True):
    """One process of an entry.

    :param name: the entry's name, the same after a restart.
    :param incarnation: identifies the process; new at each start.
    :param address: host and port at which other entries and agents connect.
    :param zone: the entry's availability zone.
    """

    name: str
    incarnation: str
    address: str
    zone: str = ""

    def is_process(self, name: str, incarnation: str) -> bool:
        """Whether name and incarnation are those of this process."""
        return (self.name, self.incarnation) == (name, incarnation)


class EntryRecord(Message, frozen=True):
    """The value of the key ``entries/<name>``, which has a lease.

    :param member: the registered process.
    :param leaving: whether it is about to stop.
    :param grant: number of the lease, counted by the process. A value that
        was written under a lapsed lease thus differs from the current one.
    """

    member: Member
    leaving: bool = False
    grant: int = 0


def entry_key(name: str) -> str:
    """Return the key under which an entry registers."""
    return ENTRIES_PREFIX + name
