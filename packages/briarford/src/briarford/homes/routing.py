"""Routes a job id to its home."""

from __future__ import annotations

from dataclasses import dataclass

from briarford.homes.holder import ViewHolder
from briarford.homes.ids import (
    FIRST_SUBMIT_WINDOW_S,
    RECORD_GRACE_S,
    AllocatedId,
    ClientChosenId,
    Home,
    IdAllocator,
    parse_id,
)
from briarford.homes.lease import CLOCK_SKEW_S, VIEW_LEASE_S
from briarford.homes.view import Departed, Member, ViewRecord
from briarford.outcomes import (
    Failed,
    FailureReason,
    RefusalReason,
    Refused,
    Step,
)

__all__ = ["ForwardTo", "Route", "Router", "ServeAsHeir", "ServeHere"]

RETRY_AFTER_S = 1.0
FUTURE_LIMIT_S = VIEW_LEASE_S + 2 * CLOCK_SKEW_S


@dataclass(slots=True, frozen=True)
class ServeHere:
    """The home is here: run the job, or join it if it is known.

    :param remember_until: Unix seconds before which the job must not be
        forgotten.
    """

    remember_until: float


@dataclass(slots=True, frozen=True)
class ServeAsHeir:
    """The home is gone, and its finished answers are here.

    A job that is not among them never ran and must not run now.
    """

    entry: str
    incarnation: str


@dataclass(slots=True, frozen=True)
class ForwardTo:
    """Another entry is the home, or its heir."""

    entry: Member


Route = ServeHere | ServeAsHeir | ForwardTo | Refused | Failed


