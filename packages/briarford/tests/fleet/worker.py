"""A stand-in for a worker that runs tasks under a lease, in virtual time."""

from __future__ import annotations

from dataclasses import dataclass, field

from briarford.runs import (
    Capacity,
    EndedRow,
    OrderResult,
    RunListing,
    RunningRow,
    WorkerReport,
)

STOP_DURATION_S = 0.05


@dataclass
class Running:
    """A run that goes on at the worker.

    :param paced_from: when it would have started to have its progress at the
        present speed.
    :param stopping_until: when it ends, if it was told to stop.
    """

    task: str
    run: int
    cpu: int
    work_s: float
    started_at: float
    paced_from: float
    stopping_until: float | None = None


@dataclass
class Interval:
    """When a run was on a worker and how it ended, for the checks.

    :param zone: zone of the worker, which may have another name by now.
    :param how: how it ended; empty if it goes on.
    """

    task: str
    run: int
    worker: str
    zone: str
    start: float
    end: float
    how: str


@dataclass
class StandInWorker:
    """Runs tasks as a worker of the platform does.

    :param cpu: capacity in thousandths of a processor.
    :param speed: seconds of work done per second.
    :param fault: empty; ``fail`` if runs fail soon after their start; or
        ``hang`` if they make no progress.
    :param token: highest fencing token that it has received.
    :param lease_end: when all runs end unless the lease is extended.
    :param highest_run: by task, the highest run number that was stopped or
        has ended; runs up to it are not started.
    :param ended: ended runs that the agent has not acknowledged.
    :param history: all ended runs, for the checks.
    :param needs: by job, the thousandths of a processor and the seconds of
        work that each of its tasks takes.
    :param rejected_for_capacity: number of orders without free capacity.
    :param leaves_at: while it drains, the time until which it reports to stay
        at least; 0 if it reports none.
    :param judges_by_lease: whether it carries out orders while it holds any
        lease, also one that later calls have extended.
    :param guards: whether it rejects a run that exceeds its capacity.
    :param loads: what each start has brought its load to: time, thousandths
        of a processor.
    :param acknowledged: task and number of the ended runs that the agent has
        acknowledged.
    """

    name: str
    service: str = "desk"
    cpu: int = 32000
    speed: float = 1.0
    fault: str = ""
    labels: tuple[str, ...] = ("a", "r1")
    zone: str = "a"
    up: bool = True
    born_ms: int = 1
    sequence: int = 0
    token: int = 0
    lease_end: float = 0.0
    runs: dict[str, Running] = field(default_factory=dict)
    highest_run: dict[str, int] = field(default_factory=dict)
    ended: list[EndedRow] = field(default_factory=list)
    last_end: int = 0
    history: list[Interval] = field(default_factory=list)
    needs: dict[str, tuple[int, float]] = field(default_factory=dict)
    rejected_for_capacity: int = 0
    draining: bool = False
    leaves_at: float = 0.0
    judges_by_lease: bool = False
    guards: bool = True
    loads: list[tuple[float, int]] = field(default_factory=list)
    acknowledged: set[tuple[str, int]] = field(default_factory=set)

    def report(self, now: float, draining: bool = False) -> WorkerReport:
        """Return the worker's next report to its agent."""
        self.sequence += 1
        return WorkerReport(
            worker=self.name,
            born_ms=self.born_ms,
            service=self.service,
            address="10.0.0.1:1",
            zone=self.zone,
            capacity=Capacity(self.cpu, 65536, 0),
            labels=self.labels,
            draining=draining or self.draining,
            clock_ms=int(now * 1000),
            sequence=self.sequence,
            leaves_at=self.leaves_at,
        )

    def set_speed(self, speed: float, now: float) -> None:
        """Change the speed; the runs keep the progress that they have."""
        self.advance(now)
        for run in self.runs.values():
            done_s = now - run.paced_from
            run.paced_from = now - done_s * self.speed / speed
        self.speed = speed

    def crash(self, now: float) -> None:
        """Take the worker down; its runs end and are not listed."""
        self.advance(now)
        for run in list(self.runs.values()):
            self._finish(run, now, "crash", listed=False)
        self.up = False

    def boot(self, now: float) -> None:
        """Bring the worker up again, without any memory of earlier runs."""
        self.up = True
        self.born_ms += 1
        self.sequence = 0
        self.token = 0
        self.ended.clear()
        self.highest_run.clear()
        self.last_end = 0

    def start(
        self, task: str, run: int, token: int, lease_end: float, now: float
    ) -> OrderResult:
        """Carry out an order to start a run, and extend the lease."""
        self.advance(now)
        if token < self.token:
            return OrderResult.FENCED
        self.token = token
        if self.judges_by_lease:
            lease_end = max(lease_end, self.lease_end)
        if lease_end <= now:
            return OrderResult.LATE
        current = self.runs.get(task)
        if current is not None and current.run == run:
            return OrderResult.STARTED
        if run <= self.highest_run.get(task, 0):
            return OrderResult.OUTDATED
        cpu, work_s = self.needs[task.partition(".")[0]]
        self.extend(lease_end, now)
        load = cpu + sum(r.cpu for r in self.runs.values())
        if self.guards and load > self.cpu:
            self.rejected_for_capacity += 1
            return OrderResult.NO_ROOM
        self.loads.append((now, load))
        self.runs[task] = Running(task, run, cpu, work_s, now, now)
        return OrderResult.STARTED

    def stop(self, task: str, run: int, token: int, now: float) -> bool:
        """Stop runs of a task up to a number, also those not started yet."""
        self.advance(now)
        if token < self.token:
            return True
        self.token = token
        self.highest_run[task] = max(run, self.highest_run.get(task, 0))
        current = self.runs.get(task)
        if current is not None and current.run <= run:
            current.stopping_until = (
                current.stopping_until or now + STOP_DURATION_S
            )
        return True

    def listing(
        self, acked_end: int, token: int, lease_end: float | None, now: float
    ) -> RunListing:
        """Return the running and ended runs, and extend the lease if given.

        :param acked_end: ended runs up to this number are acknowledged.
        """
        self.advance(now)
        if token >= self.token:
            self.token = token
            self.acknowledged |= {
                (e.task, e.run) for e in self.ended if e.number <= acked_end
            }
            self.ended = [e for e in self.ended if e.number > acked_end]
            if lease_end is not None:
                self.extend(lease_end, now)
        rows = tuple(
            RunningRow(r.task, r.run, self._percent(r, now))
            for r in self.runs.values()
        )
        return RunListing(self.born_ms, rows, tuple(self.ended))

    def advance(self, now: float) -> None:
        """End the runs that are due by now, in the order of their ends."""
        while True:
            due = [(self._end_of(r), r) for r in self.runs.values()]
            due = [d for d in due if d[0][0] <= now]
            if not due:
                return
            (at, how), run = min(due, key=lambda d: d[0][0])
            self._finish(run, at, how)

    def next_end(self) -> float:
        """Return when the next run ends; infinity if none runs."""
        return min(
            (self._end_of(r)[0] for r in self.runs.values()),
            default=float("inf"),
        )

    def _end_of(self, run: Running) -> tuple[float, str]:
        """Return when and how a run ends as things stand."""
        ends = [(self.lease_end, "lapsed")]
        if run.stopping_until is not None:
            ends.append((run.stopping_until, "stopped"))
        if self.fault == "fail":
            ends.append((run.started_at + 0.02, "failed"))
        elif self.fault != "hang":
            ends.append((run.paced_from + run.work_s / self.speed, "done"))
        return min(ends)

    def _finish(
        self, run: Running, at: float, how: str, listed: bool = True
    ) -> None:
        del self.runs[run.task]
        self.highest_run[run.task] = max(
            run.run, self.highest_run.get(run.task, 0)
        )
        self.history.append(
            Interval(
                run.task,
                run.run,
                self.name,
                self.zone,
                run.started_at,
                at,
                how,
            )
        )
        if listed:
            self.last_end += 1
            self.ended.append(EndedRow(self.last_end, run.task, run.run, how))

    def _percent(self, run: Running, now: float) -> int:
        """Return the progress that the worker lists for a run."""
        if self.fault == "hang":
            return 0
        done = (now - run.paced_from) * self.speed / run.work_s
        return min(99, int(done * 100))

    def extend(self, lease_end: float, now: float) -> None:
        """Extend the lease of all runs, which never shortens it."""
        self.advance(now)
        self.lease_end = max(self.lease_end, min(lease_end, now + 1.0))
