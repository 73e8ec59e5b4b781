"""Orders runs from the worker, and follows each of them to its certain end.

An order that got no answer may be carried out at any later time. A run is
therefore over only once the worker has rejected its one order, or listed its
end, or confirmed that it will not start it any more and a later listing lacks
it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from briarford.runs.capacity import CapacityTracker
from briarford.runs.effects import (
    AgentEffect,
    PlaceOrder,
    RaiseToken,
    WithdrawRun,
)
from briarford.runs.messages import LossCause, RunEnd
from briarford.runs.state import Run, RunPhase
from briarford.runs.timeouts import AnswerTimeout
from briarford.runs.worker import Capacity, OrderResult

__all__ = ["UNANSWERED", "RunOrders"]

MAX_ORDERS = 3  # of one run, until it is withdrawn

UNANSWERED = frozenset(
    {OrderResult.UNANSWERED, OrderResult.NOT_SENT, OrderResult.EXPIRED}
)

_REJECTIONS = {
    OrderResult.FENCED: RunEnd.UNAVAILABLE,
    OrderResult.OUTDATED: RunEnd.UNAVAILABLE,
    OrderResult.LATE: RunEnd.UNAVAILABLE,
    OrderResult.NO_ROOM: RunEnd.NO_ROOM,
    OrderResult.BUSY: RunEnd.UNAVAILABLE,
    OrderResult.INVALID: RunEnd.REJECTED,
    OrderResult.OTHER_INCARNATION: RunEnd.LOST,
    OrderResult.NOT_SENT: RunEnd.UNAVAILABLE,
}


class _Log(Protocol):
    def __call__(self, action: str, **fields: Any) -> None: ...


class RunOrders:
    """The runs of one worker that may not have ended.

    :attr:`capacity` is what they use of it.

    :param effects: the orders for the worker are appended to it.
    :param log: called with the events to log.
    :param on_ended: called with each run that has ended, how, and for how
        many seconds it ran.
    """

    def __init__(
        self,
        effects: list[AgentEffect],
        log: _Log,
        on_ended: Callable[[Run, RunEnd, float], None],
    ) -> None:
        self.capacity = CapacityTracker(Capacity(0, 0, 0))
        self._effects = effects
        self._log = log
        self._on_ended = on_ended
        self._answer_timeout = AnswerTimeout()
        self._runs: dict[int, Run] = {}
        self._by_task: dict[tuple[str, int], Run] = {}
        # Numbers of lost runs whose orders may still be carried out.
        self._unsettled: set[int] = set()
        self._last_key = 0
        self._address = ""

    def __len__(self) -> int:
        return len(self._runs)

    def __contains__(self, key: object) -> bool:
        return key in self._runs

    def all(self) -> Iterable[Run]:
        """Return all runs; none may be added or end meanwhile."""
        return self._runs.values()

    def get(self, key: int) -> Run | None:
        """Return a run by its number at this agent."""
        return self._runs.get(key)

    def find(self, task: str, number: int) -> Run | None:
        """Return a run by the names that the worker knows."""
        return self._by_task.get((task, number))

    def by_task(self) -> dict[tuple[str, int], Run]:
        """Return a copy of all runs by task and number."""
        return dict(self._by_task)

    def has_task(self, task: str) -> bool:
        """Whether a run of a task may go on."""
        return any(r.task == task for r in self._runs.values())

    @property
    def settled(self) -> bool:
        """Whether the worker starts no run any more that counts as lost."""
        return not self._unsettled

    def needs_withdrawal(self, key: int) -> bool:
        """Whether an order to stop a run is to be repeated."""
        return key in self._runs or key in self._unsettled

    def withdrawn(self, key: int, now: float) -> None:
        """Record that the worker has confirmed the order to stop a run."""
        self._unsettled.discard(key)
        run = self._runs.get(key)
        if run is not None and not run.ended_by:
            run.withdrawn_at = now

    def settle(self) -> None:
        """Record that the worker starts no run of an earlier order."""
        self._unsettled.clear()

    @property
    def trial_job(self) -> str:
        """The job of which the worker runs tasks under suspicion."""
        return next((r.job for r in self._runs.values() if r.suspect), "")

    # -- orders -------------------------------------------------------------

    def start(self, run: Run, now: float) -> None:
        """Order a run from the worker."""
        self._last_key += 1
        run.key = self._last_key
        self._runs[run.key] = run
        self._by_task[run.task, run.run] = run
        run.session.runs[run.dispatch] = run
        self.capacity.allocate(run.need)
        self._order(run, now)

    def is_due(self, order: PlaceOrder, now: float) -> bool:
        """Whether an order may be sent, some time after it was decided.

        Its process may have been paused, or waited for a connection. The run
        may have ended since, and then be under way elsewhere.
        """
        run = self._runs.get(order.key)
        if run is None or run.phase is not RunPhase.ORDERED:
            return False
        return now <= order.answer_by

    def answered(
        self, run: Run, result: OrderResult, may_repeat: bool, now: float
    ) -> None:
        """Process the worker's answer to the order to start a run.

        An order without an answer is repeated or withdrawn.

        :param may_repeat: whether the worker may be ordered to start runs.
        """
        if result not in UNANSWERED:
            self._answer_timeout.observe(now - run.decided_at)
        elif result is OrderResult.UNANSWERED:
            self._answer_timeout.expired()
        if result is OrderResult.STARTED:
            run.mark_started(now)
            return
        if result is OrderResult.EXPIRED:
            self._expired(run, may_repeat, now)
            return
        if result is OrderResult.UNANSWERED:
            if run.phase is not RunPhase.ORDERED:
                return
            if run.orders < MAX_ORDERS and may_repeat:
                self._repeat(run, now)
            else:
                self.stop(run, RunEnd.UNANSWERED)
            return
        self._log("order-rejected", task=run.task, reason=result.value)
        if run.phase is RunPhase.RUNNING:
            return  # a run listing has already shown that it runs
        if run.orders - run.unsent > 1:
            # An earlier order may have started it.
            self.stop(run, RunEnd.UNANSWERED)
            return
        if result is OrderResult.OTHER_INCARNATION:
            run.loss = LossCause.NOT_STARTED
        self.finish(run, _REJECTIONS[result])

    def _expired(self, run: Run, may_repeat: bool, now: float) -> None:
        """Repeat an order that was not sent in time, or end its run."""
        run.unsent += 1
        if run.phase is RunPhase.RUNNING:
            return  # a run listing has already shown that it runs
        if run.phase is RunPhase.ORDERED and may_repeat:
            self._answer_timeout.expired()
            if run.orders < MAX_ORDERS:
                self._repeat(run, now)
                return
        if run.orders > run.unsent:
            # Another order may have started it.
            self.stop(run, RunEnd.UNANSWERED)
        elif run.phase is RunPhase.STOPPING:
            self.finish(run, run.end)
        else:
            self.finish(run, RunEnd.UNAVAILABLE)

    def stop(self, run: Run, end: RunEnd) -> None:
        """Order the worker to stop a run.

        :param end: how the run is reported once it has ended.
        """
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        run.end = end
        self._effects.append(WithdrawRun(run.key, run.task, run.run))

    def drop_unsent(self, run: Run) -> bool:
        """End a run at once if its order has not been sent to the worker yet.

        An order and the message that stops its run may arrive together, after
        a cut.
        """
        for effect in self._effects:
            if isinstance(effect, PlaceOrder) and effect.key == run.key:
                self._effects.remove(effect)
                run.unsent += 1
                if run.orders > run.unsent:
                    return False
                self.finish(run, RunEnd.STOPPED)
                return True
        return False

    def worker_replaced(
        self, address: str, capacity: Capacity, lease_end: float
    ) -> None:
        """Go on with another worker, or another incarnation of it.

        What was ordered has most likely ended with the previous one. But a
        worker executes orders before its first heartbeat, so an order may
        have reached the new one. A run therefore counts as ended only once
        the new one has answered the order to stop it and its run listing no
        longer shows it. A worker at another address shows nothing of it: the
        previous one may be cut off and go on until the lease has ended.

        :param address: of the worker.
        :param capacity: of the worker.
        :param lease_end: when the lease of the previous one ends, in Unix
            seconds.
        """
        self._answer_timeout = AnswerTimeout()
        self.capacity = CapacityTracker(capacity)
        if address != self._address:
            self._exclude_unsettled()
        self._address = address
        for run in self._runs.values():
            self.capacity.allocate(run.need)
            run.phase = RunPhase.STOPPING
            run.end = RunEnd.LOST
            run.loss = LossCause.WORKER_RESTARTED
            run.withdrawn_at = 0.0
            if run.address == address:
                run.ended_by = 0.0
                self._effects.append(WithdrawRun(run.key, run.task, run.run))
            else:
                run.ended_by = run.ended_by or lease_end

    def _order(self, run: Run, now: float) -> None:
        """Send the order to start a run to the worker."""
        run.orders += 1
        run.decided_at = now
        self._effects.append(
            PlaceOrder(
                run.key,
                run.task,
                run.run,
                run.payload,
                now + self._answer_timeout.seconds,
            )
        )

    def _repeat(self, run: Run, now: float) -> None:
        """Send an order without an answer once more.

        The worker starts each run once, whichever of its orders arrives
        first, also if an earlier one is carried out after the run has ended.
        """
        self._log("order-repeated", task=run.task, orders=run.orders)
        self._order(run, now)

    # -- ends ---------------------------------------------------------------

    def finish(self, run: Run, end: RunEnd, ran_s: float = 0.0) -> None:
        """Release the capacity of an ended run and report its end."""
        if self._runs.pop(run.key, None) is None:
            return
        self._by_task.pop((run.task, run.run), None)
        run.session.runs.pop(run.dispatch, None)
        self.capacity.release(run.need)
        self._on_ended(run, end, ran_s)

    def _exclude_unsettled(self) -> None:
        """Exclude late orders at a worker that may come back.

        It cannot confirm stops meanwhile, and will see the higher token with
        the first call to it.
        """
        if self._unsettled:
            self._effects.append(RaiseToken())
        self.settle()

    def finish_all(self, cause: LossCause) -> None:
        """Report all runs of the present worker, which has ended, as lost."""
        self._exclude_unsettled()
        for run in list(self._runs.values()):
            if not run.ended_by:
                run.loss = cause
                self.finish(run, RunEnd.LOST)

    def finish_lapsed(self, cause: LossCause) -> int:
        """Report all runs of a silent worker as lost, as its lease has ended.

        What it has started is over. But it may carry out an order that it has
        not answered later, once the lease is extended for other runs. Such
        orders are withdrawn, and nothing is to extend the lease before.

        :return: the number of these orders.
        """
        unsent = self._drop_unsent()
        for run in list(self._runs.values()):
            if run.ended_by:
                continue
            orders = run.orders - run.unsent - (run.key in unsent)
            if orders and not run.started_at and not run.withdrawn_at:
                self._unsettled.add(run.key)
                if run.phase is not RunPhase.STOPPING:
                    self._effects.append(
                        WithdrawRun(run.key, run.task, run.run)
                    )
            run.loss = cause
            self.finish(run, RunEnd.LOST)
        return len(self._unsettled)

    def _drop_unsent(self) -> set[int]:
        """Drop the orders of this turn; return the numbers of their runs."""
        unsent = {e.key for e in self._effects if isinstance(e, PlaceOrder)}
        self._effects[:] = [
            e for e in self._effects if not isinstance(e, PlaceOrder)
        ]
        return unsent

    def finish_abandoned(self, now: float) -> None:
        """Report the runs of a previous worker whose lease has ended."""
        for run in list(self._runs.values()):
            if run.ended_by and now > run.ended_by:
                self.finish(run, RunEnd.LOST)
