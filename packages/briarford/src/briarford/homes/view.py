"""The view: which entry is the home of which client-chosen id.

The view is a record in the key-value service. It lists epochs, each with the
entries that were homes from a point in time on. An id belongs to the epoch in
which it was created, so its home does not change when entries join or leave.
"""

from __future__ import annotations

import hashlib

import msgspec
import xxhash

from briarford.homes.ids import ClientChosenId
from briarford.membership.messages import Member
from briarford.messages import Message, encode

__all__ = ["Departed", "Epoch", "Member", "ViewRecord", "ViewTag"]

VIEW_KEY = "view"
# How long the record lists epochs that have ended and departed incarnations.
EPOCHS_KEPT_S = 600.0

_DIGEST_BYTES = 8


class Epoch(Message, frozen=True):
    """The entries that are homes of the ids created in a span of time.

    :param effective_at: Unix seconds; ids created later belong to this epoch,
        up to the start of the next one.
    :param members: the entries.
    """

    effective_at: float
    members: tuple[Member, ...]

    def find_home(self, client_id: ClientChosenId) -> Member | None:
        """Choose the home of an id by rendezvous hashing.

        An epoch with one member fewer thus gives a new home only to the ids
        of that member.

        :return: None if the epoch has no members.
        """
        return max(
            self.members,
            key=lambda m: (_hash_weight(m.name, client_id.job_id), m.name),
            default=None,
        )


class Departed(Message, frozen=True):
    """A process of an entry that has stopped, or counts as lost.

    :param name: the entry's name.
    :param incarnation: the incarnation of the process.
    :param departed_at: Unix seconds at which this was recorded.
    :param successor: the entry to which it has transferred its ended jobs;
        None if it has crashed or was lost.
    """

    name: str
    incarnation: str
    departed_at: float
    successor: Member | None = msgspec.field(default=None, name="heir")


class ViewTag(Message, frozen=True):
    """Identifies a view record without carrying it.

    :param version: the version of the record.
    :param digest: of the content, as a version may be repeated if the key
        was deleted and created again.
    """

    version: int
    digest: bytes


class ViewRecord(Message, frozen=True):
    """The value of the key ``view``.

    A change of the members takes two writes. The announcement names the next
    members; an entry that has seen it accepts no id created after
    ``holds_until``. The activation, computed by an entry that has seen the
    announcement, adds the epoch with its start. A write may take effect long
    after it was sent, but neither does harm then: the start is computed only
    after the announcement is in the store, and until the activation is, the
    entries accept no id beyond ``holds_until``.

    :param version: the version of the key that this value is written as.
    :param epochs: oldest first; ids created before the first one are too old.
    :param announced: the next members; None if no change is announced.
    :param holds_until: Unix seconds; the epoch of an announced change starts
        no earlier, so ids created up to then belong to the listed epochs.
    :param departed: incarnations that have stopped or count as lost.
    """

    version: int
    epochs: tuple[Epoch, ...]
    announced: tuple[Member, ...] | None = None
    holds_until: float = 0.0
    departed: tuple[Departed, ...] = ()

    @property
    def members(self) -> tuple[Member, ...]:
        """The members of the newest epoch."""
        return self.epochs[-1].members

    def tag(self) -> ViewTag:
        """Return the version and a digest of the content."""
        digest = hashlib.blake2b(encode(self), digest_size=_DIGEST_BYTES)
        return ViewTag(self.version, digest.digest())

    def find_epoch(self, client_id: ClientChosenId) -> Epoch | None:
        """Find the epoch in which an id was created; None if before all."""
        for epoch in reversed(self.epochs):
            if epoch.effective_at < client_id.created_at:
                return epoch
        return None

    def find(self, name: str, incarnation: str) -> Member | None:
        """Find a process among the members of all epochs and the next one."""
        known = [m for epoch in self.epochs for m in epoch.members]
        known += self.announced or ()
        for member in known:
            if member.is_process(name, incarnation):
                return member
        return None

    def find_departed(self, name: str, incarnation: str) -> Departed | None:
        """Find the departure of an incarnation; None if it is not recorded."""
        for departure in self.departed:
            if (departure.name, departure.incarnation) == (name, incarnation):
                return departure
        return None

    def make_next(
        self,
        *,
        now: float,
        epochs: tuple[Epoch, ...] | None = None,
        announced: tuple[Member, ...] | None = None,
        holds_until: float = 0.0,
        departed: tuple[Departed, ...] | None = None,
    ) -> ViewRecord:
        """Make the next version of the record.

        It leaves out epochs that ended, and departures that were recorded,
        more than ``EPOCHS_KEPT_S`` ago.

        :param now: Unix seconds.
        :param epochs: the epochs; those of this version if None.
        :param announced: the next members; None if no change is announced.
        :param holds_until: see :class:`ViewRecord`.
        :param departed: the departures; those of this version if None.
        """
        oldest = now - EPOCHS_KEPT_S
        epochs = self.epochs if epochs is None else epochs
        departed = self.departed if departed is None else departed
        return msgspec.structs.replace(
            self,
            version=self.version + 1,
            epochs=_drop_old_epochs(epochs, oldest),
            announced=announced,
            holds_until=holds_until,
            departed=tuple(d for d in departed if d.departed_at > oldest),
        )


def _drop_old_epochs(
    epochs: tuple[Epoch, ...], oldest: float
) -> tuple[Epoch, ...]:
    # An epoch ends when the next one starts.
    dropped = sum(later.effective_at < oldest for later in epochs[1:])
    return epochs[dropped:]


def _hash_weight(name: str, job_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{job_id}".encode())
