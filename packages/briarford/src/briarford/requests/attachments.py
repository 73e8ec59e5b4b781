"""The agents that an entry knows and its connections to them.

Answers the growth of the fleet. Connections to all agents would cost each
process heartbeats and status messages for each of its peers. An entry is
attached to a bounded number of agents of each service, chosen by rendezvous
hash; agents that do not answer are made up for by others, and an entry whose
tasks find no room attaches to more for some time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping

import xxhash

from briarford.requests.agents import AgentView, Dispatch
from briarford.requests.effects import (
    DialAgent,
    DropLink,
    EntryEffect,
    EntryEvent,
    SendToAgent,
)
from briarford.runs import AgentAddress, Attach, EntryMessage
from briarford.runs.agent import LEASE_S
from briarford.runs.state import SESSION_TTL_S

__all__ = [
    "BASE_CONNECTIONS",
    "LEASE_EXPIRY_S",
    "MAX_CONNECTIONS",
    "Attachments",
]

SILENCE_S = 0.5  # two heartbeats missed: open a new connection
REDIAL_DELAY_S = 0.1  # a restarted process is back within half a second
# A silent agent ends the runs of a session after SESSION_TTL_S; if it is
# gone itself, the worker's lease lapses, on a clock that may be 2% slow.
LEASE_EXPIRY_S = LEASE_S * 1.02 + 0.1
AGENT_LOST_S = SESSION_TTL_S + LEASE_EXPIRY_S
FORGET_AGENT_S = 30.0
REVIEW_PERIOD_S = 0.05  # short against SILENCE_S
# With so many workers the free room varies little: half of it is there if a
# zone of two is lost, and a session costs about 0.2% of a processor.
BASE_CONNECTIONS = 24
MAX_CONNECTIONS = 48
CONNECTIONS_STEP = 8
INCREASE_PERIOD_S = 0.1  # a new connection has offered room by then
DECREASE_AFTER_S = 10.0  # bursts come again within seconds
# A connection takes a few milliseconds; after this another agent is tried.
ATTACH_TIMEOUT_S = 0.3


class _ConnectionTarget:
    """How many agents of a service an entry is to be attached to."""

    __slots__ = ("count", "decrease_at", "next_increase_at")

    def __init__(self) -> None:
        self.count = BASE_CONNECTIONS
        self.next_increase_at = 0.0
        self.decrease_at = 0.0

    def increase(self, limit: int, now: float) -> None:
        self.decrease_at = now + DECREASE_AFTER_S
        if now >= self.next_increase_at and self.count < limit:
            self.next_increase_at = now + INCREASE_PERIOD_S
            self.count = min(limit, self.count + CONNECTIONS_STEP)

    def decrease_if_due(self, now: float) -> None:
        if self.count > BASE_CONNECTIONS and now >= self.decrease_at:
            self.count = max(BASE_CONNECTIONS, self.count - CONNECTIONS_STEP)
            self.decrease_at = now + DECREASE_AFTER_S


class Attachments:
    """Keeps an entry attached to agents.

    :param entry: name of the entry.
    :param incarnation: of its process.
    :param emit: takes what is to be done.
    """

    def __init__(
        self,
        entry: str,
        incarnation: str,
        emit: Callable[[EntryEffect], None],
    ) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._emit = emit
        self._views: dict[str, AgentView] = {}
        self._ranked: list[AgentView] = []
        self._links: dict[int, AgentView] = {}
        self._targets: dict[str, _ConnectionTarget] = {}
        self._last_connection = 0
        self._review_at = 0.0

    # -- what is known ------------------------------------------------------

    def __len__(self) -> int:
        return len(self._views)

    def __iter__(self) -> Iterator[AgentView]:
        return iter(self._views.values())

    def get(self, agent: str) -> AgentView | None:
        """Return an agent by its name."""
        return self._views.get(agent)

    def by_link(self, link: int) -> AgentView | None:
        """Return the agent of a connection that is in use."""
        return self._links.get(link)

    def linked(self) -> Iterable[AgentView]:
        """Return the agents with a connection."""
        return self._links.values()

    def of_service(self, service: str) -> list[AgentView]:
        """Return the agents with a connection whose worker runs a service."""
        return [
            v
            for v in self._links.values()
            if v.status is not None and v.status.service == service
        ]

    def update_directory(
        self, directory: Mapping[str, AgentAddress], now: float
    ) -> None:
        """Take the registered agents by name."""
        for name, listed in directory.items():
            view = self._views.get(name)
            if view is None:
                view = AgentView(name, listed.address, last_received_at=now)
                view.rank = _rank(self._entry, name)
                self._views[name] = view
                self._log("agent-found", agent=name, address=listed.address)
            elif view.address != listed.address:
                self._log("agent-moved", agent=name, address=listed.address)
                self.close(view)
                view.address = listed.address
            view.registered_service = listed.service
        for name, view in self._views.items():
            view.listed = name in directory
        self._ranked = sorted(self._views.values(), key=lambda v: v.rank)
        self._review_at = now

    # -- connections --------------------------------------------------------

    def link_up(self, agent: str, link: int, now: float) -> None:
        """Attach on a connection that was dialed."""
        view = self._views.get(agent)
        if view is None:
            self._emit(DropLink(link))
            return
        self.close(view)
        self._last_connection += 1
        view.dialing = False
        view.link = link
        view.connection = self._last_connection
        view.attached = False
        view.linked_at = now
        self._links[link] = view
        attach = Attach(
            self._entry,
            self._incarnation,
            view.connection,
            view.heartbeat_sent_at,
            view.last_ended_number,
        )
        self.send(view, attach)

    def link_down(self, agent: str, link: int | None, now: float) -> None:
        """Note that a connection ended or could not be opened."""
        view = self._views.get(agent)
        if view is None:
            return
        if link is None:
            view.dialing = False
            view.dial_at = now + REDIAL_DELAY_S
        elif view.link == link:
            self._log("agent-disconnected", agent=agent)
            self.close(view)
            view.dial_at = now
        self._review_at = now

    def close(self, view: AgentView) -> None:
        """Close the connection to an agent."""
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

    # -- time ---------------------------------------------------------------

    def raise_target(self, service: str, to_all: bool, now: float) -> None:
        """Attach to more agents of a service, whose tasks find no room.

        :param to_all: whether to go on beyond ``MAX_CONNECTIONS``: no attached
            worker may run them at all, as for labels that few have.
        """
        target = self._targets.setdefault(service, _ConnectionTarget())
        known = len(self._views)
        target.increase(known if to_all else min(MAX_CONNECTIONS, known), now)

    def review(self, now: float) -> list[tuple[AgentView, Dispatch]]:
        """Open and close connections.

        :return: orders that certainly do not run any more.
        """
        if now < self._review_at:
            return []
        self._review_at = now + REVIEW_PERIOD_S
        lost = []
        for view in list(self._views.values()):
            self._check_silence(view, now)
            lost += [(view, d) for d in _pop_ended_unowned(view, now)]
            idle = not view.dispatches and not view.unowned
            silent_s = now - view.last_received_at
            if not view.listed and silent_s > FORGET_AGENT_S and idle:
                self.close(view)
                del self._views[view.name]
                self._ranked.remove(view)
        self._connect(now)
        return lost

    def _check_silence(self, view: AgentView, now: float) -> None:
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
        by_service: dict[str, list[AgentView]] = {}
        for view in self._ranked:
            by_service.setdefault(view.service, []).append(view)
        unknown = by_service.pop("", [])
        for service, views in by_service.items():
            target = self._targets.setdefault(service, _ConnectionTarget())
            target.decrease_if_due(now)
            self._connect_service(views, target.count, now)
        known = sum(bool(v.service) for v in self._links.values())
        # Agents tell the service of their worker once they are attached to.
        self._connect_service(unknown, BASE_CONNECTIONS - known, now)

    def _connect_service(
        self, views: list[AgentView], missing: int, now: float
    ) -> None:
        for view in views:
            if missing > 0 or view.dispatches:
                view.surplus_since = 0.0
                self._dial(view, now)
            elif view.link is not None:
                self._close_surplus(view, now)
            missing -= _counts_as_connected(view, now)

    def _dial(self, view: AgentView, now: float) -> None:
        if view.link is None and not view.dialing and now >= view.dial_at:
            view.dialing = True
            # Repeated attempts do not make it count as about to answer.
            if now - view.dialing_since > ATTACH_TIMEOUT_S + SILENCE_S:
                view.dialing_since = now
            self._emit(DialAgent(view.name, view.address))

    def _close_surplus(self, view: AgentView, now: float) -> None:
        """Close a connection that has not been needed for some time."""
        if not view.surplus_since:
            view.surplus_since = now
        elif now - view.surplus_since > DECREASE_AFTER_S:
            self._log("agent-detached", agent=view.name)
            self.close(view)

    def _log(self, action: str, **fields: object) -> None:
        self._emit(EntryEvent(action, fields))


def _counts_as_connected(view: AgentView, now: float) -> bool:
    """Whether an agent takes work, or may do so in a moment."""
    if view.attached and view.status is not None:
        return view.status.accepting
    return view.listed and now - view.dialing_since < ATTACH_TIMEOUT_S


def _pop_ended_unowned(view: AgentView, now: float) -> list[Dispatch]:
    due = [d for at, d in view.unowned if at <= now]
    if due:
        view.unowned = [o for o in view.unowned if o[0] > now]
    return due


def _rank(entry: str, agent: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{entry}\0{agent}".encode())
