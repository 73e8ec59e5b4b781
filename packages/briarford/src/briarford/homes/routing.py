"""Routes a job id to its home, the only process that may run the job.

A refusal is returned only if no entry can have run the job. If an entry may
have run it, the answer is a failure.
"""

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
# No lease on a view reaches further into the future, so no entry can have run
# the job of an id whose creation time is further ahead.
MAX_CREATION_LEAD_S = VIEW_LEASE_S + 2 * CLOCK_SKEW_S


@dataclass(slots=True, frozen=True)
class ServeHere:
    """The home is here: run the job, or join it if it was submitted before.

    The name of the class is part of the log event ``job-routed:ServeHere``.

    :param remember_until: Unix seconds before which the record of the job
        must be kept.
    """

    remember_until: float


@dataclass(slots=True, frozen=True)
class ServeAsHeir:
    """The home has stopped, and this entry is its successor.

    Its ended jobs were transferred here. A job that is not among them did
    not run, and must not run now.

    The class is not named after the successor, as its name is part of the
    log event ``job-routed:ServeAsHeir``.

    :param entry: the name of the home.
    :param incarnation: its incarnation.
    """

    entry: str
    incarnation: str


@dataclass(slots=True, frozen=True)
class ForwardTo:
    """Another entry is the home, or the successor of the home.

    The name of the class is part of the log event ``job-routed:ForwardTo``.

    :param entry: the entry to which the request must be forwarded.
    """

    entry: Member


Route = ServeHere | ServeAsHeir | ForwardTo | Refused | Failed


