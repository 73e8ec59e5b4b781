"""Which worker an agent controls, as heartbeats and stored records claim it.

Another writer may send a heartbeat, or write the stored record. A worker is
confirmed once a run listing has come from its address, under its id, with its
birth. A confirmed worker that answers stays, whatever a heartbeat claims: the
heartbeat of another incarnation is kept as pending until a run listing, which
is requested at once, shows whether the worker still answers.
"""

from __future__ import annotations

import enum

import msgspec

from briarford.runs.worker import WorkerReport

__all__ = ["Verdict", "WorkerClaims", "same_incarnation"]

# A late heartbeat may contradict a newer one, but heartbeats that were held up
# arrive together. Those of a worker that reports steadily are 1.5 s apart.
CONTRADICTION_S = 0.5
# More heartbeats than a sound worker sends while none of them arrives.
MAX_SEQUENCE_STEP = 1000


class Verdict(enum.Enum):
    """What an agent does with a heartbeat."""

    ADOPT = "adopt"  # control the worker that it names
    UPDATE = "update"  # it is of the present worker
    VERIFY = "verify"  # see whether the present worker still answers
    IGNORE = "ignore"


class _Contradiction(msgspec.Struct, frozen=True):
    """A heartbeat of the present worker that does not fit what is known.

    :param report: the heartbeat.
    :param at: when it arrived, in Unix seconds.
    """

    report: WorkerReport
    at: float


class WorkerClaims:
    """Judges heartbeats and confirms workers, for one agent.

    ``confirmed`` is whether the present worker has sent a run listing, and
    ``pending`` the heartbeat of another incarnation that is to be verified.
    """

    __slots__ = (
        "_contradiction",
        "_failed",
        "_known_at",
        "_pending_since",
        "_reported",
        "confirmed",
        "pending",
    )

    def __init__(self) -> None:
        self.confirmed = False
        self.pending: WorkerReport | None = None
        self._reported = False
        self._failed = False
        self._known_at = 0.0
        self._pending_since = 0.0
        self._contradiction: _Contradiction | None = None

    def adopted(self, is_reported: bool, now: float) -> None:
        """Start over with another worker or another incarnation of it.

        :param is_reported: whether its own heartbeat describes it, and not a
            stored record or its previous incarnation.
        """
        self.confirmed = False
        self.pending = None
        self._reported = is_reported
        self._failed = False
        self._known_at = now
        self._contradiction = None

    def judge(
        self,
        current: WorkerReport | None,
        report: WorkerReport,
        answers: bool,
        now: float,
    ) -> Verdict:
        """Decide what a heartbeat is worth.

        :param current: the present worker, if there is one.
        :param report: the heartbeat.
        :param answers: whether the present worker answers.
        """
        if current is None:
            return Verdict.ADOPT
        if same_incarnation(current, report):
            return self._judge_update(current, report, answers, now)
        is_later = report.born_ms > current.born_ms
        other_worker = report.worker != current.worker
        if not self.confirmed:
            adopt = is_later or self._failed
            return Verdict.ADOPT if adopt else Verdict.IGNORE
        if not is_later and not other_worker:
            return Verdict.IGNORE  # delayed, of an earlier incarnation
        if not answers:
            return Verdict.ADOPT
        self.pending = report
        self._pending_since = now
        return Verdict.VERIFY

    def _judge_update(
        self,
        current: WorkerReport,
        report: WorkerReport,
        answers: bool,
        now: float,
    ) -> Verdict:
        """Judge a heartbeat with the id and the birth of the present worker.

        What stays the same for the life of a worker is believed of its own
        first heartbeat, and only a second one in a row that differs from it
        in the same way shows that the first was of another writer.
        """
        same_address = report.address == current.address
        if self.confirmed and answers and not same_address:
            return Verdict.IGNORE
        fits = _constants(report) == _constants(current)
        step = report.sequence - current.sequence
        if not self._reported or (not self.confirmed and not fits):
            self._reported = True
            self._contradiction = None
            return Verdict.UPDATE
        if fits and 0 <= step <= MAX_SEQUENCE_STEP:
            self._contradiction = None
            return Verdict.UPDATE
        earlier = self._contradiction
        if earlier is None or not _follows(report, earlier.report):
            self._contradiction = _Contradiction(report, now)
            return Verdict.IGNORE
        if now - earlier.at < CONTRADICTION_S:
            return Verdict.IGNORE
        self._contradiction = None
        return Verdict.UPDATE

    def listed(self, requested_at: float, now: float) -> bool:
        """Record a run listing of the present worker.

        :param requested_at: when it was requested.
        :return: whether it refutes the pending heartbeat.
        """
        self.confirmed = True
        self._known_at = now
        if self.pending is None or requested_at < self._pending_since:
            return False
        self.pending = None
        return True

    def failed(self) -> None:
        """Record a request for a run listing that got none."""
        self._failed = True

    def restart_shown(
        self, current: WorkerReport, born_ms: int, requested_at: float
    ) -> bool:
        """Whether a run listing with another birth shows the worker's own.

        A listing goes before a heartbeat. One that was requested before the
        present worker was last known may be of an earlier incarnation; any
        other is of a later one, also if the clock was set back.

        :param current: the present worker.
        :param born_ms: the birth in the listing.
        :param requested_at: when the listing was requested.
        """
        return born_ms > current.born_ms or requested_at > self._known_at


def same_incarnation(one: WorkerReport, other: WorkerReport) -> bool:
    """Whether two heartbeats claim to be of the same incarnation."""
    return one.worker == other.worker and one.born_ms == other.born_ms


def _constants(report: WorkerReport) -> tuple[object, ...]:
    """Return what does not change during the life of a worker."""
    return report.service, report.address, report.zone, report.labels


def _follows(report: WorkerReport, earlier: WorkerReport) -> bool:
    """Whether a heartbeat may be the next one of the same writer."""
    step = report.sequence - earlier.sequence
    same = _constants(report) == _constants(earlier)
    return same and 0 < step <= MAX_SEQUENCE_STEP
