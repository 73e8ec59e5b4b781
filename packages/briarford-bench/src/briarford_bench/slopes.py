"""Measures how the resource use of the daemons grows with their load.

A slope varies one quantity, such as the number of agents, measures an entry
and an agent in processes of their own at each value, and fits a line to each
resource.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, fields

import aiohttp

from briarford.exceptions import UnknownNameError
from briarford_bench.daemons import Usage
from briarford_bench.fleet import SERVICE, Fleet, FleetSize
from briarford_bench.preset_changes import change_presets

__all__ = [
    "TASKS_PER_JOB",
    "Fit",
    "Point",
    "Slope",
    "Workload",
    "fit_line",
    "measure_slopes",
    "register_slope",
]

SETTLE_S = 3.0
MEASURE_S = 6.0
TASK_RUN_MS = 10.0
TASKS_PER_JOB = 10
FIXED_RATE_TASKS_PER_S = 200.0  # for slopes that vary another quantity
IDS_PER_REQUEST = 1000
CONCURRENT_EARLIER_JOBS = 25
ANSWER_TIMEOUT_S = 30.0
STATUS_OK = 200


@dataclass(slots=True, frozen=True)
class Workload:
    """The load at one point of a slope.

    :param x: value of the quantity that the slope varies.
    :param size: size of the fleet.
    :param tasks_per_s: tasks a second that are sent to the first entry.
    :param tasks_per_job: tasks in each job.
    :param teams: teams that send jobs in turn.
    :param earlier_jobs: jobs that run to the end before the measurement.
    :param changes_per_s: changes of the preset record a second.
    """

    x: float
    size: FleetSize = field(default_factory=FleetSize)
    tasks_per_s: float = 0.0
    tasks_per_job: int = TASKS_PER_JOB
    teams: int = 1
    earlier_jobs: int = 0
    changes_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Point:
    """Resource use that was measured at one value of the varied quantity.

    :param x: value of the quantity.
    :param tasks_done: tasks a second of the jobs that completed during the
        measurement.
    :param entry: use of the first entry.
    :param agent: use of the agent that has a process of its own.
    """

    x: float
    tasks_done: float
    entry: Usage
    agent: Usage


@dataclass(slots=True, frozen=True)
class Fit:
    """A line that is fitted to the use of one resource.

    :param base: use if the varied quantity is 0.
    :param per_unit: additional use for each unit of the quantity.
    :param residual: root mean square distance of the points from the line.
    """

    base: float
    per_unit: float
    residual: float


@dataclass(slots=True, frozen=True)
class Slope:
    """How resource use grows with one quantity.

    :param name: the quantity, as on the command line.
    :param kind: ``data`` for a quantity of the jobs and tasks that entries
        serve; ``control`` for any other, which is varied while no task runs.
    :param points: the measurements.
    :param fits: a line by role and resource, such as ``entry.memory_mb``.
    """

    name: str
    kind: str
    points: tuple[Point, ...]
    fits: dict[str, Fit]


WorkloadFactory = Callable[[], Sequence[Workload]]

_workload_factories: dict[str, tuple[str, WorkloadFactory]] = {}


def register_slope(
    name: str, kind: str
) -> Callable[[WorkloadFactory], WorkloadFactory]:
    """Register a function that returns the workloads of a slope.

    :param name: name of the slope on the command line.
    :param kind: ``data`` or ``control``; see :class:`Slope`.
    """

    def register(make_workloads: WorkloadFactory) -> WorkloadFactory:
        _workload_factories[name] = (kind, make_workloads)
        return make_workloads

    return register


@register_slope("agents", "control")
def vary_agents() -> list[Workload]:
    """Vary the number of agents while no task runs."""
    return [Workload(n, FleetSize(agents=n)) for n in (1, 10, 20, 40, 60)]


@register_slope("entries", "control")
def vary_entries() -> list[Workload]:
    """Vary the number of entries while no task runs."""
    return [Workload(n, FleetSize(4, n)) for n in (1, 2, 4, 6)]


@register_slope("tasks-per-s", "data")
def vary_rate() -> list[Workload]:
    """Vary the tasks a second, in jobs of 10 tasks."""
    return [
        Workload(rate, tasks_per_s=rate) for rate in (0, 50, 100, 200, 300)
    ]


@register_slope("tasks-per-s-logged", "data")
def vary_rate_logged() -> list[Workload]:
    """Vary the tasks a second while each decision is logged."""
    return [
        Workload(rate, FleetSize(log_level="info"), rate)
        for rate in (0, 50, 100, 200, 300)
    ]


@register_slope("jobs-per-s", "data")
def vary_job_size() -> list[Workload]:
    """Vary the jobs a second at 200 tasks a second."""
    return [
        Workload(
            FIXED_RATE_TASKS_PER_S / n,
            tasks_per_s=FIXED_RATE_TASKS_PER_S,
            tasks_per_job=n,
        )
        for n in (1, 2, 4, 10, 100, 400)
    ]


@register_slope("remembered-jobs", "data")
def vary_remembered_jobs() -> list[Workload]:
    """Vary the ended jobs that an entry remembers; no task runs."""
    return [
        Workload(n, tasks_per_job=1, earlier_jobs=n)
        for n in (0, 500, 1000, 2000)
    ]


@register_slope("teams", "data")
def vary_teams() -> list[Workload]:
    """Vary the number of teams that send 200 tasks a second in all."""
    return [Workload(n, tasks_per_s=200, teams=n) for n in (1, 8, 32, 69)]


@register_slope("preset-changes", "control")
def vary_preset_changes() -> list[Workload]:
    """Vary the rate of changes of the preset record; no task runs."""
    return [
        Workload(rate, FleetSize(8, 2), changes_per_s=rate)
        for rate in (0, 0.5, 1, 2, 4)
    ]


async def measure_slopes(
    names: Sequence[str] = (),
    on_progress: Callable[[str], None] = lambda line: None,
) -> list[Slope]:
    """Measure slopes, one point after the other.

    :param names: names of the slopes; all if empty.
    :param on_progress: called with a line of text after each slope.
    :raises UnknownNameError: if there is no slope with a name.
    """
    for name in names:
        if name not in _workload_factories:
            raise UnknownNameError("slope", name, list(_workload_factories))
    slopes = []
    for name in names or _workload_factories:
        slopes.append(await _measure_slope(name))
        on_progress(f"{name}: {len(slopes[-1].points)} points")
    return slopes


async def _measure_slope(name: str) -> Slope:
    kind, make_workloads = _workload_factories[name]
    points = tuple([await _measure_point(w) for w in make_workloads()])
    return Slope(name, kind, points, _fit_all(points))


async def _measure_point(workload: Workload) -> Point:
    """Start a fleet, apply the load and measure once it has settled."""
    fleet = Fleet(workload.size)
    try:
        await fleet.start()
        async with _JobSender(fleet.addresses[0], workload) as sender:
            await sender.run_earlier_jobs()
            running = [asyncio.create_task(sender.run())]
            if workload.changes_per_s:
                changing = change_presets(
                    fleet.store_address, workload.changes_per_s
                )
                running.append(asyncio.create_task(changing))
            await asyncio.sleep(SETTLE_S)
            point = await _measure_usage(fleet, sender, workload)
            await _cancel_all(running)
            return point
    finally:
        await fleet.stop()


async def _cancel_all(running: Sequence[asyncio.Task[None]]) -> None:
    """Cancel the tasks; raise the exception of one that failed before."""
    for task in running:
        if task.done():
            task.result()
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)


async def _measure_usage(
    fleet: Fleet, sender: _JobSender, workload: Workload
) -> Point:
    entry, agent = fleet.entries[0].read(), fleet.agent.read()
    done_before = sender.tasks_done
    await asyncio.sleep(MEASURE_S)
    return Point(
        workload.x,
        (sender.tasks_done - done_before) / MEASURE_S,
        entry.usage_until(fleet.entries[0].read()),
        agent.usage_until(fleet.agent.read()),
    )


class _JobSender:
    """Sends jobs of one size to an entry at a constant rate.

    :param address: HTTP address of the entry.
    :param workload: sets the size and the rate of the jobs.
    """

    def __init__(self, address: str, workload: Workload) -> None:
        self.tasks_done = 0
        self._url = f"http://{address}/v1/jobs"
        self._workload = workload
        self._ids: list[str] = []
        self._teams = itertools.cycle(range(workload.teams))
        self._tasks: set[asyncio.Task[None]] = set()
        task = {"payload": {"run_ms": TASK_RUN_MS, "value": 0}}
        self._body = {
            "service": SERVICE,
            "tasks": [task] * workload.tasks_per_job,
        }

    async def __aenter__(self) -> _JobSender:
        self._http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._http.close()

    async def run_earlier_jobs(self) -> None:
        """Run the jobs that are to end before the measurement."""
        for start in range(
            0, self._workload.earlier_jobs, CONCURRENT_EARLIER_JOBS
        ):
            count = min(
                CONCURRENT_EARLIER_JOBS, self._workload.earlier_jobs - start
            )
            await asyncio.gather(*(self._send_job() for _ in range(count)))

    async def run(self) -> None:
        """Send jobs at their due times until cancelled.

        A job is sent whether or not earlier ones are answered. Returns at
        once if the workload has no tasks.
        """
        if not self._workload.tasks_per_s:
            return
        due_at = time.monotonic()
        while True:
            task = asyncio.create_task(self._send_job())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            due_at += self._workload.tasks_per_job / self._workload.tasks_per_s
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))

    async def _send_job(self) -> None:
        job_id = await self._get_job_id()
        headers = {
            "Briarford-Team": f"team-{next(self._teams)}",
            "Briarford-Deadline": f"{time.time() + ANSWER_TIMEOUT_S:.3f}",
        }
        async with self._http.put(
            f"{self._url}/{job_id}", json=self._body, headers=headers
        ) as response:
            await response.read()
            if response.status == STATUS_OK:
                self.tasks_done += self._workload.tasks_per_job

    async def _get_job_id(self) -> str:
        while not self._ids:
            async with self._http.post(
                f"{self._url}?count={IDS_PER_REQUEST}"
            ) as response:
                self._ids += (await response.json())["ids"]
        return self._ids.pop()


def _fit_all(points: Sequence[Point]) -> dict[str, Fit]:
    xs = [point.x for point in points]
    return {
        f"{role}.{resource.name}": fit_line(
            xs,
            [getattr(getattr(p, role), resource.name) for p in points],
        )
        for role in ("entry", "agent")
        for resource in fields(Usage)
    }


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Fit a line to points by least squares."""
    line = statistics.linear_regression(xs, ys)
    squares = [
        (y - line.intercept - line.slope * x) ** 2
        for x, y in zip(xs, ys, strict=True)
    ]
    return Fit(line.intercept, line.slope, math.sqrt(statistics.mean(squares)))
