"""Slot credits at an agent: how many tasks each entry may start there.

A credit allows an entry to start one task, and reserves a slot for it. A
start on a credit is never rejected for want of a slot.
"""

from __future__ import annotations

from dataclasses import dataclass

from briarford.placement.config import PlacementConfig

__all__ = ["Grant", "SlotGranter"]

MS_PER_S = 1000.0
DEMAND_VALIDITY_S = 1.0  # after it, a demand report counts as outdated
# Added to the lag, in slots, of an entry to which a batch is sent in this turn
# in any case: credits in that batch need no message of their own.
PENDING_BATCH_LAG_BONUS = 2.0


@dataclass(slots=True, frozen=True)
class Grant:
    """A change of an entry's credits, to be sent with the next batch to it.

    :param entry: the entry's name.
    :param credits: additional credits that are granted.
    :param recall: unused credits that the entry is asked to return.
    """

    entry: str
    credits: int = 0
    recall: int = 0


@dataclass(slots=True)
class EntryCredits:
    """Credits, running tasks and demand of one entry at this agent.

    :param attached: whether a session with the entry is open.
    :param granted: credits granted and not used, including those in flight.
    :param recalled: credits of ``granted`` that the entry was asked to
        return and has not returned yet.
    :param running: tasks of the entry that run here.
    :param demand: queued tasks that the entry last reported to this agent.
    :param demand_expires_at: Unix seconds from which the report is ignored;
        None until the turn that follows the report.
    :param waiting_since: Unix seconds since which its demand is unmet.
    :param lag: slots that the entry is behind its share by demand.
    :param has_pending_batch: whether a batch is sent to the entry this turn
        even without credits, so that credits cost no message of their own.
    """

    attached: bool = True
    granted: int = 0
    recalled: int = 0
    running: int = 0
    demand: int = 0
    demand_expires_at: float | None = None
    waiting_since: float | None = None
    lag: float = 0.0
    has_pending_batch: bool = True

    @property
    def unmet(self) -> int:
        """Queued tasks of the entry for which it holds no credit."""
        return max(0, self.demand - self.granted + self.recalled)

    @property
    def rank(self) -> float:
        """Priority for the next slot; an entry that gets a batch is ahead."""
        return self.lag + (
            PENDING_BATCH_LAG_BONUS if self.has_pending_batch else 0.0
        )

    @property
    def excess(self) -> int:
        """Unused credits beyond the demand, apart from recalled ones."""
        return max(0, self.granted - self.recalled - self.demand)


