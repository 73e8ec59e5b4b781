"""What an entry keeps about itself in the key-value service."""

from __future__ import annotations

from briarford.messages import Message

__all__ = ["ENTRIES_PREFIX", "EntryRecord", "Member", "entry_key"]

ENTRIES_PREFIX = "entries/"


class Member(Message, frozen=True):
    """One entry process.

    :param name: the entry's name.
    :param incarnation: differs each time the entry's process starts.
    :param address: host and port for other entries and agents.
    :param zone: its availability zone.
    """

    name: str
    incarnation: str
    address: str
    zone: str = ""

    def is_process(self, name: str, incarnation: str) -> bool:
        """Whether this is that incarnation of that entry."""
        return (self.name, self.incarnation) == (name, incarnation)


class EntryRecord(Message, frozen=True):
    """The value of the key ``entries/<name>``, held under a lease.

    :param member: the entry.
    :param leaving: whether it is about to stop.
    :param grant: rises with each lease, so that a value that was written
        under a lapsed lease is not taken for the current one.
    """

    member: Member
    leaving: bool = False
    grant: int = 0


def entry_key(name: str) -> str:
    """Return the key under which an entry registers."""
    return ENTRIES_PREFIX + name
