"""The entry view: which entry is the home of which client-chosen id."""

from __future__ import annotations

import hashlib

import msgspec
import xxhash

from briarford.homes.ids import ClientChosenId
from briarford.membership.messages import Member
from briarford.messages import Message, encode

__all__ = ["Departed", "Epoch", "Member", "ViewRecord", "ViewTag"]

VIEW_KEY = "view"
EPOCHS_KEPT_S = 600.0

_DIGEST_BYTES = 8


class Epoch(Message, frozen=True):
    """The entries that are homes of the ids made in a span of time.

    :param effective_at: Unix seconds; ids made later belong to this epoch,
        until the next one.
    :param members: the entries.
    """

    effective_at: float
    members: tuple[Member, ...]

    def find_home(self, client_id: ClientChosenId) -> Member | None:
        """Choose the home of an id by rendezvous hash."""
        return max(
            self.members,
            key=lambda m: (_weight(m.name, client_id.job_id), m.name),
            default=None,
        )


class Departed(Message, frozen=True):
    """An incarnation that is gone for good.

    :param name: the entry's name.
    :param incarnation: its incarnation.
    :param departed_at: Unix seconds at which this was recorded.
    :param successor: the entry that has its finished answers; None after a
        crash.
    """

    name: str
    incarnation: str
    departed_at: float
    successor: Member | None = msgspec.field(default=None, name="heir")


class ViewTag(Message, frozen=True):
    """Names one version of the view and its content.

    :param version: the version in the key-value service.
    :param digest: of the content: a key that was deleted and made again may
        repeat a version.
    """

    version: int
    digest: bytes


class ViewRecord(Message, frozen=True):
    """The value of the key ``view``.

    A change of the members takes two writes. The announcement names the next
    members; from then on entries take no id made after ``holds_until``. The
    activation, computed by an entry that has seen the announcement, adds the
    epoch and says from when it holds. So neither write can land too late.

    :param version: the version of the key that this value is written as.
    :param epochs: oldest first; ids made before the first one are too old.
    :param announced: the next members; None if no change is announced.
    :param holds_until: Unix seconds up to which ids are sure to belong to
        the epochs above, whatever the announced change becomes.
    :param departed: incarnations that are gone for good.
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
        """Name this version and its content."""
        digest = hashlib.blake2b(encode(self), digest_size=_DIGEST_BYTES)
        return ViewTag(self.version, digest.digest())

    def find_epoch(self, client_id: ClientChosenId) -> Epoch | None:
        """Find the epoch of an id; None if the id is older than all."""
        for epoch in reversed(self.epochs):
            if epoch.effective_at < client_id.created_at:
                return epoch
        return None

    def find(self, name: str, incarnation: str) -> Member | None:
        """Find a process among the members of all epochs."""
        known = [m for epoch in self.epochs for m in epoch.members]
        known += self.announced or ()
        for member in known:
            if member.is_process(name, incarnation):
                return member
        return None

    def find_departed(self, name: str, incarnation: str) -> Departed | None:
        """Find the note on an incarnation that is gone."""
        for gone in self.departed:
            if (gone.name, gone.incarnation) == (name, incarnation):
                return gone
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
        """Make the next version, without what is too old to matter."""
        oldest = now - EPOCHS_KEPT_S
        epochs = self.epochs if epochs is None else epochs
        departed = self.departed if departed is None else departed
        return msgspec.structs.replace(
            self,
            version=self.version + 1,
            epochs=_drop_ended(epochs, oldest),
            announced=announced,
            holds_until=holds_until,
            departed=tuple(d for d in departed if d.departed_at > oldest),
        )


def _drop_ended(epochs: tuple[Epoch, ...], oldest: float) -> tuple[Epoch, ...]:
    ended = sum(later.effective_at < oldest for later in epochs[1:])
    return epochs[ended:]


def _weight(name: str, job_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{job_id}".encode())
