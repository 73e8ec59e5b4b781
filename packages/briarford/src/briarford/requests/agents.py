"""What an entry knows of each agent and of the runs that it asked for."""

from __future__ import annotations

from dataclasses import dataclass, field

from briarford.requests.job import StepSpec, Task
from briarford.runs import Demand, WorkerStatus

__all__ = ["AgentView", "Dispatch", "slowness_of"]

# A task away from its data takes that many times as long at most.
REMOTE_FACTOR = 2.0


@dataclass(slots=True, frozen=True)
class Dispatch:
    """An order to run a task that has not ended.

    :param task: the task.
    :param number: number of the order.
    :param run: number of the run.
    :param cpu: thousandths of a processor that it takes.
    :param memory_mb: memory that it takes.
    :param gpu: accelerators that it takes.
    """

    task: Task
    number: int
    run: int
    cpu: int
    memory_mb: int
    gpu: int
    sent_at: float


@dataclass(slots=True)
class AgentView:
    """One agent as an entry sees it.

    :param name: of the agent.
    :param address: where it listens.
    :param registered_service: what the registry says that its worker runs.
    :param rank: agents of a lower rank are attached to first.
    :param dialing_since: when the present attempts to connect began.
    :param surplus_since: since when the connection has not been needed.
    :param link: the connection in use; None while there is none.
    :param connection: number of the latest connection.
    :param attached: whether the agent has answered on that connection.
    :param last_received_at: when something was last heard of it.
    :param linked_at: when the connection in use was opened.
    :param heartbeat_sent_at: ``sent_at`` of its latest heartbeat, on its own
        clock.
    :param last_ended_number: number of the last end that it told.
    :param in_flight_cpu: processors of orders that the latest status does not
        count yet; likewise for memory and accelerators.
    :param unowned: orders of an agent that is gone, with the time from
        which they certainly do not run.
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
    dispatches: dict[int, Dispatch] = field(default_factory=dict)
    in_flight_cpu: int = 0
    in_flight_memory_mb: int = 0
    in_flight_gpu: int = 0
    unowned: list[tuple[float, Dispatch]] = field(default_factory=list)

    @property
    def service(self) -> str:
        """The service of its worker; empty if that is not known."""
        if self.status is not None and self.status.service:
            return self.status.service
        return self.registered_service

    def usable(self, now: float) -> bool:
        """Whether runs may be asked of it now."""
        status = self.status
        if self.link is None or not self.attached or status is None:
            return False
        return status.accepting and now >= self.backoff_until

    def free_cpu(self, now: float) -> int:
        """Return the free processors, less what is on its way there."""
        status = self.status
        if status is None:
            return 0
        offered = self.offered_cpu if now < self.offered_until else 0
        return status.free_cpu + offered - self.in_flight_cpu

    @property
    def spare_cpu(self) -> int:
        """Processors that no run holds, less what is on its way there."""
        if self.status is None:
            return 0
        return max(0, self.status.spare_cpu - self.in_flight_cpu)

    def fits(self, step: StepSpec, now: float) -> bool:
        """Whether a task of a step has room there."""
        status = self.status
        if status is None or step.cpu > self.free_cpu(now):
            return False
        memory = status.free_memory_mb - self.in_flight_memory_mb
        gpu = status.free_gpu - self.in_flight_gpu
        return step.memory_mb <= memory and step.gpu <= gpu

    def add(self, dispatch: Dispatch) -> None:
        """Note an order that is being sent."""
        self.dispatches[dispatch.number] = dispatch
        self._add_in_flight(dispatch, 1)

    def remove(self, number: int) -> Dispatch | None:
        """Forget an order that has ended."""
        dispatch = self.dispatches.pop(number, None)
        last = self.status.last_dispatch if self.status is not None else 0
        if dispatch is not None and number > last:
            self._add_in_flight(dispatch, -1)
        return dispatch

    def update_status(self, status: WorkerStatus) -> None:
        """Take what the agent tells of its worker."""
        self.status = status
        self.in_flight_cpu = self.in_flight_memory_mb = self.in_flight_gpu = 0
        for dispatch in self.dispatches.values():
            if dispatch.number > status.last_dispatch:
                self._add_in_flight(dispatch, 1)

    def disown_all(self, settled_at: float) -> None:
        """Count all orders as ended from a time on."""
        for dispatch in self.dispatches.values():
            self.unowned.append((settled_at, dispatch))
        self.dispatches.clear()
        self.in_flight_cpu = self.in_flight_memory_mb = self.in_flight_gpu = 0

    def pop_unowned(self, task: str, run: int) -> Dispatch | None:
        """Forget and return the order of a run of a former agent."""
        for at, dispatch in self.unowned:
            if dispatch.task.name == task and dispatch.run == run:
                self.unowned.remove((at, dispatch))
                return dispatch
        return None

    def mark_unowned_ended(self, now: float) -> None:
        """Note that nothing of a former agent runs on the worker.

        A new agent takes runs only once its worker lists none of others.
        """
        self.unowned = [(min(at, now), d) for at, d in self.unowned]

    def _add_in_flight(self, dispatch: Dispatch, sign: int) -> None:
        self.in_flight_cpu += sign * dispatch.cpu
        self.in_flight_memory_mb += sign * dispatch.memory_mb
        self.in_flight_gpu += sign * dispatch.gpu


def slowness_of(view: AgentView, step: StepSpec) -> float:
    """Return how much longer than estimated a task of a step takes there."""
    status = view.status
    if status is None:
        return 1.0
    if step.preferred_rack and step.preferred_rack not in status.labels:
        return status.slowness * REMOTE_FACTOR
    return status.slowness
