"""Budget of what all connections of a process hold together.

Each connection has an account: what it is doing, since when, and how many
bytes are held for it. A connection that is to hold more than is left in the
budget makes another give way, or itself: first those that only cost, then
those of which a request has not arrived, the oldest first. A request that is
being served is never ended. What a client sends byte by byte does not make
its connection younger.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterator
from typing import Protocol

from briarford.intake.limits import CONNECTION_BYTES

__all__ = [
    "Account",
    "ConnectionQuota",
    "GivesWay",
    "IntakeBudget",
    "Phase",
]


class Phase(enum.IntEnum):
    """What a connection does, in the order in which connections give way."""

    LINGERING = 0  # its request was refused, the rest of it is dropped
    UNREAD = 1  # its client does not read an answer
    AHEAD = 2  # a request is served, and others have been sent ahead
    UNFINISHED = 3  # a request has arrived in part
    IDLE = 4
    SERVED = 5  # a request is served


class GivesWay(Protocol):
    """The connection of an account."""

    def give_way(self, phase: Phase) -> None:
        """Release what the connection holds.

        In the phase ``AHEAD`` it drops what was sent ahead, in the others it
        ends.
        """


class Account:
    """What one connection holds.

    :param owner: the connection.
    :param quota: of the listener that it belongs to.
    """

    __slots__ = ("held", "is_open", "owner", "phase", "quota", "since")

    def __init__(self, owner: GivesWay, quota: ConnectionQuota) -> None:
        self.owner = owner
        self.quota = quota
        self.held = 0
        self.phase = Phase.IDLE
        self.since = 0.0
        self.is_open = False


class IntakeBudget:
    """Bytes that all connections of a process may hold together.

    ``counts`` has the numbers of connections by what has ended or limited
    them.

    :param limit: the bytes.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0
        self.peak_held = 0
        self.counts: Counter[str] = Counter()
        self._quotas: list[ConnectionQuota] = []

    def add_listener(self, connections: int) -> ConnectionQuota:
        """Return the quota of a listener.

        :param connections: largest number of connections to it.
        """
        quota = ConnectionQuota(self, connections)
        self._quotas.append(quota)
        return quota

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return sum(quota.connections for quota in self._quotas)

    def hold(self, account: Account, held: int) -> bool:
        """Set what a connection is to hold; others may have to give way.

        :param held: bytes, without the cost of an open connection.
        :return: False if there is no room, also if the connection has had to
            give way itself.
        """
        if not account.is_open:
            return False
        more = held + CONNECTION_BYTES - account.held
        is_full = more > 0 and self.held + more > self.limit
        if is_full and not self._make_room(account, more):
            return False
        self.held += more
        account.held += more
        if self.held > self.peak_held:
            self.peak_held = self.held
        return True

    def _make_room(self, account: Account, more: int) -> bool:
        """Have connections give way; False if this one is among them."""
        while self.held + more > self.limit:
            self.counts["memory"] += 1
            victim = self._next_victim()
            if victim is None:
                return False
            self.end(victim)
            if victim is account:
                return False
        return True

    def _next_victim(self) -> Account | None:
        """Return the connection that is to give way first."""
        for phase in Phase:
            if phase is Phase.SERVED:
                return None
            oldest = [q.oldest(phase) for q in self._quotas]
            found = [a for a in oldest if a is not None]
            if found:
                return min(found, key=_since)
        return None

    def end(self, account: Account) -> None:
        """Have a connection give way."""
        phase = account.phase
        if phase is Phase.AHEAD:
            self.held -= account.held - CONNECTION_BYTES
            account.held = CONNECTION_BYTES
            account.quota.enter(account, Phase.SERVED, account.since)
        else:
            account.quota.close(account)
        account.owner.give_way(phase)


class ConnectionQuota:
    """The connections of one listener.

    :param budget: of the process.
    :param limit: largest number of connections.
    """

    def __init__(self, budget: IntakeBudget, limit: int) -> None:
        self.budget = budget
        self.limit = limit
        self.connections = 0
        # In the order in which the accounts entered the phase.
        self._by_phase: dict[Phase, dict[Account, None]] = {
            phase: {} for phase in Phase
        }

    def open(self, owner: GivesWay, now: float) -> Account | None:
        """Open the account of a new connection; others may have to give way.

        :param now: seconds on the steady clock, here and elsewhere.
        :return: None if the connection cannot be accepted.
        """
        account = Account(owner, self)
        if self.connections >= self.limit:
            victim = self._next_victim()
            if victim is None:
                self.budget.counts["connections-refused"] += 1
                return None
            self.budget.counts["connections"] += 1
            self.budget.end(victim)
        account.is_open = True
        account.since = now
        self.connections += 1
        self._by_phase[Phase.IDLE][account] = None
        if not self.budget.hold(account, 0):
            if account.is_open:
                self.close(account)
            self.budget.counts["connections-refused"] += 1
            return None
        return account

    def _next_victim(self) -> Account | None:
        """Return the connection that is to give way to a new one."""
        for phase in (Phase.LINGERING, Phase.UNREAD):
            account = self.oldest(phase)
            if account is not None:
                return account
        waiting = (self.oldest(Phase.UNFINISHED), self.oldest(Phase.IDLE))
        found = [a for a in waiting if a is not None]
        return min(found, key=_since, default=None)

    def enter(self, account: Account, phase: Phase, now: float) -> None:
        """Record what a connection does from now on.

        The time at which it entered a phase stays while it is in it.
        """
        if not account.is_open or account.phase is phase:
            return
        del self._by_phase[account.phase][account]
        account.phase = phase
        account.since = now
        self._by_phase[phase][account] = None

    def close(self, account: Account) -> None:
        """Close the account of a connection, if it is open."""
        if not account.is_open:
            return
        account.is_open = False
        self.connections -= 1
        self.budget.held -= account.held
        account.held = 0
        del self._by_phase[account.phase][account]

    def oldest(self, phase: Phase) -> Account | None:
        """Return the connection that is in a phase for the longest."""
        return next(iter(self._by_phase[phase]), None)

    def expired(self, phase: Phase, before: float) -> Iterator[Account]:
        """Iterate over the connections that are in a phase since before then.

        The caller ends each of them before it asks for the next one.
        """
        while (account := self.oldest(phase)) and account.since < before:
            yield account


def _since(account: Account) -> float:
    return account.since
