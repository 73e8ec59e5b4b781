from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from briarford.placement import SlotGranter

ENTRIES = st.sampled_from(["a", "b", "c"])


class GranterMachine(RuleBasedStateMachine):
    """Entries that spend and return what they hold, on ordered streams."""

    def __init__(self) -> None:
        super().__init__()
        self.granter = SlotGranter()
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
        assert self.granter.started(entry) is may_start
        if may_start:
            self.held[entry] = max(0, credits - 1)
            self.running[entry] += 1

    @rule(entry=ENTRIES)
    def end(self, entry: str) -> None:
        if self.running[entry]:
            self.granter.ended(entry)
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
            self.granter.returned(grant.entry, returned)
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


TestGranter = GranterMachine.TestCase
TestGranter.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
