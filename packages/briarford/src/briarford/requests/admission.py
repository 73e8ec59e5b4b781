"""Admission control: refuses jobs that cannot end within their objective.

Under overload a job that would end too late is refused on submission rather
than answered late. Its wait is estimated from the work queued before it and
the rate at which work was started in the last second. No job is refused for
its wait while nothing is queued before it, while enough capacity is free, or
while workers have only just become usable.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from briarford.outcomes import RefusalReason, Refused, Step
from briarford.requests.agents import AgentView
from briarford.requests.job import (
    Job,
    JobRequest,
    longest_chain_s,
    total_work,
)
from briarford.requests.placing import utilisation
from briarford.requests.ranking import JobRank, Ranking
from briarford.requests.returns import MIN_RETRY_AFTER_S, ReturnTimes
from briarford.requests.waiting import WaitingTasks
from briarford.routes import Route

__all__ = ["Admission", "StartRate", "estimate_wait_s"]

# An agent process is up half a second after its VM, and attached soon after.
ATTACH_S = 1.0
REFUSAL_UTILISATION = 0.85  # below it no job is refused for its wait

# In a drain a job is taken if it ends in time on the fastest worker, also if
# it takes this many times as long as expected. Estimates are off by 40%.
STOP_RUN_FACTOR = 1.5

# Room counts as scarce for so long after a job was refused or given up for its
# wait. The rate of starts covers as long.
SCARCE_S = 1.0
RATE_WINDOW_S = 1.0  # several times the length of a usual task


class StartRate:
    """Measures how much work is started per second.

    Work is counted in thousandths of a processor x expected seconds.
    """

    __slots__ = ("_starts", "_sum")

    def __init__(self) -> None:
        self._starts: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, work: float, now: float) -> None:
        """Count the work of a task that was placed."""
        self._starts.append((now, work))
        self._sum += work

    def subtract(self, work: float) -> None:
        """Subtract work that its worker did not start for lack of capacity.

        It is subtracted from the latest start, whichever task that was.
        """
        if self._starts:
            at, last = self._starts[-1]
            self._starts[-1] = (at, last - work)
            self._sum -= work

    def per_s(self, now: float) -> float:
        """Return the work started per second in the last window."""
        while self._starts and self._starts[0][0] < now - RATE_WINDOW_S:
            self._sum -= self._starts.popleft()[1]
        return max(0.0, self._sum) / RATE_WINDOW_S


def estimate_wait_s(waiting: float, per_s: float) -> float:
    """Return the seconds that it takes to start all waiting work.

    :param waiting: the waiting work.
    :param per_s: work that is started per second.
    :return: infinity if nothing is being started.
    """
    if waiting <= 0.0:
        return 0.0
    if per_s <= 0.0:
        return float("inf")
    return waiting / per_s


def _fastest(usable: Sequence[AgentView]) -> float:
    """Return the slowness of the fastest worker; 1.0 if there is none."""
    return min(
        (v.status.slowness for v in usable if v.status is not None),
        default=1.0,
    )


class Admission:
    """Decides which jobs an entry admits.

    Once :attr:`stop_by` is set, as the process is to stop at that time, jobs
    that would not end by then on the fastest worker are refused.
    :attr:`ahead` is the work that the latest job refused for its wait had
    before it.

    :param entry: name of the entry.
    :param waiting: the tasks that wait for a worker.
    """

    def __init__(self, entry: str, waiting: WaitingTasks) -> None:
        self.stop_by: float | None = None
        self.ahead = 0.0
        self._ranking = Ranking()
        self._returns = ReturnTimes()
        self._scarce_until = 0.0
        self._entry = entry
        self._waiting = waiting
        self._start_rate = StartRate()
        self._started_at = 0.0
        self._last_usable_at: dict[str, float] = {}
        self._usable_since: dict[str, float] = {}

    def check(
        self,
        request: JobRequest,
        route: Route,
        usable: Sequence[AgentView],
        now: float,
        rank: JobRank | None = None,
    ) -> Refused | None:
        """Return the refusal of a job, or None if it is admitted.

        :param request: the job.
        :param route: its route.
        :param usable: agents of its service from which runs may be ordered.
        :param now: Unix time in seconds.
        :param rank: its rank; None to rank it here.
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
        if self.stop_by is not None:
            run_s = STOP_RUN_FACTOR * chain_s * _fastest(usable)
            if now + run_s > self.stop_by:
                return self.refuse_stopping(now)
        if not usable or self._is_attaching(route.service, now):
            return None
        if utilisation(usable) < REFUSAL_UTILISATION:
            return None
        rank = rank or self.rank(request, route)
        return self._check_wait(request, route, rank, now)

    def rank(self, request: JobRequest, route: Route) -> JobRank:
        """Rank a job that has arrived."""
        return self._ranking.arrived(route, total_work(request.steps))

    def describe(
        self, rank: JobRank | None, refused: Refused, now: float
    ) -> dict[str, float]:
        """Return the rank of a refused job, what was ahead and the room."""
        fields: dict[str, float] = {}
        if rank is not None:
            fields["priority"] = rank.priority
            fields["worth"] = round(rank.worth, 2)
            fields["work_core_s"] = round(rank.work / 1000, 2)
        if refused.reason is RefusalReason.DEADLINE_UNREACHABLE:
            fields["ahead_core_s"] = round(self.ahead / 1000, 1)
            fields["started_cores"] = round(
                self.started_work_per_s(now) / 1000, 1
            )
        if refused.retry_at is not None:
            fields["retry_in_ms"] = round((refused.retry_at - now) * 1000)
        return fields

    def is_scarce(self, now: float) -> bool:
        """Whether a job was lately refused or given up for its wait."""
        return now < self._scarce_until

    def record_process_start(self, now: float) -> None:
        """Record the time of the first turn of the process."""
        if not self._started_at:
            self._started_at = now

    def _record_usable(self, service: str, usable: bool, now: float) -> None:
        """Record whether a service has usable workers now.

        After a gap of over ``ATTACH_S`` they count as usable from now on.
        """
        last = self._last_usable_at.get(service, 0.0)
        if not usable:
            return
        if now - last > ATTACH_S:
            self._usable_since[service] = now
        self._last_usable_at[service] = now

    def _is_attaching(self, service: str, now: float) -> bool:
        """Whether waits of a service cannot be estimated yet.

        That is so for ``ATTACH_S`` after its workers became usable, as the
        rate of starts does not show the new capacity before.
        """
        return now - self._usable_since.get(service, now) < ATTACH_S

    def _agents_expected(self, service: str, now: float) -> bool:
        """Whether workers of a service are likely to be usable shortly.

        That is so for ``ATTACH_S`` after the start of the process, and after
        workers were last usable. When all processes restart together,
        entries are up before agents; jobs that arrive in between are
        admitted, as workers become usable within their objective.
        """
        since = max(self._started_at, self._last_usable_at.get(service, 0.0))
        return now - since < ATTACH_S

    def _check_wait(
        self, request: JobRequest, route: Route, rank: JobRank, now: float
    ) -> Refused | None:
        """Refuse a job that would wait too long behind other work.

        That is the more urgent work. Once it takes too long, room is scarce,
        and the work of a higher rank counts instead.
        """
        chain_s = longest_chain_s(request.steps)
        slack_s = route.stretch * chain_s + route.target_s - chain_s
        per_s = self._start_rate.per_s(now)
        if not self.is_scarce(now):
            ahead = self._waiting.work_before(now + slack_s, now)
            wait_s = estimate_wait_s(ahead + rank.work, per_s)
            if ahead <= 0.0 or wait_s <= slack_s:
                return None
            self._scarce_until = now + SCARCE_S
        ahead = self._waiting.work_of_rank(rank.worth, now)
        wait_s = estimate_wait_s(ahead + rank.work, per_s)
        if ahead <= 0.0 or wait_s <= slack_s:
            return None
        self._ranking.not_served(rank)
        self._scarce_until = now + SCARCE_S
        self.ahead = ahead
        retry_at = self._returns.book(
            rank.priority, rank.work, wait_s - slack_s, per_s, now
        )
        return self.refuse(
            RefusalReason.DEADLINE_UNREACHABLE,
            "the work that waits already does not leave enough time",
            retry_at,
        )

    def refuse_waiting(self, job: Job, now: float) -> Refused:
        """Return the refusal of a job that was admitted and waits too long."""
        scarce = self.is_scarce(now)
        self._scarce_until = now + SCARCE_S
        if job.rank is not None:
            self._ranking.not_served(job.rank)
        per_s = self.started_work_per_s(now)
        self.ahead = self._waiting.work
        wait_s = estimate_wait_s(self.ahead, per_s)
        priority = job.route.priority
        work = total_work(job.request.steps)
        retry_at = self._returns.book(priority, work, wait_s, per_s, now)
        return self.refuse(
            RefusalReason.DEADLINE_UNREACHABLE,
            "given up for other work"
            if scarce
            else "no worker had room in time",
            retry_at,
        )

    def refuse_stopping(self, now: float) -> Refused:
        """Return the refusal of a job that would outlast the process."""
        return self.refuse(
            RefusalReason.STOPPING,
            "the entry stops; another one takes the request",
            now + MIN_RETRY_AFTER_S,
        )

    def refuse(
        self, reason: RefusalReason, detail: str, retry_at: float | None
    ) -> Refused:
        """Return a refusal by this entry."""
        return Refused(reason, detail, Step.ADMIT, self._entry, retry_at)

    def record_start(self, work: float, now: float) -> None:
        """Update the rate of starts after a placement.

        :param work: expected work of the task.
        :param now: Unix time in seconds.
        """
        self._start_rate.add(work, now)

    def revert_start(self, work: float) -> None:
        """Undo a placement that the worker refused for lack of capacity."""
        self._start_rate.subtract(work)

    def started_work_per_s(self, now: float) -> float:
        """Return the work started per second in the last window."""
        return self._start_rate.per_s(now)
