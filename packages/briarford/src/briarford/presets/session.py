"""One change of the record, from what the operator saw to its outcome.

The rules that make the outcome true:

- A write replaces exactly the version that the session expects, so it can
  take effect once at most, however often it is sent.
- After a write without an answer the session is in doubt until it meets its
  change id (accepted) or a higher version whose history has no such id (that
  write can no longer take effect).
- A read that shows the expected version settles nothing, as a write may
  still be on its way or the read may be stale; the same write goes again.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from briarford.presets.codec import decode_record, encode_record
from briarford.presets.edits import (
    apply_change,
    diff_records,
    find_clashes,
)
from briarford.presets.exceptions import RecordError
from briarford.presets.messages import (
    Accepted,
    ChangeEffect,
    ChangeEvent,
    ChangeOutcome,
    Conflicted,
    NotAccepted,
    OutcomeUnknown,
    ReadAnswered,
    ReadRecord,
    SleepUntil,
    StoreFailed,
    Woken,
    WriteAnswered,
    WriteRecord,
)
from briarford.presets.schema import Edit, Record
from briarford.store import KeyValue

__all__ = ["ChangeRequest", "ChangeSession"]

FIRST_DELAY_S = 0.1
LONGEST_DELAY_S = 2.0
MAX_REBASES = 8


@dataclass(slots=True, frozen=True)
class ChangeRequest:
    """What an operator wants to change.

    :param change_id: names the change; a repeat under it has no effect.
    :param reapply: whether to make the edits on a newer record if nobody
        else has changed the same fields.
    :param deadline: Unix seconds by which an outcome is wanted.
    """

    change_id: str
    edits: tuple[Edit, ...]
    who: str
    why: str
    deadline: float
    reapply: bool = False


class ChangeSession:
    """Makes a change by compare-and-swap on the version that was seen.

    Feed it events with :meth:`start` and :meth:`handle`; each gives the next
    effect to carry out, or the outcome.

    :param seen: the record as the operator saw it.
    :param key_version: version of its key in the store.
    :param rng: spreads the repeats.
    """

    __slots__ = (
        "_base",
        "_delay_s",
        "_detail",
        "_in_doubt",
        "_key_version",
        "_rebases",
        "_req",
        "_rng",
        "_seen",
        "_write",
    )

    def __init__(
        self,
        req: ChangeRequest,
        seen: Record,
        key_version: int,
        rng: random.Random,
    ) -> None:
        self._req = req
        self._seen = seen
        self._base = seen
        self._key_version = key_version
        self._rng = rng
        self._write: WriteRecord | None = None
        self._in_doubt = False
        self._rebases = 0
        self._delay_s = FIRST_DELAY_S
        self._detail = ""

    def start(self, now: float) -> ChangeEffect | ChangeOutcome:
        """Return the first effect.

        :raises RecordError: if the edits do not give a valid record.
        """
        known = self._base.find_change(self._req.change_id)
        if known is not None:
            return Accepted(known.change_id, known.version)
        return self._make_write(now)

    def handle(
        self, event: ChangeEvent, now: float
    ) -> ChangeEffect | ChangeOutcome:
        """Take what became of the last effect and return the next one."""
        match event:
            case WriteAnswered(None):
                return self._accept(self._base.version + 1)
            case WriteAnswered(found):
                return self._compare(found, now)
            case ReadAnswered(found):
                return self._compare(found, now)
            case StoreFailed(detail, maybe_applied):
                self._in_doubt = self._in_doubt or maybe_applied
                return self._back_off(detail, now)
            case Woken():
                return self._repeat(now)

    def _make_write(self, now: float) -> ChangeEffect:
        req = self._req
        changed = apply_change(
            self._base,
            req.edits,
            change_id=req.change_id,
            who=req.who,
            why=req.why,
            when=now,
        )
        self._write = WriteRecord(encode_record(changed), self._key_version)
        return self._write

    def _accept(self, version: int) -> Accepted:
        return Accepted(self._req.change_id, version, self._rebases > 0)

    def _repeat(self, now: float) -> ChangeEffect | ChangeOutcome:
        if now >= self._req.deadline:
            return self._give_up()
        if self._in_doubt or self._write is None:
            return ReadRecord()
        return self._write

    def _back_off(
        self, detail: str, now: float
    ) -> ChangeEffect | ChangeOutcome:
        self._detail = detail
        wait_s = self._rng.uniform(0.5, 1.0) * self._delay_s
        self._delay_s = min(LONGEST_DELAY_S, self._delay_s * 2)
        if now + wait_s >= self._req.deadline:
            return self._give_up()
        return SleepUntil(now + wait_s)

    def _give_up(self) -> ChangeOutcome:
        if self._in_doubt:
            return OutcomeUnknown(self._req.change_id, self._detail)
        return NotAccepted(self._detail)

    def _compare(
        self, found: KeyValue | None, now: float
    ) -> ChangeEffect | ChangeOutcome:
        """Compare what is in the store with what the session expects."""
        if found is None or found.version < self._key_version:
            return self._back_off("the store shows an older record", now)
        if found.version == self._key_version:
            return self._write or self._make_write(now)
        try:
            theirs = decode_record(found.value)
        except RecordError as exc:
            return self._back_off(exc.message, now)
        return self._settle(theirs, found.version, now)

    def _settle(
        self, theirs: Record, key_version: int, now: float
    ) -> ChangeEffect | ChangeOutcome:
        """Settle the last write by a record of a higher version."""
        mine = theirs.find_change(self._req.change_id)
        if mine is not None:
            return self._accept(mine.version)
        if self._in_doubt and not self._covers(theirs):
            detail = "the history no longer reaches back to the change"
            return OutcomeUnknown(self._req.change_id, detail)
        self._in_doubt = False
        conflict = self._describe_conflict(theirs)
        self._rebases += 1
        if (
            not self._req.reapply
            or conflict.clashes
            or self._rebases > MAX_REBASES
        ):
            return conflict
        return self._rebase(theirs, key_version, now)

    def _covers(self, theirs: Record) -> bool:
        """Whether the history has all changes since the expected version."""
        if theirs.version <= self._base.version or not theirs.history:
            return False
        return theirs.history[0].version <= self._base.version + 1

    def _describe_conflict(self, theirs: Record) -> Conflicted:
        req = self._req
        changes = diff_records(self._seen, theirs)
        clashes = find_clashes(req.edits, changes)
        return Conflicted(theirs.version, req.edits, changes, clashes)

    def _rebase(
        self, theirs: Record, key_version: int, now: float
    ) -> ChangeEffect | ChangeOutcome:
        self._base = theirs
        self._key_version = key_version
        try:
            return self._make_write(now)
        except RecordError as exc:
            return NotAccepted(exc.message)
