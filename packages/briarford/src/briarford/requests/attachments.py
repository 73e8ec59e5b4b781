"""The agents that an entry knows and its connections to them.

If each entry were attached to all agents, the heartbeats and status messages
of a process would grow with the fleet. An entry is therefore attached to a
bounded number of agents of each service, chosen by rendezvous hash. It
replaces agents that do not answer by others, and attaches to more agents for
some time when its tasks find no free capacity.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from collections.abc import Set as AbstractSet

import xxhash

from briarford.capabilities import BUILD, CAPABILITIES
from briarford.requests.agents import AgentView, Dispatch
from briarford.requests.effects import (
    DialAgent,
    DropLink,
    EntryEffect,
    EntryEvent,
    SendToAgent,
)
from briarford.runs import AgentAddress, Attach, EntryMessage, StopRun
from briarford.runs.leases import LEASE_S
from briarford.runs.state import SESSION_TTL_S
from briarford.runs.worker_clock import CLOCK_DRIFT_FACTOR

__all__ = [
    "BASE_CONNECTIONS",
    "LEASE_EXPIRY_S",
    "MAX_CONNECTIONS",
    "Attachments",
]

SILENCE_S = 0.5  # after two missed heartbeats a new connection is opened
REDIAL_DELAY_S = 0.1  # a restarted process listens within half a second
# An agent that has refused all attempts for this long was probably removed. It
# is dialed less often from then on, until the registry lists a new process.
RESTART_S = 3.0
GONE_REDIAL_DELAY_S = 1.0
# When an agent process has ended, the worker stops the runs that it ordered
# once the lease has expired, on a clock that may be 2% slow.
LEASE_EXPIRY_S = LEASE_S * CLOCK_DRIFT_FACTOR + 0.1
# An agent that no longer receives messages from the entry stops the runs of
# the session after SESSION_TTL_S; if the agent has ended as well, the lease
# has to expire.
AGENT_LOST_S = SESSION_TTL_S + LEASE_EXPIRY_S
FORGET_AGENT_S = 30.0
REVIEW_PERIOD_S = 0.05  # short compared with SILENCE_S
# The free capacity of this many workers varies little, and half of it remains
# if one of two zones is lost. A session costs about 0.2% of a processor.
BASE_CONNECTIONS = 24
MAX_CONNECTIONS = 48
CONNECTIONS_STEP = 8
INCREASE_PERIOD_S = 0.1  # a new agent has reported free capacity by then
DECREASE_AFTER_S = 10.0  # bursts recur within seconds
# An agent usually answers within a few milliseconds; after this time another
# one is dialed as well.
ATTACH_TIMEOUT_S = 0.3


class _ConnectionTarget:
    """How many agents of one service the entry is to be attached to."""

    __slots__ = ("count", "decrease_at", "next_increase_at")

    def __init__(self) -> None:
        self.count = BASE_CONNECTIONS
        self.next_increase_at = 0.0
        self.decrease_at = 0.0

    def increase(self, limit: int, now: float) -> None:
        """Raise the target by a step, at most once per period.

        :param limit: the highest target.
        :param now: Unix time in seconds.
        """
        self.decrease_at = now + DECREASE_AFTER_S
        if now >= self.next_increase_at and self.count < limit:
            self.next_increase_at = now + INCREASE_PERIOD_S
            self.count = min(limit, self.count + CONNECTIONS_STEP)

    def decrease_if_due(self, now: float) -> None:
        """Lower a raised target by a step if no increase was asked lately."""
        if self.count > BASE_CONNECTIONS and now >= self.decrease_at:
            self.count = max(BASE_CONNECTIONS, self.count - CONNECTIONS_STEP)
            self.decrease_at = now + DECREASE_AFTER_S


class Attachments:
    """Keeps an entry attached to as many agents as it needs.

    :param entry: name of the entry.
    :param incarnation: of its process.
    :param emit: called with each effect that the process has to perform.
    :param evacuated_zones: zones that are closed for new runs; updated in
        place.
    """

    def __init__(
        self,
        entry: str,
        incarnation: str,
        emit: Callable[[EntryEffect], None],
        evacuated_zones: AbstractSet[str] = frozenset(),
    ) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._emit = emit
        self._evacuated_zones = evacuated_zones
        self._views: dict[str, AgentView] = {}
        self._ranked: list[AgentView] = []
        self._links: dict[int, AgentView] = {}
        self._targets: dict[str, _ConnectionTarget] = {}
        self._last_connection = 0
        self._review_at = 0.0

    # -- known agents -------------------------------------------------------

    def __len__(self) -> int:
        return len(self._views)

    def __iter__(self) -> Iterator[AgentView]:
        return iter(self._views.values())

    def get(self, agent: str) -> AgentView | None:
        """Return an agent by its name; None if it is not known."""
        return self._views.get(agent)

    def by_link(self, link: int) -> AgentView | None:
        """Return the agent of an open connection; None if it was closed."""
        return self._links.get(link)

    def linked(self) -> Iterable[AgentView]:
        """Return the agents with an open connection."""
        return self._links.values()

    def of_service(self, service: str) -> list[AgentView]:
        """Return the connected agents whose worker runs a service."""
        return [
            v
            for v in self._links.values()
            if v.status is not None and v.status.service == service
        ]

    def update_directory(
        self, directory: Mapping[str, AgentAddress], now: float
    ) -> None:
        """Update the known agents from a read of the registry.

        New agents are added, and an agent that moved is connected to at its
        new address, unless it still answers and takes runs at the previous
        one: another writer may have overwritten its record. An agent that is
        no longer listed stays known for a while, as its runs and its
        connection may go on.

        :param directory: all registered agents by name.
        :param now: Unix time in seconds.
        """
        for name, listed in directory.items():
            view = self._views.get(name)
            if view is None:
                view = AgentView(name, listed.address, last_received_at=now)
                view.rank = _rank(self._entry, name)
                view.evacuated_zones = self._evacuated_zones
                self._views[name] = view
                self._log("agent-found", agent=name, address=listed.address)
            elif view.address != listed.address:
                self._log("agent-moved", agent=name, address=listed.address)
                view.address = listed.address
                if not _is_in_use(view, now):
                    self.close(view)
            if view.listed_incarnation != listed.incarnation:
                view.listed_incarnation = listed.incarnation
                view.rejected_address = ""
                view.failing_since = 0.0
                view.dial_at = min(view.dial_at, now)
            view.registered_service = listed.service
        for name, view in self._views.items():
            view.listed = name in directory
        self._ranked = sorted(self._views.values(), key=lambda v: v.rank)
        self._review_at = now

    # -- connections --------------------------------------------------------

    def link_up(self, agent: str, link: int, now: float) -> None:
        """Send the first message on a connection that has been opened.

        It resumes the session of this process with the agent or opens one. An
        order to stop a run may have been lost with the previous connection,
        and the session keeps the runs going, so all of them are sent again
        together with the attachment.

        :param agent: name of the agent.
        :param link: number of the connection.
        :param now: Unix time in seconds.
        """
        view = self._views.get(agent)
        if view is None:
            self._emit(DropLink(link))
            return
        self.close(view)
        self._last_connection += 1
        view.dialing = False
        view.failing_since = 0.0
        view.link = link
        view.connection = self._last_connection
        view.attached = False
        view.last_job = ""
        view.linked_at = now
        view.evacuations_sent = 0
        view.worker_seen = ""
        self._links[link] = view
        attach = Attach(
            self._entry,
            self._incarnation,
            view.connection,
            view.heartbeat_sent_at,
            view.last_ended_number,
            BUILD,
            CAPABILITIES,
        )
        self.send(view, attach)
        unwanted = [d for d in view.dispatches.values() if not d.is_wanted]
        for dispatch in unwanted:
            self.send(view, StopRun(dispatch.number))
        if unwanted:
            self._log("stops-repeated", agent=agent, runs=len(unwanted))

    def link_down(self, agent: str, link: int | None, now: float) -> None:
        """Record that a connection ended or could not be opened.

        :param agent: name of the agent.
        :param link: number of the connection that ended; None if none could
            be opened.
        :param now: Unix time in seconds.
        """
        view = self._views.get(agent)
        if view is None:
            return
        if link is None:
            view.dialing = False
            view.failing_since = view.failing_since or now
            failing_s = now - view.failing_since
            view.dial_at = now + (
                REDIAL_DELAY_S
                if failing_s < RESTART_S
                else GONE_REDIAL_DELAY_S
            )
        elif view.link == link:
            self._log("agent-disconnected", agent=agent)
            self.close(view)
            view.dial_at = now
        self._review_at = now

    def reject(self, view: AgentView, owner: str, now: float) -> None:
        """Close the connection to an agent of another name.

        A record of another writer names its address. It is not dialed there
        again: each connection takes the session from that of its owner.

        :param owner: name of the agent that has answered.
        :param now: Unix time in seconds.
        """
        self._log("agent-misnamed", agent=view.name, owner=owner)
        self.close(view)
        view.rejected_address = view.dialed_address
        owners_view = self._views.get(owner)
        if owners_view is not None:
            self.close(owners_view)
            owners_view.dial_at = now
        self._review_at = now

    def close(self, view: AgentView) -> None:
        """Close the connection to an agent, if there is one."""
        if view.link is not None:
            self._links.pop(view.link, None)
            self._emit(DropLink(view.link))
        view.link = None
        view.attached = False
        view.demand = None
        view.offered_cpu = 0

    def send(self, view: AgentView, message: EntryMessage) -> None:
        """Send a message if there is a connection."""
        if view.link is not None:
            self._emit(SendToAgent(view.link, message))

    # -- number of connections ----------------------------------------------

    def raise_target(self, service: str, to_all: bool, now: float) -> None:
        """Attach to more agents of a service, as a task finds no capacity.

        :param service: the service of the task.
        :param to_all: whether the target may exceed ``MAX_CONNECTIONS``, as
            none of the attached workers is eligible for the task; for
            example, few workers may have the label that it requires.
        :param now: Unix time in seconds.
        """
        target = self._targets.setdefault(service, _ConnectionTarget())
        known = len(self._views)
        target.increase(known if to_all else min(MAX_CONNECTIONS, known), now)

    def needs_review(self, now: float) -> bool:
        """Whether :meth:`review` is due."""
        return now >= self._review_at

    def review(self, now: float) -> list[tuple[AgentView, Dispatch]]:
        """Open and close connections, and give up lost agents, if due.

        Connections without a message for ``SILENCE_S`` are closed, and so are
        those on which the agent does not hear the entry. Orders of
        an agent without a message for ``AGENT_LOST_S`` are given up. Agents
        that the registry no longer lists are removed once they are silent
        and have no orders.

        :return: orders whose runs have certainly ended, with their agents.
        """
        if now < self._review_at:
            return []
        self._review_at = now + REVIEW_PERIOD_S
        lost = []
        received_after = now - SILENCE_S
        for view in list(self._views.values()):
            if view.last_received_at < received_after:
                self._check_silence(view, now)
            elif view.link is not None and view.misses_orders(received_after):
                self._log("agent-misses-orders", agent=view.name)
                self.close(view)
                view.dial_at = now
            elif view.has_moved and not _is_in_use(view, now):
                self.close(view)
                view.dial_at = now
            if view.unowned:
                lost += [(view, d) for d in _pop_ended_unowned(view, now)]
            if view.listed:
                continue
            idle = not view.dispatches and not view.unowned
            silent_s = now - view.last_received_at
            if not view.listed and silent_s > FORGET_AGENT_S and idle:
                self.close(view)
                del self._views[view.name]
                self._ranked.remove(view)
        self._connect(now)
        return lost

    def _check_silence(self, view: AgentView, now: float) -> None:
        """Close the connection of a silent agent; later give up its orders."""
        silent_s = now - view.last_received_at
        linked_s = now - view.linked_at
        if view.link is not None and min(silent_s, linked_s) > SILENCE_S:
            self._log("agent-silent", agent=view.name)
            self.close(view)
            view.dial_at = now
        if silent_s > AGENT_LOST_S and view.dispatches:
            self._log("agent-lost", agent=view.name, runs=len(view.dispatches))
            view.disown_all(now)

    def _connect(self, now: float) -> None:
        """Dial and close connections until each service is at its target."""
        by_service: dict[str, list[AgentView]] = {}
        for view in self._ranked:
            # As ``view.service``, for each agent that is registered.
            status = view.status
            service = status.service if status is not None else ""
            service = service or view.registered_service
            views = by_service.get(service)
            if views is None:
                by_service[service] = [view]
            else:
                views.append(view)
        unknown = by_service.pop("", [])
        for service, views in by_service.items():
            target = self._targets.setdefault(service, _ConnectionTarget())
            target.decrease_if_due(now)
            self._connect_service(views, target.count, now)
        known = sum(bool(v.service) for v in self._links.values())
        # If the registry does not name the service of a worker, its agent
        # does so in its first status.
        self._connect_service(unknown, BASE_CONNECTIONS - known, now)

    def _connect_service(
        self, views: list[AgentView], needed: int, now: float
    ) -> None:
        """Connect to the agents of lowest rank, and close surplus connections.

        Agents that carry out orders keep their connection in any case.

        :param views: the agents of a service by rank.
        :param needed: how many of them are to be connected.
        :param now: Unix time in seconds.
        """
        for view in views:
            if needed > 0 or view.dispatches:
                view.surplus_since = 0.0
                self._dial(view, now)
            elif view.link is not None:
                self._close_surplus(view, now)
            if needed > 0:
                needed -= _counts_as_connected(view, now)

    def _dial(self, view: AgentView, now: float) -> None:
        """Open a connection to an agent if there is none and it is time."""
        if view.address == view.rejected_address:
            return
        if view.link is None and not view.dialing and now >= view.dial_at:
            view.dialing = True
            view.dialed_address = view.address
            # Repeated attempts belong to one series, so that an agent that
            # does not answer soon stops counting as connected.
            if now - view.dialing_since > ATTACH_TIMEOUT_S + SILENCE_S:
                view.dialing_since = now
            self._emit(DialAgent(view.name, view.address))

    def _close_surplus(self, view: AgentView, now: float) -> None:
        """Close a connection not needed for ``DECREASE_AFTER_S``."""
        if not view.surplus_since:
            view.surplus_since = now
        elif now - view.surplus_since > DECREASE_AFTER_S:
            self._log("agent-detached", agent=view.name)
            self.close(view)

    def _log(self, action: str, **fields: object) -> None:
        self._emit(EntryEvent(action, fields))


def _is_in_use(view: AgentView, now: float) -> bool:
    """Whether an agent answers and takes runs."""
    is_silent = view.last_received_at < now - SILENCE_S
    status = view.status
    return (
        view.attached and not is_silent and bool(status and status.accepting)
    )


def _counts_as_connected(view: AgentView, now: float) -> bool:
    """Whether an agent counts towards the target of connections.

    It does if its worker accepts runs, or if it was dialed so shortly ago
    that its answer may still arrive.
    """
    if view.attached and view.status is not None:
        return view.takes_runs
    return view.listed and now - view.dialing_since < ATTACH_TIMEOUT_S


def _pop_ended_unowned(view: AgentView, now: float) -> list[Dispatch]:
    """Remove and return the unowned orders whose runs have ended by now."""
    due = [d for at, d in view.unowned if at <= now]
    if due:
        view.unowned = [o for o in view.unowned if o[0] > now]
    return due


def _rank(entry: str, agent: str) -> int:
    """Return the rendezvous hash of an agent for an entry."""
    return xxhash.xxh3_64_intdigest(f"{entry}\0{agent}".encode())
