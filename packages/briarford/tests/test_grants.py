from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from briarford.placement import PlacementConfig, SlotGranter

ENTRIES = st.sampled_from(["a", "b", "c"])


class GranterMachine(RuleBasedStateMachine):
    """Entries that spend and return what they hold, on ordered streams."""

    cfg = PlacementConfig()

    def __init__(self) -> None:
        super().__init__()
        self.granter = SlotGranter(self.cfg)
        self.now = 1000.0
        self.held: dict[str, int] = {}
        self.running = {"a": 0, "b": 0, "c": 0}
        self.closed = False
        self.set_slots(8)
        self.attach("a")
        self.attach("b")
        self.turn(0.0)

    @property
    def free(self) -> int:
        in_use = sum(self.held.values()) + sum(self.running.values())
        return self.slots - in_use

    @rule(entry=ENTRIES)
    def attach(self, entry: str) -> None:
        self.granter.attach(entry)
        self.held[entry] = 0

    @rule(entry=ENTRIES)
    def detach(self, entry: str) -> None:
        self.granter.detach(entry)
        self.held.pop(entry, None)

    @rule(slots=st.integers(0, 9))
    def set_slots(self, slots: int) -> None:
        self.granter.set_slots(slots)
        self.slots = slots

    @rule(entry=ENTRIES, demand=st.integers(0, 20))
    def set_demand(self, entry: str, demand: int) -> None:
        self.granter.set_demand(entry, demand)

    @rule(entry=ENTRIES)
    def start(self, entry: str) -> None:
        credits = self.held.get(entry, 0)
        spare = 0 if entry not in self.held or self.closed else self.free
        may_start = credits > 0 or spare > 0
        assert self.granter.try_start(entry) is may_start
        if may_start:
            self.held[entry] = max(0, credits - 1)
            self.running[entry] += 1

    @rule(entry=ENTRIES)
    def end(self, entry: str) -> None:
        if self.running[entry]:
            self.granter.release_slot(entry)
            self.running[entry] -= 1

    @rule(step_s=st.floats(0.0, 0.01))
    def turn(self, step_s: float) -> None:
        self.now += step_s
        grants = self.granter.turn(self.now)
        for grant in grants:
            assert not (self.closed and grant.credits)
            self.held[grant.entry] += grant.credits
        if any(grant.credits for grant in grants):
            assert self.granter.free >= 0
        for grant in grants:
            returned = min(grant.recall, self.held[grant.entry])
            self.held[grant.entry] -= returned
            self.granter.reclaim_credits(grant.entry, returned)
        running = sum(self.running.values())
        assert sum(self.held.values()) + running <= max(self.slots, running)

    @precondition(lambda self: sum(self.running.values()) > 2)
    @rule()
    def close(self) -> None:
        self.granter.close()
        self.closed = True

    @invariant()
    def slots_are_conserved(self) -> None:
        granter = self.granter
        assert granter.granted == sum(self.held.values())
        assert granter.running == sum(self.running.values())
        assert granter.granted + granter.running + granter.free == self.slots


class InHandMachine(GranterMachine):
    """The same with slots that the agent keeps."""

    cfg = PlacementConfig(keep_in_hand=True, idle_credits=2)


SETTINGS = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestGranter = GranterMachine.TestCase
TestGranter.settings = SETTINGS
TestInHand = InHandMachine.TestCase
TestInHand.settings = SETTINGS


def test_an_unmet_wait_needs_one_timer_only() -> None:
    granter = SlotGranter()
    granter.set_slots(1)
    granter.attach("a")
    granter.turn(1000.0)
    granter.try_start("a")
    granter.set_demand("a", 5)
    granter.turn(1000.0)
    recall_at = granter.next_turn_at()
    assert recall_at is not None
    assert recall_at > 1000.0
    granter.turn(recall_at)
    assert granter.next_turn_at() is None


def test_idle_credits_are_recalled_for_waiting_demand() -> None:
    granter = SlotGranter()
    granter.set_slots(2)
    granter.attach("a")
    granter.turn(1000.0)
    granter.attach("b")
    granter.set_demand("b", 2)
    assert granter.turn(1000.0) == []
    recall_at = granter.next_turn_at()
    assert recall_at is not None
    (recall,) = granter.turn(recall_at)
    assert (recall.entry, recall.recall) == ("a", 2)
    granter.reclaim_credits("a", 2)
    (grant,) = granter.turn(recall_at)
    assert (grant.entry, grant.credits) == ("b", 2)


def test_slots_follow_demand_in_proportion() -> None:
    granter = SlotGranter()
    for entry in ("a", "b"):
        granter.attach(entry)
    granter.set_demand("a", 30)
    granter.set_demand("b", 10)
    granter.set_slots(8)
    grants = {g.entry: g.credits for g in granter.turn(1000.0)}
    assert grants == {"a": 6, "b": 2}
