"""State that an entry keeps for each agent: its worker and the runs there."""

from __future__ import annotations

from collections.abc import Set as AbstractSet

import msgspec

from briarford.requests.job import StepSpec, Task
from briarford.runs import Demand, WorkerStatus

__all__ = ["AgentView", "Dispatch", "slowness_of"]

# A task that runs outside the rack of its data takes at most twice as long.
REMOTE_FACTOR = 2.0


class Dispatch(msgspec.Struct, frozen=True):
    """An order to run a task, until the end of the run is known.

    :param task: the task.
    :param number: number of the order, unique within this process.
    :param run: number of the run.
    :param cpu: thousandths of a processor that the run takes.
    :param memory_mb: megabytes of memory that it takes.
    :param gpu: accelerators that it takes.
    :param sent_at: Unix time in seconds at which the order was sent.
    :param incarnation: of the worker that was to run it; empty if unknown.
    """

    task: Task
    number: int
    run: int
    cpu: int
    memory_mb: int
    gpu: int
    sent_at: float
    incarnation: str = ""

    @property
    def is_wanted(self) -> bool:
        """Whether its run still serves a job, which has no outcome yet."""
        task = self.task
        return task.dispatch == self.number and not task.job.ended


class AgentView(msgspec.Struct, eq=False):
    """One agent, its connection and its worker, as the entry knows them.

    All times are Unix seconds on the clock of the entry, unless stated
    otherwise.

    :param name: of the agent.
    :param address: where it listens.
    :param registered_service: service of its worker according to the
        registry; empty if the registry does not have it.
    :param rank: rendezvous hash of the agent for this entry; agents of a
        lower rank are attached first.
    :param listed: whether the registry lists the agent.
    :param link: number of the open connection; None if there is none.
    :param connection: number of the latest connection, as sent in
        :class:`Attach`.
    :param dialing: whether a connection is being opened.
    :param dial_at: no connection is opened before this time.
    :param failing_since: when the first of the attempts to connect failed
        that have failed since the last connection; 0 if none has.
    :param listed_incarnation: of the agent process that the registry lists.
    :param dialing_since: when the present series of attempts to connect
        began.
    :param surplus_since: since when the connection has not been needed; 0
        while it is needed.
    :param attached: whether the agent has answered the :class:`Attach` on
        the open connection.
    :param incarnation: of the agent process that answered last.
    :param last_received_at: when its last message arrived.
    :param linked_at: when the open connection was opened.
    :param heartbeat_sent_at: ``sent_at`` of its latest heartbeat, on the
        agent's clock; the entry echoes it.
    :param last_ended_number: number of the last ended run that the agent
        reported; the entry acknowledges reports up to it.
    :param status: the latest status of its worker; None if unknown.
    :param offered_cpu: thousandths of a processor that the agent has
        reserved for this entry in its latest capacity offer, less what the
        entry has used of it.
    :param offered_until: when the entry stops using the capacity offer.
    :param backoff_until: no runs are ordered from it before this time.
    :param demand: the demand that was last reported to it.
    :param demand_sent_at: when that was.
    :param dispatches: orders that it carries out, by number.
    :param in_flight_cpu: thousandths of a processor of orders that were sent
        after the last one that its latest status includes.
    :param in_flight_memory_mb: likewise for memory.
    :param in_flight_gpu: likewise for accelerators.
    :param last_job: id of the job of the latest order on the open connection;
        its agent has the payload of that job.
    :param unowned: orders of a previous or lost agent process, each with the
        time from which its run has certainly ended.
    :param evacuated_zones: zones that are closed for new runs; one set for
        all agents, updated in place.
    :param evacuations_sent: as in ``EvacuationPeer``.
    :param build: of the agent process that answered last; empty if unknown.
    :param capabilities: that it has announced.
    :param worker_seen: incarnation of the worker in the latest status on the
        open connection that accepted runs; empty if there was none.
    :param dialed_address: address of the latest attempt to connect.
    :param rejected_address: where an agent of another name has answered.
    """

    name: str
    address: str
    registered_service: str = ""
    rank: int = 0
    listed: bool = True
    link: int | None = None
    connection: int = 0
    dialing: bool = False
    dial_at: float = 0.0
    failing_since: float = 0.0
    listed_incarnation: str = ""
    dialing_since: float = 0.0
    surplus_since: float = 0.0
    attached: bool = False
    incarnation: str = ""
    last_received_at: float = 0.0
    linked_at: float = 0.0
    heartbeat_sent_at: float = 0.0
    last_ended_number: int = 0
    status: WorkerStatus | None = None
    offered_cpu: int = 0
    offered_until: float = 0.0
    backoff_until: float = 0.0
    demand: Demand | None = None
    demand_sent_at: float = 0.0
    dispatches: dict[int, Dispatch] = msgspec.field(default_factory=dict)
    in_flight_cpu: int = 0
    in_flight_memory_mb: int = 0
    in_flight_gpu: int = 0
    last_job: str = ""
    unowned: list[tuple[float, Dispatch]] = msgspec.field(default_factory=list)
    evacuated_zones: AbstractSet[str] = frozenset()
    evacuations_sent: int = 0
    worker_seen: str = ""
    build: str = ""
    capabilities: frozenset[str] = frozenset()
    dialed_address: str = ""
    rejected_address: str = ""

    @property
    def has_moved(self) -> bool:
        """Whether the open connection is not to its registered address."""
        return self.link is not None and self.dialed_address != self.address

    @property
    def service(self) -> str:
        """The service of its worker; empty if that is not known."""
        if self.status is not None and self.status.service:
            return self.status.service
        return self.registered_service

    @property
    def takes_runs(self) -> bool:
        """Whether its worker takes runs, according to the latest status.

        Not in an evacuated zone: the agent may not know of the evacuation
        yet.
        """
        status = self.status
        return (
            status is not None
            and status.accepting
            and status.zone not in self.evacuated_zones
        )

    def usable(self, now: float) -> bool:
        """Whether a run may be ordered from it now."""
        if self.link is None or not self.attached:
            return False
        return self.takes_runs and now >= self.backoff_until

    def free_cpu(self, now: float) -> int:
        """Return the processor capacity that the entry may order now.

        That is what the latest status reports as free for any entry, plus
        an unexpired capacity offer, less the orders in flight.

        :return: thousandths of a processor.
        """
        status = self.status
        if status is None:
            return 0
        offered = self.offered_cpu if now < self.offered_until else 0
        return status.free_cpu + offered - self.in_flight_cpu

    @property
    def spare_cpu(self) -> int:
        """Thousandths of a processor that neither runs nor orders hold.

        Unlike :meth:`free_cpu` this includes capacity that the agent keeps
        for entries with waiting tasks.
        """
        if self.status is None:
            return 0
        return max(0, self.status.spare_cpu - self.in_flight_cpu)

    @property
    def held_cpu(self) -> int:
        """Thousandths of a processor that runs and orders hold."""
        return 0 if self.status is None else self.status.cpu - self.spare_cpu

    @property
    def has_trial(self) -> bool:
        """Whether its worker runs a task under suspicion to crash it."""
        return self.status is not None and bool(self.status.trial_job)

    def may_try(self, job: str) -> bool:
        """Whether a task of a job that is under suspicion may run there.

        Not beside one of another job.
        """
        if self.status is not None and self.status.trial_job not in ("", job):
            return False
        return all(
            not d.task.suspect or d.task.job.request.job == job
            for d in self.dispatches.values()
        )

    def fits(self, step: StepSpec, now: float) -> bool:
        """Whether a task of a step fits into the free capacity."""
        status = self.status
        if status is None:
            return False
        # As :meth:`free_cpu`, for each agent and task.
        free = status.free_cpu - self.in_flight_cpu
        if self.offered_cpu and now < self.offered_until:
            free += self.offered_cpu
        if step.cpu > free:
            return False
        memory = status.free_memory_mb - self.in_flight_memory_mb
        gpu = status.free_gpu - self.in_flight_gpu
        return step.memory_mb <= memory and step.gpu <= gpu

    def add(self, dispatch: Dispatch) -> None:
        """Record an order that is being sent."""
        self.dispatches[dispatch.number] = dispatch
        self._add_in_flight(dispatch, 1)

    def remove(self, number: int) -> Dispatch | None:
        """Remove an order whose run has ended.

        :return: the order; None if it is not known.
        """
        dispatch = self.dispatches.pop(number, None)
        last = self.status.last_dispatch if self.status is not None else 0
        if dispatch is not None and number > last:
            self._add_in_flight(dispatch, -1)
        return dispatch

    def update_status(self, status: WorkerStatus) -> None:
        """Store a status of the worker and recompute what is in flight."""
        self.status = status
        self.in_flight_cpu = self.in_flight_memory_mb = self.in_flight_gpu = 0
        for dispatch in self.dispatches.values():
            if dispatch.number > status.last_dispatch:
                self._add_in_flight(dispatch, 1)

    def misses_orders(self, since: float) -> bool:
        """Whether its messages arrive and the orders to it are lost.

        Each status names the last order that it includes, and one follows
        each order. A connection may fail in one direction only.

        :param since: an order sent before this time must be included.
        """
        status = self.status
        if status is None or not self.dispatches or self.linked_at > since:
            return False
        if next(reversed(self.dispatches)) <= status.last_dispatch:
            return False
        return any(
            d.sent_at < since
            for d in self.dispatches.values()
            if d.number > status.last_dispatch
        )

    def disown_all(self, ended_by: float) -> None:
        """Move all orders to those of a previous or lost agent process.

        :param ended_by: when their runs have certainly ended.
        """
        for dispatch in self.dispatches.values():
            self.unowned.append((ended_by, dispatch))
        self.dispatches.clear()
        self.in_flight_cpu = self.in_flight_memory_mb = self.in_flight_gpu = 0

    def pop_unowned(self, task: str, run: int) -> Dispatch | None:
        """Remove and return the order of a run of a previous agent process.

        :param task: name of the task.
        :param run: number of the run.
        :return: None if there is no such order.
        """
        for at, dispatch in self.unowned:
            if dispatch.task.name == task and dispatch.run == run:
                self.unowned.remove((at, dispatch))
                return dispatch
        return None

    def mark_unowned_ended(self, now: float) -> None:
        """Record that all runs of a previous agent process have ended.

        The worker's new agent accepts runs only once the worker lists no run
        that another process ordered, so its first accepting status proves
        the end of these runs.
        """
        self.unowned = [(min(at, now), d) for at, d in self.unowned]

    def _add_in_flight(self, dispatch: Dispatch, sign: int) -> None:
        self.in_flight_cpu += sign * dispatch.cpu
        self.in_flight_memory_mb += sign * dispatch.memory_mb
        self.in_flight_gpu += sign * dispatch.gpu


def slowness_of(view: AgentView, step: StepSpec) -> float:
    """Return the expected run time of a task as a multiple of its estimate.

    The slowness of the worker is raised if the step prefers another rack.

    :param view: the agent of the worker.
    :param step: the step of the task.
    """
    status = view.status
    if status is None:
        return 1.0
    if step.preferred_rack and step.preferred_rack not in status.labels:
        return status.slowness * REMOTE_FACTOR
    return status.slowness
