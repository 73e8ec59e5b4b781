"""The credit core of an agent: which entry may use which slot."""

from __future__ import annotations

from dataclasses import dataclass

from briarford.placement.config import PlacementConfig

__all__ = ["Grant", "SlotGranter"]

MS_PER_S = 1000.0
DEMAND_KEPT_S = 1.0
SAVED_BATCH_LAG = 2.0


@dataclass(slots=True, frozen=True)
class Grant:
    """What an agent tells one entry about credits.

    :param entry: the entry's name.
    :param credits: slots granted to it.
    :param recall: unspent credits that are wanted back.
    """

    entry: str
    credits: int = 0
    recall: int = 0


@dataclass(slots=True)
class EntryCredits:
    """The credits of one entry at one agent.

    :param attached: whether a session with the entry is open.
    :param granted: credits granted and not spent, the ones in flight too.
    :param recalled: part of ``granted`` that was asked back.
    :param running: tasks of the entry that run.
    :param demand: tasks that wait at the entry, as it last reported.
    :param demand_until: Unix seconds after which the report is too old to
        count; None until the turn that follows the report.
    :param waiting_since: Unix seconds since which its demand is not met.
    :param lag: slots that it should have had in proportion to its demand.
    :param has_batch: whether a batch goes to it in any case.
    """

    attached: bool = True
    granted: int = 0
    recalled: int = 0
    running: int = 0
    demand: int = 0
    demand_until: float | None = None
    waiting_since: float | None = None
    lag: float = 0.0
    has_batch: bool = True

    @property
    def unmet(self) -> int:
        """Tasks that wait and have no credit under way."""
        return max(0, self.demand - self.granted + self.recalled)

    @property
    def rank(self) -> float:
        """Order among entries with demand; a batch saved counts as lag."""
        return self.lag + (SAVED_BATCH_LAG if self.has_batch else 0.0)

    @property
    def excess(self) -> int:
        """Credits that no waiting task needs and nobody asked back."""
        return max(0, self.granted - self.recalled - self.demand)