class Router:
    """Routes ids of which this entry holds no job.

    :param holder: the view of this entry.
    :param id_allocator: the allocator of the ids of this entry.
    """

    __slots__ = ("_holder", "_id_allocator", "_latest", "_peers", "me")

    def __init__(self, holder: ViewHolder, id_allocator: IdAllocator) -> None:
        self._holder = holder
        self.me = holder.me
        self._id_allocator = id_allocator
        self._latest = 0.0
        self._peers: dict[tuple[str, str], Member] = {}

    def set_peers(self, peers: tuple[Member, ...]) -> None:
        """Say which entries are registered; some are not in the view yet."""
        self._peers = {(m.name, m.incarnation): m for m in peers}

    def route(self, job_id: str, now: float) -> Route:
        """Decide where an id belongs that this entry holds no job of.

        A refusal is given only if no entry can have run the job.
        """
        now = self._advance(now)
        parsed = parse_id(job_id)
        if isinstance(parsed, AllocatedId):
            return self._route_minted(job_id, parsed, now)
        if isinstance(parsed, ClientChosenId):
            return self._route_client(parsed, now)
        return self._refuse(
            RefusalReason.ID_INVALID,
            "the id is neither a minted one nor a UUIDv7 in canonical form",
        )

    def can_forget(self, remember_until: float, now: float) -> bool:
        """Whether the record of a finished job may be dropped."""
        return self._advance(now) >= remember_until

    def _route_minted(
        self, job_id: str, minted: AllocatedId, now: float
    ) -> Route:
        verdict = self._id_allocator.check(job_id, now)
        if not isinstance(verdict, Home):
            return verdict
        if self.me.is_process(verdict.entry, verdict.incarnation):
            return ServeHere(verdict.remember_until)
        route = self._reach(minted.entry, minted.incarnation, now)
        if isinstance(route, ForwardTo | ServeAsHeir):
            return route
        if now >= verdict.remember_until + 2 * CLOCK_SKEW_S:
            return self._too_old()
        return route

    def _route_client(self, client_id: ClientChosenId, now: float) -> Route:
        created_at = client_id.created_at
        if self._is_from_future(client_id, now):
            return self._refuse(
                RefusalReason.ID_INVALID,
                "the id was made in the future; set the client's clock",
            )
        remember_until = created_at + FIRST_SUBMIT_WINDOW_S + RECORD_GRACE_S
        if now >= remember_until + 2 * CLOCK_SKEW_S:
            return self._too_old()
        record = self._holder.record
        if record is None or created_at > self._holder.lease.known_until:
            return self._route_uncertain(record, client_id, now)
        epoch = record.find_epoch(client_id)
        owner = epoch.find_home(client_id) if epoch is not None else None
        if owner is None:
            return self._lost("", "no entry was a home when the id was made")
        if not self._is_me(owner):
            return self._reach(owner.name, owner.incarnation, now)
        return self._serve(client_id, remember_until, now)

    def _is_from_future(self, client_id: ClientChosenId, now: float) -> bool:
        """Whether no entry can have run the id yet, by a checked clock."""
        if not self._holder.clocks.is_own_clock_trusted():
            return False
        return client_id.created_at > now + FUTURE_LIMIT_S

    def _serve(
        self, client_id: ClientChosenId, remember_until: float, now: float
    ) -> Route:
        if now < client_id.created_at + FIRST_SUBMIT_WINDOW_S:
            return ServeHere(remember_until)
        if now < remember_until:
            return self._refuse(
                RefusalReason.ID_EXPIRED,
                "the id expired before its first submission; make another",
            )
        return self._too_old()

    def _route_uncertain(
        self, record: ViewRecord | None, client_id: ClientChosenId, now: float
    ) -> Route:
        """Route an id that a later epoch may own.

        The presumed owner may know more. If it is this entry, nothing is
        started, and that another entry has not run the job is not certain
        either.
        """
        epoch = record.find_epoch(client_id) if record is not None else None
        owner = epoch.find_home(client_id) if epoch is not None else None
        if owner is not None and not self._is_me(owner):
            return self._reach(owner.name, owner.incarnation, now)
        return Failed(
            FailureReason.HOME_UNREACHABLE,
            "the view of the entries is not confirmed; nothing was started "
            "here; repeat the same id, or use a minted one",
            Step.SUBMIT,
            self.me.name,
            retry_at=now + RETRY_AFTER_S,
        )

    def _reach(self, name: str, incarnation: str, now: float) -> Route:
        gone = self._find_departed(name, incarnation)
        if gone is not None:
            return self._reach_heir(gone)
        record = self._holder.record
        member = self._peers.get((name, incarnation))
        if member is None and record is not None:
            member = record.find(name, incarnation)
        if member is not None:
            return ForwardTo(member)
        return Failed(
            FailureReason.HOME_UNREACHABLE,
            "the home of the job is not known here",
            Step.FORWARD,
            name,
            retry_at=now + RETRY_AFTER_S,
        )

    def _reach_heir(self, gone: Departed) -> Route:
        """Follow the heirs; each passes on what it has inherited."""
        followed = {gone}
        last = gone
        while last.successor is not None:
            heir = last.successor
            if self._is_me(heir):
                return ServeAsHeir(gone.name, gone.incarnation)
            left = self._find_departed(heir.name, heir.incarnation)
            if left is None:
                return ForwardTo(heir)
            if left in followed:
                break
            followed.add(left)
            last = left
        return self._lost(last.name, "the home of the job is gone")

    def _find_departed(self, name: str, incarnation: str) -> Departed | None:
        record = self._holder.record
        return record.find_departed(name, incarnation) if record else None

    def _is_me(self, member: Member) -> bool:
        return self.me.is_process(member.name, member.incarnation)

    def _advance(self, now: float) -> float:
        self._latest = max(self._latest, now)
        return self._latest

    def _lost(self, peer: str, detail: str) -> Failed:
        return Failed(FailureReason.HOME_LOST, detail, Step.FORWARD, peer)

    def _too_old(self) -> Failed:
        return Failed(
            FailureReason.ANSWER_DROPPED,
            "the id is so old that the record of its job is no longer kept",
            Step.SUBMIT,
            self.me.name,
        )

    def _refuse(self, reason: RefusalReason, detail: str) -> Refused:
        return Refused(reason, detail, Step.SUBMIT, self.me.name)
