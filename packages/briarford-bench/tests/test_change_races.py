"""Two operators change the preset record at the same time.

Every order of their steps is run, with every choice of up to two store faults.
The tests guard against a change that is made twice, lost after it was reported
as accepted, or made although it was reported as not made: an answer of the
store may be lost after the write, and a delayed write may arrive after the
operator has retried.
"""

from __future__ import annotations

import copy
import pickle
import random

import msgspec
import pytest

from briarford.presets import (
    PRESET_KEY,
    Accepted,
    ChangeRequest,
    ChangeSession,
    Conflicted,
    Edit,
    NotAccepted,
    OutcomeUnknown,
    PresetHolder,
    ReadAnswered,
    ReadOrWriteFailed,
    ReadRecord,
    RecordError,
    SleepUntil,
    Woken,
    WriteAnswered,
    WriteRecord,
    decode_record,
    encode_record,
    find_clashes,
    make_default_record,
    to_document,
)
from briarford.store import KeyValue
from briarford_bench.kv_core import KvCore

OUTCOMES = (Accepted, Conflicted, NotAccepted, OutcomeUnknown)
NO_TIME_LIMIT_S = 1e9
QUEUE = ("presets", "peak", "limits", "queue_bound")
PEAK = to_document(make_default_record())["presets"]["peak"]
SWITCH = Edit(("active",), "ordinary", "peak")
BOUND_7 = Edit(QUEUE, 5000, 7)
BOUND_8 = Edit(QUEUE, 5000, 8)
REMOVE = Edit(("presets", "peak"), PEAK)


class Choices:
    """Enumerates all sequences of choices, one sequence for each run.

    A run repeats the choices of ``script`` and takes the first option at each
    later choice; :meth:`advance` sets the script of the next sequence.
    """

    def __init__(self):
        self.script = []
        self.choices_made = []

    def choose(self, options):
        at = len(self.choices_made)
        index = self.script[at] if at < len(self.script) else 0
        self.choices_made.append((index, len(options)))
        return options[index]

    def advance(self):
        while (
            self.choices_made
            and self.choices_made[-1][0] + 1 == self.choices_made[-1][1]
        ):
            self.choices_made.pop()
        self.script = [index for index, _ in self.choices_made]
        self.choices_made = []
        if not self.script:
            return False
        self.script[-1] += 1
        return True


class ReferenceRecord:
    """A reference for the record: a document to which edits are applied."""

    def __init__(self, record):
        self.document = copy.deepcopy(to_document(record))

    def apply(self, edits):
        for edit in edits:
            node = self.document
            for key in edit.path[:-1]:
                node = node[key]
            if edit.new is msgspec.UNSET:
                del node[edit.path[-1]]
            else:
                node[edit.path[-1]] = edit.new


class Race:
    """A store, the sessions of two operators and the delayed writes.

    :param choices: decides which step comes next and which fault it meets.
    :param edits: edit of each operator, by name.
    :param reapply: whether a session applies its edit to a newer record if
        nobody else has changed the same field.
    :param faults: number of faults that may happen in this run.
    :param give_up_s: seconds after which the sessions stop trying.
    """

    def __init__(self, choices, edits, reapply, faults, give_up_s):
        self.choices = choices
        self.faults = faults
        self.clocks = dict.fromkeys(edits, 0.0)
        self.store = KvCore(random.Random(0))
        self.first = encode_record(make_default_record())
        self.store.swap(PRESET_KEY, self.first, 0, 0.0)
        self.delayed_writes = []
        self.holder = PresetHolder()
        self.sessions = {
            name: self.make_session(name, edit, reapply, give_up_s)
            for name, edit in edits.items()
        }
        self.next_effects = {n: s.start(0.0) for n, s in self.sessions.items()}

    def make_session(self, name, edit, reapply, give_up_s):
        found = self.store.get(PRESET_KEY, 0.0)
        deadline = self.clocks[name] + give_up_s
        req = ChangeRequest(name, (edit,), name, "why", deadline, reapply)
        record = decode_record(found.value)
        return ChangeSession(req, record, found.version, random.Random(1))

    def fingerprint(self):
        state = (
            self.sessions,
            self.next_effects,
            self.clocks,
            self.delayed_writes,
        )
        return pickle.dumps((state, self.faults, self.record))

    def run(self, visited):
        """Run until both sessions have an outcome and no write is delayed.

        Stops early, and returns False, in a state that another run reached.
        """
        while True:
            if len(self.choices.choices_made) >= len(self.choices.script):
                state = self.fingerprint()
                if state in visited:
                    return False
                visited.add(state)
            unfinished = [
                n for n, e in self.next_effects.items() if not is_finished(e)
            ]
            delayed_arrivals = [
                ("arrive", i) for i in range(len(self.delayed_writes))
            ]
            if not unfinished and not delayed_arrivals:
                return True
            kind, which = self.choices.choose(
                [("step", n) for n in unfinished] + delayed_arrivals
            )
            if kind == "arrive":
                self.apply_delayed_write(which)
            else:
                self.step(which)
            self.observe()

    def apply_delayed_write(self, index):
        write = self.delayed_writes.pop(index)
        if self.choices.choose(["arrives", "is lost"]) == "arrives":
            self.store.swap(PRESET_KEY, write.encoded, write.expected, 0.0)

    def step(self, name):
        event = self.execute(name, self.next_effects[name])
        now = self.clocks[name]
        self.next_effects[name] = self.sessions[name].handle(event, now)

    def choose_fault(self, *options):
        fault = self.choices.choose(options if self.faults else options[:1])
        self.faults -= fault != "ok"
        return fault

    def execute(self, name, effect):
        match effect:
            case SleepUntil(at):
                self.clocks[name] = at
                return Woken()
            case ReadRecord():
                return self.read()
            case WriteRecord():
                return self.write(effect)

    def read(self):
        fault = self.choose_fault("ok", "no answer", "stale")
        found = self.store.get(PRESET_KEY, 0.0)
        if fault == "no answer":
            return ReadOrWriteFailed("down", False)
        if fault == "stale":
            return ReadAnswered(KeyValue(PRESET_KEY, self.first, 1))
        return ReadAnswered(found)

    def write(self, effect):
        fault = self.choose_fault("ok", "refused", "answer lost", "delayed")
        if fault == "refused":
            return ReadOrWriteFailed("down", False)
        if fault == "delayed":
            self.delayed_writes.append(effect)
            return ReadOrWriteFailed("slow", True)
        reply = self.store.swap(
            PRESET_KEY, effect.encoded, effect.expected, 0.0
        )
        if fault == "answer lost":
            return ReadOrWriteFailed("lost", True)
        return WriteAnswered(None if reply.written else reply.found)

    def observe(self):
        before = self.holder.version
        self.holder.adopt_if_newer(self.store.get(PRESET_KEY, 0.0).value, 0.0)
        assert self.holder.version - before in (0, 1) or not before

    @property
    def record(self):
        return decode_record(self.store.get(PRESET_KEY, 0.0).value)


