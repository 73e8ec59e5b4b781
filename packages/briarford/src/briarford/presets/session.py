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

FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0
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
        "_key_version",
        "_last_failure",
        "_maybe_written",
        "_rebases",
        "_req",
        "_retry_delay_s",
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
        self._maybe_written = False
        self._rebases = 0
        self._retry_delay_s = FIRST_RETRY_DELAY_S
        self._last_failure = ""

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
                return self._make_accepted(self._base.version + 1)
            case WriteAnswered(found):
                return self._compare_stored(found, now)
            case ReadAnswered(found):
                return self._compare_stored(found, now)
            case StoreFailed(detail, maybe_applied):
                self._maybe_written = self._maybe_written or maybe_applied
                return self._back_off(detail, now)
            case Woken():
                return self._retry(now)

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

    def _make_accepted(self, version: int) -> Accepted:
        return Accepted(self._req.change_id, version, self._rebases > 0)

    def _retry(self, now: float) -> ChangeEffect | ChangeOutcome:
        if now >= self._req.deadline:
            return self._time_out()
        if self._maybe_written or self._write is None:
            return ReadRecord()
        return self._write

    def _back_off(
        self, detail: str, now: float
    ) -> ChangeEffect | ChangeOutcome:
        self._last_failure = detail
        wait_s = self._rng.uniform(0.5, 1.0) * self._retry_delay_s
        self._retry_delay_s = min(MAX_RETRY_DELAY_S, self._retry_delay_s * 2)
        if now + wait_s >= self._req.deadline:
            return self._time_out()
        return SleepUntil(now + wait_s)

    def _time_out(self) -> ChangeOutcome:
        if self._maybe_written:
            return OutcomeUnknown(self._req.change_id, self._last_failure)
        return NotAccepted(self._last_failure)

    def _compare_stored(
        self, found: KeyValue | None, now: float
    ) -> ChangeEffect | ChangeOutcome:
        """Compare what is in the store with what the session expects."""
        if found is None or found.version < self._key_version:
            return self._back_off("the store shows an older record", now)
        if found.version == self._key_version:
            return self._write or self._make_write(now)
        try:
            newer = decode_record(found.value)
        except RecordError as exc:
            return self._back_off(exc.message, now)
        return self._resolve_newer_record(newer, found.version, now)

    def _resolve_newer_record(
        self, newer: Record, key_version: int, now: float
    ) -> ChangeEffect | ChangeOutcome:
        """Settle the last write by a record of a higher version."""
        own_change = newer.find_change(self._req.change_id)
        if own_change is not None:
            return self._make_accepted(own_change.version)
        if self._maybe_written and not self._history_covers_base(newer):
            detail = "the history no longer reaches back to the change"
            return OutcomeUnknown(self._req.change_id, detail)
        self._maybe_written = False
        conflict = self._find_conflict(newer)
        self._rebases += 1
        if (
            not self._req.reapply
            or conflict.clashes
            or self._rebases > MAX_REBASES
        ):
            return conflict
        return self._rebase(newer, key_version, now)

    def _history_covers_base(self, newer: Record) -> bool:
        """Whether the history has all changes since the expected version."""
        if newer.version <= self._base.version or not newer.history:
            return False
        return newer.history[0].version <= self._base.version + 1

    def _find_conflict(self, newer: Record) -> Conflicted:
        req = self._req
        changes = diff_records(self._seen, newer)
        clashes = find_clashes(req.edits, changes)
        return Conflicted(newer.version, req.edits, changes, clashes)

    def _rebase(
        self, newer: Record, key_version: int, now: float
    ) -> ChangeEffect | ChangeOutcome:
        self._base = newer
        self._key_version = key_version
        try:
            return self._make_write(now)
        except RecordError as exc:
            return NotAccepted(exc.message)
