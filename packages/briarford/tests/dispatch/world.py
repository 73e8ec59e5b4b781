"""Virtual time, processes that can fail, and a record of each case."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from briarford.jobs import TaskRef
from briarford.outcomes import Outcome, Step

START_AT = 1_800_000_000.0
LATENCY_S = 0.0005
JITTER_S = 0.0005


@dataclass(slots=True)
class Start:
    """The start of one task at a backend server.

    :param at: virtual time of the start.
    :param left_at: virtual time at which the backend server began to drain;
        None if it was not draining.
    """

    at: float
    ref: TaskRef
    backend: str
    left_at: float | None


@dataclass(slots=True)
class Record:
    """What clients and backend servers saw in one case.

    :param starts: tasks that backend servers started.
    :param reported_not_started: attempts that an agent reported to an entry
        as not started.
    :param answers: answers that each client read, with their times.
    :param turns: turns of each core.
    :param messages: batches in each direction, and connections ("dials").
    :param injected_faults: names of the faults that were injected.
    :param unanswered: violations of the check that jobs which cannot end are
        answered at once; one line for each client.
    """

    starts: list[Start] = field(default_factory=list)
    reported_not_started: list[TaskRef] = field(default_factory=list)
    answers: dict[str, list[tuple[float, Outcome]]] = field(
        default_factory=dict
    )
    turns: Counter[str] = field(default_factory=Counter)
    messages: Counter[str] = field(default_factory=Counter)
    injected_faults: list[str] = field(default_factory=list)
    unanswered: list[str] = field(default_factory=list)


@dataclass(slots=True)
class StepContext:
    """The processes that are involved when a job reaches a step.

    A fault that is injected at the step acts on these; a field that is not
    set leaves the choice to the fault.
    """

    step: Step
    job_id: str = ""
    entry: Any = None
    agent: Any = None
    stream: Any = None


class World:
    """Runs scheduled events in the order of their virtual time.

    :param seed: seeds the latencies.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = START_AT
        self.record = Record()
        self.faults_end_at = START_AT
        self.message_faults: list[str] = []
        self.on_step: Callable[[StepContext], None] = lambda context: None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0

    def call_at(self, when: float, run: Callable[[], None]) -> None:
        self._serial += 1
        heapq.heappush(self._events, (max(when, self.now), self._serial, run))

    def call_later(self, delay_s: float, run: Callable[[], None]) -> None:
        self.call_at(self.now + delay_s, run)

    def latency(self) -> float:
        return LATENCY_S + self.rng.random() * JITTER_S

    def run_until(self, end: float) -> None:
        while self._events and self._events[0][0] <= end:
            when, _, run = heapq.heappop(self._events)
            self.now = when
            run()
        self.now = end

    def extend_faults(self, seconds: float) -> None:
        """Extend the time until which injected faults have direct effects."""
        self.faults_end_at = max(self.faults_end_at, self.now + seconds)


class Process:
    """A process that can crash, restart, pause and have a wrong clock.

    Events that fall into a pause run when it ends. A crash increments
    ``generation``, and events of an earlier generation are dropped.
    """

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.alive = True
        self.paused = False
        self.clock_offset_s = 0.0
        self.generation = 0
        self._deferred: list[Callable[[], None]] = []

    @property
    def clock(self) -> float:
        return self.world.now + self.clock_offset_s

    def at(self, when: float, run: Callable[[], None]) -> None:
        """Run a callback in this process, unless it has crashed by then."""
        generation = self.generation

        def run_if_alive() -> None:
            if generation != self.generation or not self.alive:
                return
            if self.paused:
                self._deferred.append(run_if_alive)
                return
            run()

        self.world.call_at(when, run_if_alive)

    def after(self, delay_s: float, run: Callable[[], None]) -> None:
        self.at(self.world.now + delay_s, run)

    def pause(self, seconds: float) -> None:
        self.paused = True
        self.world.call_later(seconds, self.resume)

    def resume(self) -> None:
        self.paused = False
        deferred = self._deferred
        self._deferred = []
        for run in deferred:
            self.world.call_at(self.world.now, run)

    def crash(self, restart_after_s: float) -> None:
        if not self.alive:
            return
        self.alive = False
        self.generation += 1
        self._deferred.clear()
        self.on_crash()
        self.world.call_later(restart_after_s, self.restart)

    def restart(self) -> None:
        if self.alive:
            return
        self.alive = True
        self.on_restart()

    def on_crash(self) -> None:
        """Close the connections, so that peers notice."""

    def on_restart(self) -> None:
        """Create the state of the new process instance."""


class CoreProcess(Process):
    """A process that runs a core as the daemon does: messages, turns, effects.

    Messages that are posted before the next turn are handled in one turn.
    """

    core: Any
    _timer_at: float | None = None
    _turning = False

    def post(self, message: object) -> None:
        self.core.receive(message, self.clock)
        self.schedule_turn()

    def schedule_turn(self) -> None:
        if not self._turning:
            self._turning = True
            self.after(0.0, self._turn)

    def reset_turns(self) -> None:
        self._timer_at = None
        self._turning = False

    def perform(self, effect: Any) -> None:
        raise NotImplementedError

    def _turn(self) -> None:
        self._turning = False
        self.world.record.turns[self.name] += 1
        for effect in self.core.turn(self.clock):
            self.perform(effect)
        self._set_timer()

    def _set_timer(self) -> None:
        deadline = self.core.next_deadline()
        if deadline is None:
            return
        when = max(deadline - self.clock_offset_s, self.world.now + 0.001)
        if self._timer_at is not None and self._timer_at <= when:
            return
        self._timer_at = when
        self.at(when, self._on_timer)

    def _on_timer(self) -> None:
        if self._timer_at is not None and self.world.now >= self._timer_at:
            self._timer_at = None
            self._turn()