def is_finished(effect):
    return isinstance(effect, OUTCOMES)


def check_outcomes(race, edits):
    record = race.record
    applied_ids = [change.change_id for change in record.history]
    assert len(applied_ids) == len(set(applied_ids))
    assert record.version == 1 + len(applied_ids)
    if find_clashes([edits["ann"]], [edits["bob"]]):
        assert len(applied_ids) <= 1
    reference = ReferenceRecord(make_default_record())
    for name in applied_ids:
        reference.apply([edits[name]])
    final = to_document(record)
    for field in ("active", "presets", "drains"):
        assert final[field] == reference.document[field]
    for name, outcome in race.next_effects.items():
        match outcome:
            case Accepted(_, version):
                assert record.find_change(name).version == version
            case Conflicted() | NotAccepted():
                assert name not in applied_ids


def check_repeated_change(race, edits, reapply):
    """Repeat a change of unknown outcome under its id.

    It must be made once if the repeat is accepted, else not at all.
    """
    for name, outcome in race.next_effects.items():
        if not isinstance(outcome, OutcomeUnknown):
            continue
        race.faults = 0
        session = race.make_session(
            name, edits[name], reapply, NO_TIME_LIMIT_S
        )
        try:
            effect = session.start(race.clocks[name])
        except RecordError:
            effect = NotAccepted("the edit no longer fits")
        while not is_finished(effect):
            event = race.execute(name, effect)
            effect = session.handle(event, race.clocks[name])
        applied_ids = [c.change_id for c in race.record.history]
        assert applied_ids.count(name) == isinstance(effect, Accepted)


@pytest.mark.parametrize("faults", [0, 1, 2])
@pytest.mark.parametrize("reapply", [False, True], ids=["stop", "reapply"])
@pytest.mark.parametrize(
    "pair",
    [
        pytest.param((BOUND_7, BOUND_8), id="same-field"),
        pytest.param((BOUND_7, SWITCH), id="other-field"),
        pytest.param((REMOVE, BOUND_8), id="group-and-field"),
        pytest.param((REMOVE, SWITCH), id="switch-to-the-removed"),
    ],
)
def test_reported_outcomes_are_true_in_every_interleaving(
    pair, reapply, faults
):
    edits = dict(zip(("ann", "bob"), pair, strict=True))
    outcome_types = set()
    for give_up_s in (0.04, 0.2):
        choices = Choices()
        visited = set()
        has_more = True
        while has_more:
            race = Race(choices, edits, reapply, faults, give_up_s)
            if race.run(visited):
                check_outcomes(race, edits)
                outcome_types.update(
                    type(o) for o in race.next_effects.values()
                )
                check_repeated_change(race, edits, reapply)
            has_more = choices.advance()
    assert Accepted in outcome_types
    assert faults == 0 or OutcomeUnknown in outcome_types