class Router:
    """Finds the home of an id under which this entry has no job.

    :param holder: the view of this entry.
    :param id_allocator: allocates and checks the ids of this entry.
    """

    __slots__ = ("_holder", "_id_allocator", "_latest_time", "_peers", "me")

    def __init__(self, holder: ViewHolder, id_allocator: IdAllocator) -> None:
        self._holder = holder
        self.me = holder.me
        self._id_allocator = id_allocator
        self._latest_time = 0.0
        self._peers: dict[tuple[str, str], Member] = {}

    def set_peers(self, peers: tuple[Member, ...]) -> None:
        """Replace the registered entries.

        Ids that these have allocated can be forwarded before the view names
        them as members.
        """
        self._peers = {(m.name, m.incarnation): m for m in peers}

    def route(self, job_id: str, now: float) -> Route:
        """Decide which process answers for an id.

        A refusal is returned only if no entry can have run the job.

        :param job_id: an id under which this entry has no job.
        :param now: Unix seconds.
        """
        now = self._advance_clock(now)
        parsed = parse_id(job_id)
        if isinstance(parsed, AllocatedId):
            return self._route_allocated(job_id, parsed, now)
        if isinstance(parsed, ClientChosenId):
            return self._route_client_chosen(parsed, now)
        return self._refuse(
            RefusalReason.ID_INVALID,
            "the id is neither a minted one nor a UUIDv7 in canonical form",
        )

    def can_forget(self, remember_until: float, now: float) -> bool:
        """Whether the record of an ended job may be dropped."""
        return self._advance_clock(now) >= remember_until

    def _route_allocated(
        self, job_id: str, allocated: AllocatedId, now: float
    ) -> Route:
        """Route an id that names its home."""
        home = self._id_allocator.check(job_id, now)
        if not isinstance(home, Home):
            return home
        if self.me.is_process(home.entry, home.incarnation):
            return ServeHere(home.remember_until)
        route = self._route_to_process(
            allocated.entry, allocated.incarnation, now
        )
        if isinstance(route, ForwardTo | ServeAsHeir):
            return route
        if now >= home.remember_until + 2 * CLOCK_SKEW_S:
            return self._fail_too_old()
        return route

    def _route_client_chosen(
        self, client_id: ClientChosenId, now: float
    ) -> Route:
        """Route a client-chosen id to its home in the epoch of its creation.

        If the lease on the view does not cover the creation time, that epoch
        is not certain yet.
        """
        created_at = client_id.created_at
        if self._is_from_future(client_id, now):
            return self._refuse(
                RefusalReason.ID_INVALID,
                "the id was made in the future; set the client's clock",
            )
        remember_until = created_at + FIRST_SUBMIT_WINDOW_S + RECORD_GRACE_S
        if now >= remember_until + 2 * CLOCK_SKEW_S:
            return self._fail_too_old()
        record = self._holder.record
        if record is None or created_at > self._holder.lease.known_until:
            return self._route_unconfirmed(record, client_id, now)
        epoch = record.find_epoch(client_id)
        home_entry = epoch.find_home(client_id) if epoch is not None else None
        if home_entry is None:
            return self._fail_home_lost(
                "", "no entry was a home when the id was made"
            )
        if not self._is_me(home_entry):
            return self._route_to_process(
                home_entry.name, home_entry.incarnation, now
            )
        return self._route_here(client_id, remember_until, now)

    def _is_from_future(self, client_id: ClientChosenId, now: float) -> bool:
        """Whether the id was created too far ahead for any entry to accept.

        Never true if the own clock is not trusted.
        """
        if not self._holder.clocks.is_own_clock_trusted():
            return False
        return client_id.created_at > now + MAX_CREATION_LEAD_S

    def _route_here(
        self, client_id: ClientChosenId, remember_until: float, now: float
    ) -> Route:
        if now < client_id.created_at + FIRST_SUBMIT_WINDOW_S:
            return ServeHere(remember_until)
        if now < remember_until:
            return self._refuse(
                RefusalReason.ID_EXPIRED,
                "the id expired before its first submission; make another",
            )
        return self._fail_too_old()

    def _route_unconfirmed(
        self, record: ViewRecord | None, client_id: ClientChosenId, now: float
    ) -> Route:
        """Route an id that may belong to an epoch not known here.

        The home by the view held here may have a newer view, so the request
        is forwarded to it. If that home is this entry, it starts nothing. It
        does not refuse the id either, as another entry may have run the job.
        """
        epoch = record.find_epoch(client_id) if record is not None else None
        home_entry = epoch.find_home(client_id) if epoch is not None else None
        if home_entry is not None and not self._is_me(home_entry):
            return self._route_to_process(
                home_entry.name, home_entry.incarnation, now
            )
        return Failed(
            FailureReason.HOME_UNREACHABLE,
            "the view of the entries is not confirmed; nothing was started "
            "here; repeat the same id, or use a minted one",
            Step.SUBMIT,
            self.me.name,
            retry_at=now + RETRY_AFTER_S,
        )

    def _route_to_process(
        self, name: str, incarnation: str, now: float
    ) -> Route:
        """Route to another process, or to its successor if it has departed."""
        departure = self._find_departed(name, incarnation)
        if departure is not None:
            return self._route_to_successor(departure)
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

    def _route_to_successor(self, home: Departed) -> Route:
        """Follow the successors up to the first that has not departed.

        A successor that has stopped as well may have named one of its own, to
        which it has also transferred the jobs that were transferred to it.
        The home is lost if the last one has crashed or if they form a circle.
        """
        followed = {home}
        last = home
        while last.successor is not None:
            entry = last.successor
            if self._is_me(entry):
                return ServeAsHeir(home.name, home.incarnation)
            departure = self._find_departed(entry.name, entry.incarnation)
            if departure is None:
                return ForwardTo(entry)
            if departure in followed:
                break
            followed.add(departure)
            last = departure
        return self._fail_home_lost(last.name, "the home of the job is gone")

    def _find_departed(self, name: str, incarnation: str) -> Departed | None:
        record = self._holder.record
        return record.find_departed(name, incarnation) if record else None

    def _is_me(self, member: Member) -> bool:
        return self.me.is_process(member.name, member.incarnation)

    def _advance_clock(self, now: float) -> float:
        """Return the latest time seen, also if the clock was set back."""
        self._latest_time = max(self._latest_time, now)
        return self._latest_time

    def _fail_home_lost(self, peer: str, detail: str) -> Failed:
        return Failed(FailureReason.HOME_LOST, detail, Step.FORWARD, peer)

    def _fail_too_old(self) -> Failed:
        return Failed(
            FailureReason.ANSWER_DROPPED,
            "the id is so old that the record of its job is no longer kept",
            Step.SUBMIT,
            self.me.name,
        )

    def _refuse(self, reason: RefusalReason, detail: str) -> Refused:
        return Refused(reason, detail, Step.SUBMIT, self.me.name)
