"""Refuses at once what cannot end within its objective.

Answers overload: the wait of a new request is estimated from the work that
waits before it and from how fast such work was started lately. While nothing
waits, or workers have just come back, nothing is refused.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from briarford.outcomes import RefusalReason, Refused, Step
from briarford.requests.agents import AgentView
from briarford.requests.job import JobRequest, longest_chain_s
from briarford.requests.placing import utilisation
from briarford.requests.waiting import WaitingTasks
from briarford.routes import Route

__all__ = [
    "Admission",
    "EstimateCorrection",
    "StartRate",
    "estimate_wait_s",
]

# A process is up half a second after its VM, and attached soon after.
ATTACH_S = 1.0
REFUSAL_UTILISATION = 0.85  # with more of the capacity free nothing is refused

RATE_WINDOW_S = 1.0  # several times the length of a usual task
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0  # bursts of the deployments last about four seconds


# Settles where one task in ten starts late: more urgent requests that come
# afterwards are not in the estimate.
CORRECTION_UP = 1.15
CORRECTION_DOWN = 0.985
MAX_CORRECTION = 10.0


class EstimateCorrection:
    """Multiplies estimates of waits by how wrong they were lately."""

    __slots__ = ("factor",)

    def __init__(self) -> None:
        self.factor = 1.0

    def update(self, *, late: bool) -> None:
        """Note that a task has been given to a worker."""
        if late:
            self.factor = min(MAX_CORRECTION, self.factor * CORRECTION_UP)
        else:
            self.factor = max(1.0, self.factor * CORRECTION_DOWN)


class StartRate:
    """Measures how much work is started a second."""

    __slots__ = ("_starts", "_sum")

    def __init__(self) -> None:
        self._starts: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, work: float, now: float) -> None:
        """Note work that has been given to a worker."""
        self._starts.append((now, work))
        self._sum += work

    def subtract(self, work: float) -> None:
        """Take back work that its worker had no room for."""
        if self._starts:
            at, last = self._starts[-1]
            self._starts[-1] = (at, last - work)
            self._sum -= work

    def per_s(self, now: float) -> float:
        """Return the work started a second in the last window."""
        while self._starts and self._starts[0][0] < now - RATE_WINDOW_S:
            self._sum -= self._starts.popleft()[1]
        return max(0.0, self._sum) / RATE_WINDOW_S


def estimate_wait_s(waiting: float, per_s: float) -> float:
    """Return how long new work waits behind other work.

    :param waiting: work that waits before it.
    :param per_s: work that is started a second.
    """
    if waiting <= 0.0:
        return 0.0
    if per_s <= 0.0:
        return float("inf")
    return waiting / per_s


class Admission:
    """Decides which requests an entry takes.

    :param entry: name of the entry.
    :param waiting: the tasks without a worker.
    """

    def __init__(self, entry: str, waiting: WaitingTasks) -> None:
        self.stop_by: float | None = None
        self._entry = entry
        self._waiting = waiting
        self._start_rate = StartRate()
        self._correction = EstimateCorrection()
        self._started_at = 0.0
        self._last_usable_at: dict[str, float] = {}
        self._usable_since: dict[str, float] = {}

    def check(
        self,
        request: JobRequest,
        route: Route,
        usable: Sequence[AgentView],
        now: float,
    ) -> Refused | None:
        """Return the refusal of a request, or None if it is taken.

        :param usable: agents of the service that take runs.
        """
        if request.unsupported or not request.best_effort:
            names = ", ".join(request.unsupported) or "stored jobs"
            return self.refuse(
                RefusalReason.UNSUPPORTED, f"not available: {names}", None
            )
        self._record_usable(route.service, bool(usable), now)
        if not usable and not self._agents_expected(route.service, now):
            return self.refuse(
                RefusalReason.WORKERS_LOST,
                f"no worker of '{route.service}' takes tasks now",
                now + 1.0,
            )
        chain_s = longest_chain_s(request.steps)
        if self.stop_by is not None and now + 2 * chain_s > self.stop_by:
            return self.refuse(
                RefusalReason.STOPPING,
                "the entry stops; another one takes the request",
                now + MIN_RETRY_AFTER_S,
            )
        if not usable or self.is_attaching(route.service, now):
            return None
        if utilisation(usable) < REFUSAL_UTILISATION:
            return None
        return self._check_wait(request, route, now)

    def record_process_start(self, now: float) -> None:
        """Note that the process has begun its work."""
        if not self._started_at:
            self._started_at = now

    def _record_usable(self, service: str, usable: bool, now: float) -> None:
        last = self._last_usable_at.get(service, 0.0)
        if not usable:
            return
        if now - last > ATTACH_S:
            self._usable_since[service] = now
        self._last_usable_at[service] = now

    def is_attaching(self, service: str, now: float) -> bool:
        """Whether workers have come back too lately to estimate waits."""
        return now - self._usable_since.get(service, now) < ATTACH_S

    def _agents_expected(self, service: str, now: float) -> bool:
        """Whether workers of a service are about to be found, or were just.

        After a common restart entries are up before agents; what arrives
        meanwhile waits, as workers come within its objective.
        """
        since = max(self._started_at, self._last_usable_at.get(service, 0.0))
        return now - since < ATTACH_S

    def _check_wait(
        self, request: JobRequest, route: Route, now: float
    ) -> Refused | None:
        """Refuse what would wait too long behind more urgent work."""
        chain_s = longest_chain_s(request.steps)
        slack_s = route.stretch * chain_s + route.target_s - chain_s
        ahead = self._waiting.work_before(now + slack_s, now)
        if ahead <= 0.0:
            return None
        own = sum(s.count * s.work for s in request.steps)
        wait_s = self._correction.factor * estimate_wait_s(
            ahead + own, self._start_rate.per_s(now)
        )
        if wait_s <= slack_s:
            return None
        retry_in_s = min(
            MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s - slack_s)
        )
        return self.refuse(
            RefusalReason.DEADLINE_UNREACHABLE,
            "the work that waits already does not leave enough time",
            now + retry_in_s,
        )

    def refuse_expired(self, now: float) -> Refused:
        """Return the refusal of what has waited until it is of no use."""
        wait_s = estimate_wait_s(
            self._waiting.work, self.started_work_per_s(now)
        )
        retry_in_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return self.refuse(
            RefusalReason.DEADLINE_UNREACHABLE,
            "no worker had room in time",
            now + retry_in_s,
        )

    def refuse(
        self, reason: RefusalReason, detail: str, retry_at: float | None
    ) -> Refused:
        """Return a refusal by this entry."""
        return Refused(reason, detail, Step.ADMIT, self._entry, retry_at)

    def record_start(
        self, work: float, late: bool, estimated: bool, now: float
    ) -> None:
        """Learn from a task that was given to a worker.

        :param work: its work.
        :param late: whether it can no longer be in time.
        :param estimated: whether its job was admitted by an estimate.
        """
        if estimated:
            self._correction.update(late=late)
        self._start_rate.add(work, now)

    def revert_start(self, work: float) -> None:
        """Take back a start that its worker had no room for."""
        self._start_rate.subtract(work)

    def started_work_per_s(self, now: float) -> float:
        """Return the work started a second lately."""
        return self._start_rate.per_s(now)

    @property
    def correction(self) -> float:
        """By what estimates of waits are multiplied."""
        return self._correction.factor
