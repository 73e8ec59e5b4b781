"""How the daemons' use of a machine grows with what they serve."""

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
FIXED_RATE_TASKS_PER_S = 200.0  # tasks/s where something else varies
IDS_PER_REQUEST = 1000
CONCURRENT_EARLIER_JOBS = 25
ANSWER_TIMEOUT_S = 30.0
STATUS_OK = 200


@dataclass(slots=True, frozen=True)
class Workload:
    """One point at which use is measured.

    :param x: value of what varies.
    :param size: the fleet.
    :param tasks_per_s: tasks sent to the first entry a second.
    :param tasks_per_job: tasks in each job.
    :param teams: teams that send jobs in turn.
    :param earlier_jobs: jobs that end before the span begins.
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
    """What was measured at one value.

    :param x: the value.
    :param tasks_done: tasks of jobs that completed in the span, a second.
    :param entry: use of the first entry.
    :param agent: use of the agent that has a process of its own.
    """

    x: float
    tasks_done: float
    entry: Usage
    agent: Usage


@dataclass(slots=True, frozen=True)
class Fit:
    """A line through the points.

    :param base: value at zero.
    :param per_unit: rise for one more of what varies.
    :param residual: root mean square distance of the points.
    """

    base: float
    per_unit: float
    residual: float


@dataclass(slots=True, frozen=True)
class Slope:
    """How use grows with one thing.

    :param name: what varies.
    :param kind: control, or data if tasks flow.
    :param points: what was measured.
    :param fits: a line for each role and resource.
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
    """Register the workloads of a slope under a name."""

    def register(make_workloads: WorkloadFactory) -> WorkloadFactory:
        _workload_factories[name] = (kind, make_workloads)
        return make_workloads

    return register


@register_slope("agents", "control")
def vary_agents() -> list[Workload]:
    """Vary the agents while no task runs."""
    return [Workload(n, FleetSize(agents=n)) for n in (1, 10, 20, 40, 60)]


@register_slope("entries", "control")
def vary_entries() -> list[Workload]:
    """Vary the entries while no task runs."""
    return [Workload(n, FleetSize(4, n)) for n in (1, 2, 4, 6)]


@register_slope("tasks-per-s", "data")
def vary_rate() -> list[Workload]:
    """Vary the tasks a second in jobs of 10."""
    return [
        Workload(rate, tasks_per_s=rate) for rate in (0, 50, 100, 200, 300)
    ]


@register_slope("tasks-per-s-logged", "data")
def vary_rate_logged() -> list[Workload]:
    """Vary the tasks a second with a log line for each decision."""
    return [
        Workload(rate, FleetSize(log_level="info"), rate)
        for rate in (0, 50, 100, 200, 300)
    ]


@register_slope("jobs-per-s", "data")
def vary_job_size() -> list[Workload]:
    """Vary the jobs that 200 tasks a second come in."""
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
    """Vary the ended jobs that an entry remembers, then run nothing."""
    return [
        Workload(n, tasks_per_job=1, earlier_jobs=n)
        for n in (0, 500, 1000, 2000)
    ]


@register_slope("teams", "data")
def vary_teams() -> list[Workload]:
    """Vary the teams that share 200 tasks a second."""
    return [Workload(n, tasks_per_s=200, teams=n) for n in (1, 8, 32, 69)]


@register_slope("preset-changes", "control")
def vary_preset_changes() -> list[Workload]:
    """Vary the changes of the preset record while no task runs."""
    return [
        Workload(rate, FleetSize(8, 2), changes_per_s=rate)
        for rate in (0, 0.5, 1, 2, 4)
    ]


async def measure_slopes(
    names: Sequence[str] = (),
    on_progress: Callable[[str], None] = lambda line: None,
) -> list[Slope]:
    """Measure slopes, one point after the other.

    :param names: which; all if empty.
    :param on_progress: takes a line of progress after each slope.
    :raises UnknownNameError: if there is no slope of a name.
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
    """Cancel what runs; raise what has failed before."""
    for task in running:
        if task.done():
            task.result()
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)


async def _measure_usage(
    fleet: Fleet, sender: _JobSender, workload: Workload
) -> Point:
    entry, agent = fleet.entries[0].read(), fleet.agent.read()
    done = sender.tasks_done
    await asyncio.sleep(MEASURE_S)
    return Point(
        workload.x,
        (sender.tasks_done - done) / MEASURE_S,
        entry.usage_until(fleet.entries[0].read()),
        agent.usage_until(fleet.agent.read()),
    )


class _JobSender:
    """Sends jobs of one size at a steady rate.

    :param address: HTTP address of the entry.
    :param workload: says size and rate.
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
        """Run the jobs that end before the span."""
        for start in range(
            0, self._workload.earlier_jobs, CONCURRENT_EARLIER_JOBS
        ):
            count = min(
                CONCURRENT_EARLIER_JOBS, self._workload.earlier_jobs - start
            )
            await asyncio.gather(*(self._send_job() for _ in range(count)))

    async def run(self) -> None:
        """Send jobs until cancelled, each when it is due."""
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
    """Fit a line by least squares."""
    line = statistics.linear_regression(xs, ys)
    squares = [
        (y - line.intercept - line.slope * x) ** 2
        for x, y in zip(xs, ys, strict=True)
    ]
    return Fit(line.intercept, line.slope, math.sqrt(statistics.mean(squares)))
