"""Makes one change of the record by compare-and-swap, and finds its outcome.

The store may lose or delay a write or its answer, and may serve stale reads.
The reported outcome is correct all the same, because of these rules:

- A write replaces exactly the version that the session expects, so it takes
  effect at most once, however often it is sent.
- After a write without an answer, the session does not know whether the
  change was stored. It reads the record until it finds either its change id
  in the history (the change was stored) or a higher version whose history
  lacks the id (that write can no longer take effect).
- A read that shows the expected version proves nothing, as the write may
  still be in flight or the read may be stale. The session sends the same
  write again.
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
    ReadOrWriteFailed,
    ReadRecord,
    SleepUntil,
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
    """A change of the record that an operator requests.

    :param change_id: identifies the change, so that a repeat of it has no
        effect.
    :param edits: the edits, relative to the record that the operator saw.
    :param who: the operator.
    :param why: the reason, for other operators.
    :param deadline: Unix seconds after which nothing is retried.
    :param reapply: whether to apply the edits to a newer record if nobody
        else has changed the same fields.
    """

    change_id: str
    edits: tuple[Edit, ...]
    who: str
    why: str
    deadline: float
    reapply: bool = False


class ChangeSession:
    """Makes a change by compare-and-swap on the version the operator saw.

    The session does no input or output: :meth:`start` and :meth:`handle`
    return the next effect for the caller to carry out, or the outcome.

    :param req: the requested change.
    :param seen: the record as the operator saw it.
    :param key_version: version of its key in the store.
    :param rng: jitters the retry delays.
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
        """Return the first write, or the outcome if the change is stored.

        :param now: Unix seconds.
        :raises RecordError: if the edits do not give a valid record.
        """
        known = self._base.find_change(self._req.change_id)
        if known is not None:
            return Accepted(known.change_id, known.version)
        return self._make_write(now)

    def handle(
        self, event: ChangeEvent, now: float
    ) -> ChangeEffect | ChangeOutcome:
        """Process the result of the last effect and return what follows.

        :param now: Unix seconds.
        """
        match event:
            case WriteAnswered(None):
                return self._make_accepted(self._base.version + 1)
            case WriteAnswered(found):
                return self._compare_stored(found, now)
            case ReadAnswered(found):
                return self._compare_stored(found, now)
            case ReadOrWriteFailed(detail, maybe_applied):
                self._maybe_written = self._maybe_written or maybe_applied
                return self._back_off(detail, now)
            case Woken():
                return self._retry(now)

    def _make_write(self, now: float) -> ChangeEffect:
        """Build the write that applies the edits to the base record."""
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
        """Repeat the write, or read first if it may have been stored."""
        if now >= self._req.deadline:
            return self._time_out()
        if self._maybe_written or self._write is None:
            return ReadRecord()
        return self._write

    def _back_off(
        self, detail: str, now: float
    ) -> ChangeEffect | ChangeOutcome:
        """Wait with exponential backoff, or end if the deadline is nearer."""
        self._last_failure = detail
        wait_s = self._rng.uniform(0.5, 1.0) * self._retry_delay_s
        self._retry_delay_s = min(MAX_RETRY_DELAY_S, self._retry_delay_s * 2)
        if now + wait_s >= self._req.deadline:
            return self._time_out()
        return SleepUntil(now + wait_s)

    def _time_out(self) -> ChangeOutcome:
        """Return the outcome at the deadline."""
        if self._maybe_written:
            return OutcomeUnknown(self._req.change_id, self._last_failure)
        return NotAccepted(self._last_failure)

    def _compare_stored(
        self, found: KeyValue | None, now: float
    ) -> ChangeEffect | ChangeOutcome:
        """Compare the version of the stored key with the expected one.

        A missing key or a lower version is a stale read. At the expected
        version the write is sent again.
        """
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
        """Decide, from a record of a higher version, about the last write.

        If its history has the change id, the change was stored. If not, and
        the history reaches back to the base record, a write without an answer
        was not stored either and can no longer be: the edits are reapplied,
        or a conflict is returned.
        """
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
        """Whether the history has all changes since the base record."""
        if newer.version <= self._base.version or not newer.history:
            return False
        return newer.history[0].version <= self._base.version + 1

    def _find_conflict(self, newer: Record) -> Conflicted:
        """Compare the edits with all changes since the operator's read."""
        req = self._req
        changes = diff_records(self._seen, newer)
        clashes = find_clashes(req.edits, changes)
        return Conflicted(newer.version, req.edits, changes, clashes)

    def _rebase(
        self, newer: Record, key_version: int, now: float
    ) -> ChangeEffect | ChangeOutcome:
        """Apply the edits to a newer record and return the write of it."""
        self._base = newer
        self._key_version = key_version
        try:
            return self._make_write(now)
        except RecordError as exc:
            return NotAccepted(exc.message)