class SlotGranter:
    """Divides a worker's slots among the entries as credits.

    At any time ``granted + running + free == slots``, summed over entries;
    ``free`` is negative only after ``set_slots`` removed slots in use.

    :param cfg: the parameters of placement in force.
    """

    __slots__ = ("_cfg", "_closed", "_entries", "_last_turn_at", "_slots")

    def __init__(self, cfg: PlacementConfig | None = None) -> None:
        self._cfg = cfg or PlacementConfig()
        self._slots = 0
        self._closed = False
        self._last_turn_at = 0.0
        self._entries: dict[str, EntryCredits] = {}

    @property
    def slots(self) -> int:
        """Slots of the worker."""
        return self._slots

    @property
    def granted(self) -> int:
        """Unused credits of all entries, including those in flight."""
        return sum(e.granted for e in self._entries.values())

    @property
    def running(self) -> int:
        """Running tasks, including those of detached entries."""
        return sum(e.running for e in self._entries.values())

    @property
    def free(self) -> int:
        """Slots that are neither granted as credits nor used by a task."""
        return self._slots - self.granted - self.running

    @property
    def spare(self) -> int:
        """Ungranted slots to report to entries, for starts without a credit.

        The report leaves out ``spare_untold`` slots: when a start arrives,
        some of the reported slots may be in use, and it would be rejected.
        """
        if not self._cfg.keep_in_hand:
            return 0
        return max(0, self._ungranted - self._cfg.spare_untold)

    @property
    def _ungranted(self) -> int:
        return 0 if self._closed else max(0, self.free)

    @property
    def _recall_after_s(self) -> float:
        return self._cfg.recall_after_ms / MS_PER_S

    def configure(self, cfg: PlacementConfig) -> None:
        """Apply the parameters of a newly adopted preset."""
        self._cfg = cfg

    def attach(self, entry: str) -> None:
        """Open a session with an entry, which begins without credits."""
        state = self._entries.setdefault(entry, EntryCredits())
        _reset_credits(state)
        state.attached = True
        state.has_pending_batch = True

    def detach(self, entry: str) -> None:
        """Close the session with an entry.

        Its credits become free slots. Its running tasks still count.
        """
        state = self._entries.get(entry)
        if state is None:
            return
        _reset_credits(state)
        state.attached = False
        self._remove_if_unused(entry)

    def set_slots(self, slots: int) -> None:
        """Set the number of slots of the worker."""
        self._slots = slots

    def set_demand(self, entry: str, demand: int) -> None:
        """Set the number of queued tasks that an entry reported."""
        state = self._entries.get(entry)
        if state is not None and state.attached:
            state.demand = demand
            state.demand_expires_at = None

    def try_start(self, entry: str) -> bool:
        """Use a credit of an entry, or an ungranted slot if it holds none.

        :return: False if there is neither: the start must be rejected.
        """
        state = self._entries.get(entry)
        if state is None or not state.attached:
            return False
        if state.granted:
            _spend(state, 1)
        elif not self._ungranted:
            return False
        state.running += 1
        return True

    def release_slot(self, entry: str) -> None:
        """Free the slot of a task of the entry that ended."""
        state = self._entries.get(entry)
        if state is None or state.running == 0:
            return
        state.running -= 1
        state.has_pending_batch = True
        self._remove_if_unused(entry)

    def reclaim_credits(self, entry: str, count: int) -> None:
        """Free the slots of credits that an entry did not use."""
        state = self._entries.get(entry)
        if state is None:
            return
        state.recalled = max(0, state.recalled - count)
        _spend(state, min(count, state.granted))

    def close(self) -> None:
        """Stop granting slots, and recall all unused credits."""
        self._closed = True

    def turn(self, now: float) -> list[Grant]:
        """Grant free slots, and recall unused credits for unmet demand.

        Call it when the events at hand are processed, before batches are
        sent.

        :return: the changes to send to the entries.
        """
        self._last_turn_at = now
        for state in self._entries.values():
            _expire_demand(state, now)
        credits = self._grant_free()
        recalls = self._recall(now)
        for state in self._entries.values():
            state.has_pending_batch = False
        names = sorted(credits.keys() | recalls.keys())
        return [Grant(n, credits.get(n, 0), recalls.get(n, 0)) for n in names]

    def next_turn_at(self) -> float | None:
        """Return when unmet demand leads to a recall, in Unix seconds."""
        recall_times = [
            e.waiting_since + self._recall_after_s
            for e in self._entries.values()
            if e.waiting_since is not None
        ]
        return min(
            (w for w in recall_times if w > self._last_turn_at), default=None
        )

    def _grant_free(self) -> dict[str, int]:
        """Grant the free slots one by one; return the new credits by entry."""
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
        """Choose the entry that gets a free slot; None to keep it ungranted.

        Without demand, an entry to which a batch is sent anyway is chosen
        first. With ``keep_in_hand`` only such an entry is chosen, and only
        while it holds fewer credits than ``idle_credits`` and than an equal
        share of the slots.
        """
        eligible = {
            n: e
            for n, e in self._entries.items()
            if e.attached and not e.recalled
        }
        with_demand = {n: e for n, e in eligible.items() if e.unmet}
        if with_demand:
            return _choose_by_lag(with_demand)
        if not self._cfg.keep_in_hand:
            return _choose_least_granted(eligible)
        idle_limit = min(
            self._cfg.idle_credits, -(-self._slots // max(1, len(eligible)))
        )
        idle = {
            n: e
            for n, e in eligible.items()
            if e.has_pending_batch and e.granted < idle_limit
        }
        return _choose_least_granted(idle)

    def _recall(self, now: float) -> dict[str, int]:
        """Recall credits when closed, if slots were removed, or for demand.

        For demand of other entries only credits beyond an entry's own demand
        are recalled.
        """
        if self._closed or self.free < 0:
            needed = self.granted if self._closed else -self.free
            return self._recall_up_to(needed - self._recalled, idle_only=False)
        return self._recall_up_to(
            self._overdue(now) - self._recalled, idle_only=True
        )

    @property
    def _recalled(self) -> int:
        return sum(e.recalled for e in self._entries.values())

    def _overdue(self, now: float) -> int:
        """Return the demand that has been unmet for ``recall_after_ms``."""
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

    def _recall_up_to(self, needed: int, idle_only: bool) -> dict[str, int]:
        """Recall unused credits; return their number by entry.

        :param needed: how many to recall at most.
        :param idle_only: recall only credits beyond the demand of an entry.
        """
        recalls: dict[str, int] = {}
        for name, state in sorted(self._entries.items()):
            idle = state.granted - state.recalled
            if idle_only:
                idle = state.excess
            count = min(needed, idle)
            if count <= 0:
                continue
            state.recalled += count
            recalls[name] = count
            needed -= count
        return recalls

    def _remove_if_unused(self, entry: str) -> None:
        state = self._entries[entry]
        if not state.attached and state.running == 0:
            del self._entries[entry]


def _reset_credits(state: EntryCredits) -> None:
    state.granted = 0
    state.recalled = 0
    state.demand = 0
    state.waiting_since = None
    state.lag = 0.0


def _choose_least_granted(idle: dict[str, EntryCredits]) -> str | None:
    """Choose the entry with the fewest credits.

    Entries to which a batch is sent anyway come before all others.
    """
    return min(
        idle,
        key=lambda n: (not idle[n].has_pending_batch, idle[n].granted, n),
        default=None,
    )


def _expire_demand(state: EntryCredits, now: float) -> None:
    if state.demand_expires_at is None:
        state.demand_expires_at = now + DEMAND_VALIDITY_S
    if now >= state.demand_expires_at:
        state.demand = 0


def _spend(state: EntryCredits, count: int) -> None:
    state.granted -= count
    state.recalled = min(state.recalled, state.granted)


def _choose_by_lag(with_demand: dict[str, EntryCredits]) -> str:
    """Choose an entry so that slots are granted in proportion to demand.

    Every candidate's lag grows by its share of the unmet demand, and the
    chosen one's falls by a slot. The lag of an entry that is passed over
    rises until it is chosen.
    """
    total = sum(e.unmet for e in with_demand.values())
    for state in with_demand.values():
        state.lag += state.unmet / total
    chosen = max(with_demand, key=lambda n: (with_demand[n].rank, n))
    with_demand[chosen].lag -= 1.0
    return chosen