class SlotGranter:
    """Divides a worker's slots over entries as credits.

    At any time ``granted + running + free == slots``, summed over entries;
    ``free`` is below zero only after ``set_slots`` took away slots in use.

    :param cfg: numbers of placement that are in force.
    """

    __slots__ = ("_cfg", "_closed", "_entries", "_slots", "_turned_at")

    def __init__(self, cfg: PlacementConfig | None = None) -> None:
        self._cfg = cfg or PlacementConfig()
        self._slots = 0
        self._closed = False
        self._turned_at = 0.0
        self._entries: dict[str, EntryCredits] = {}

    @property
    def slots(self) -> int:
        """Slots that the worker offers."""
        return self._slots

    @property
    def granted(self) -> int:
        """Credits that entries hold or that are on their way."""
        return sum(e.granted for e in self._entries.values())

    @property
    def running(self) -> int:
        """Tasks that run, those of detached entries too."""
        return sum(e.running for e in self._entries.values())

    @property
    def free(self) -> int:
        """Slots that are neither granted nor running."""
        return self._slots - self.granted - self.running

    @property
    def spare(self) -> int:
        """Slots in hand to tell entries of, for starts without a credit.

        Some are not told: by the time that a start comes, they may be gone.
        """
        if not self._cfg.keep_in_hand:
            return 0
        return max(0, self._in_hand - self._cfg.spare_untold)

    @property
    def _in_hand(self) -> int:
        return 0 if self._closed else max(0, self.free)

    @property
    def _recall_after_s(self) -> float:
        return self._cfg.recall_after_ms / MS_PER_S

    def configure(self, cfg: PlacementConfig) -> None:
        """Take in the numbers of another preset."""
        self._cfg = cfg

    def attach(self, entry: str) -> None:
        """Begin a session with an entry; it starts without credits."""
        state = self._entries.setdefault(entry, EntryCredits())
        _take_back(state)
        state.attached = True
        state.has_batch = True

    def detach(self, entry: str) -> None:
        """End a session: credits come back, running tasks stay counted."""
        state = self._entries.get(entry)
        if state is None:
            return
        _take_back(state)
        state.attached = False
        self._forget_if_gone(entry)

    def set_slots(self, slots: int) -> None:
        """Set how many slots the worker offers."""
        self._slots = slots

    def set_demand(self, entry: str, demand: int) -> None:
        """Take in how many tasks wait at an entry."""
        state = self._entries.get(entry)
        if state is not None and state.attached:
            state.demand = demand
            state.demand_until = None

    def try_start(self, entry: str) -> bool:
        """Spend a credit of an entry, or a spare slot if it holds none.

        :return: False if there is neither: the start must be rejected.
        """
        state = self._entries.get(entry)
        if state is None or not state.attached:
            return False
        if state.granted:
            _spend(state, 1)
        elif not self._in_hand:
            return False
        state.running += 1
        return True

    def release_slot(self, entry: str) -> None:
        """Free the slot of a task that ended."""
        state = self._entries.get(entry)
        if state is None or state.running == 0:
            return
        state.running -= 1
        state.has_batch = True
        self._forget_if_gone(entry)

    def reclaim_credits(self, entry: str, count: int) -> None:
        """Take back credits that an entry did not spend."""
        state = self._entries.get(entry)
        if state is None:
            return
        state.recalled = max(0, state.recalled - count)
        _spend(state, min(count, state.granted))

    def close(self) -> None:
        """Grant nothing from now on, and recall what is not spent."""
        self._closed = True

    def turn(self, now: float) -> list[Grant]:
        """Grant free slots and recall credits that are wanted elsewhere."""
        self._turned_at = now
        for state in self._entries.values():
            _expire_demand(state, now)
        credits = self._grant_free()
        recalls = self._recall(now)
        for state in self._entries.values():
            state.has_batch = False
        names = sorted(credits.keys() | recalls.keys())
        return [Grant(n, credits.get(n, 0), recalls.get(n, 0)) for n in names]

    def next_turn_at(self) -> float | None:
        """Unix seconds at which waiting demand leads to a recall."""
        waits = [
            e.waiting_since + self._recall_after_s
            for e in self._entries.values()
            if e.waiting_since is not None
        ]
        return min((w for w in waits if w > self._turned_at), default=None)

    def _grant_free(self) -> dict[str, int]:
        credits: dict[str, int] = {}
        if self._closed:
            return credits
        for _ in range(self.free):
            name = self._choose_entry()
            if name is None:
                break
            self._entries[name].granted += 1
            credits[name] = credits.get(name, 0) + 1
        return credits

    def _choose_entry(self) -> str | None:
        """Choose who gets a free slot; None to keep it in hand.

        Without demand a slot goes where a batch goes in any case; if slots
        are kept in hand, only there and only up to an even part.
        """
        open_ = {
            n: e
            for n, e in self._entries.items()
            if e.attached and not e.recalled
        }
        hungry = {n: e for n, e in open_.items() if e.unmet}
        if hungry:
            return _choose_by_lag(hungry)
        if not self._cfg.keep_in_hand:
            return _choose_idle(open_)
        part = min(
            self._cfg.idle_credits, -(-self._slots // max(1, len(open_)))
        )
        idle = {
            n: e for n, e in open_.items() if e.has_batch and e.granted < part
        }
        return _choose_idle(idle)

    def _recall(self, now: float) -> dict[str, int]:
        if self._closed or self.free < 0:
            wanted = self.granted if self._closed else -self.free
            return self._recall_up_to(wanted - self._recalled, by_excess=False)
        return self._recall_up_to(
            self._overdue(now) - self._recalled, by_excess=True
        )

    @property
    def _recalled(self) -> int:
        return sum(e.recalled for e in self._entries.values())

    def _overdue(self, now: float) -> int:
        overdue = 0
        for state in self._entries.values():
            if not state.unmet:
                state.waiting_since = None
                continue
            if state.waiting_since is None:
                state.waiting_since = now
            if now >= state.waiting_since + self._recall_after_s:
                overdue += state.unmet
        return overdue

    def _recall_up_to(self, wanted: int, by_excess: bool) -> dict[str, int]:
        recalls: dict[str, int] = {}
        for name, state in sorted(self._entries.items()):
            idle = state.granted - state.recalled
            if by_excess:
                idle = state.excess
            count = min(wanted, idle)
            if count <= 0:
                continue
            state.recalled += count
            recalls[name] = count
            wanted -= count
        return recalls

    def _forget_if_gone(self, entry: str) -> None:
        state = self._entries[entry]
        if not state.attached and state.running == 0:
            del self._entries[entry]


def _take_back(state: EntryCredits) -> None:
    state.granted = 0
    state.recalled = 0
    state.demand = 0
    state.waiting_since = None
    state.lag = 0.0


def _choose_idle(idle: dict[str, EntryCredits]) -> str | None:
    """Choose who has a batch coming, then who holds the least."""
    return min(
        idle,
        key=lambda n: (not idle[n].has_batch, idle[n].granted, n),
        default=None,
    )


def _expire_demand(state: EntryCredits, now: float) -> None:
    if state.demand_until is None:
        state.demand_until = now + DEMAND_KEPT_S
    if now >= state.demand_until:
        state.demand = 0


def _spend(state: EntryCredits, count: int) -> None:
    state.granted -= count
    state.recalled = min(state.recalled, state.granted)


def _choose_by_lag(hungry: dict[str, EntryCredits]) -> str:
    """Choose in proportion to demand, and none is passed over for good."""
    total = sum(e.unmet for e in hungry.values())
    for state in hungry.values():
        state.lag += state.unmet / total
    chosen = max(hungry, key=lambda n: (hungry[n].rank, n))
    hungry[chosen].lag -= 1.0
    return chosen
