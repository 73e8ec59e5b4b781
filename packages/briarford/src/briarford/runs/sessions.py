"""Opens, resumes and deletes the sessions of entries at an agent.

A session belongs to one incarnation of an entry and outlives its connections:
after a broken connection the entry resumes it on a new one.
"""

from __future__ import annotations

from collections.abc import Callable

from briarford.capabilities import BUILD, CAPABILITIES
from briarford.runs.messages import AgentMessage, Attach, Attached
from briarford.runs.state import Session

__all__ = ["FORGET_SESSION_S", "SessionTable"]

# An entry that reconnects later than this after the end of its session opens a
# new one.
FORGET_SESSION_S = 30.0


class SessionTable:
    """The sessions of one agent, by entry and by connection.

    :param agent: name of the agent.
    :param incarnation: of the agent's process.
    :param send: sends a message to the entry of a session.
    """

    def __init__(
        self,
        agent: str,
        incarnation: str,
        send: Callable[[Session, AgentMessage], None],
    ) -> None:
        self._agent = agent
        self._incarnation = incarnation
        self._send = send
        self._by_entry: dict[str, Session] = {}
        self._by_link: dict[int, Session] = {}
        self._connected: list[Session] | None = None

    def __len__(self) -> int:
        return len(self._by_entry)

    def __contains__(self, entry: str) -> bool:
        return entry in self._by_entry

    def by_link(self, link: int) -> Session | None:
        """Return the session on a connection, if there is one."""
        return self._by_link.get(link)

    def connected(self) -> list[Session]:
        """Return the sessions with a connection; not to be changed."""
        if self._connected is None:
            self._connected = [
                s for s in self._by_entry.values() if s.link is not None
            ]
        return self._connected

    def close_replaced(self, msg: Attach) -> Session | None:
        """Close and return the session of an earlier incarnation of an entry.

        None if the entry has no session, or one of the same incarnation.
        """
        session = self._by_entry.get(msg.entry)
        if session is None or session.incarnation == msg.incarnation:
            return None
        self._detach_link(session)
        del self._by_entry[msg.entry]
        return session

    def attach(self, link: int, msg: Attach, now: float) -> bool:
        """Open or resume the session of an entry on a connection.

        The entry gets the list of its orders that the agent knows, and all
        ended runs that it has not acknowledged.

        :return: False if the session already uses a later connection.
        """
        session = self._by_entry.get(msg.entry)
        if session is None:
            session = Session(
                msg.entry, msg.incarnation, link, msg.connection, 0.0
            )
            session.last_number = msg.acked
            self._by_entry[msg.entry] = session
        elif msg.connection <= session.connection:
            return False
        self._detach_link(session)
        self._connected = None
        session.link = link
        session.connection = msg.connection
        session.extend(msg.echo, now)
        session.last_status = None
        session.evacuations_sent = 0
        session.losses_sent = 0
        session.demand = None
        self._by_link[link] = session
        known = [*session.runs, *(e.dispatch for e in session.ended)]
        session.build = msg.build
        session.capabilities = frozenset(msg.capabilities)
        attached = Attached(
            self._agent,
            self._incarnation,
            tuple(known),
            now,
            BUILD,
            CAPABILITIES,
        )
        self._send(session, attached)
        for end in session.ended:
            self._send(session, end)
        return True

    def link_closed(self, link: int) -> Session | None:
        """Detach a closed connection and return its session, if any."""
        session = self._by_link.pop(link, None)
        self._connected = None
        if session is not None:
            session.link = None
            session.demand = None
        return session

    def collect_expired(self, now: float) -> list[Session]:
        """Return the expired sessions, whose runs have to stop.

        Sessions that expired long ago and have no runs are deleted.
        """
        expired = [s for s in self._by_entry.values() if now > s.expires_at]
        for session in expired:
            unused = session.link is None and not session.runs
            if unused and now > session.expires_at + FORGET_SESSION_S:
                del self._by_entry[session.entry]
        return expired

    def _detach_link(self, session: Session) -> None:
        self._connected = None
        if session.link is not None:
            self._by_link.pop(session.link, None)
            session.link = None
