"""Estimates the resources of each role at full size from measured slopes."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from briarford.homes.ids import FIRST_SUBMIT_WINDOW_S, RECORD_GRACE_S
from briarford_bench.fleet import FleetSize
from briarford_bench.slopes import TASKS_PER_JOB, Fit, Slope

__all__ = ["CapacityRow", "FullSize", "capacity_tables", "estimate_full_size"]


# The tasks of a data slope are spread over this many agents, and only one of
# them is measured.
SLOPE_AGENTS = FleetSize().agents


@dataclass(slots=True, frozen=True)
class FullSize:
    """The size of a deployment to estimate, with the assumptions about it.

    :param workers: number of workers, each with one agent.
    :param starts_per_s: task starts a second at the peak.
    :param teams: number of teams with quotas.
    :param tasks_per_job: mean number of tasks in a job.
    :param busy_percent: processor use that an entry is planned for, percent
        of one core.
    :param remembered_s: seconds for which an entry remembers an ended job.
    :param entries_per_agent: number of entries to which an agent attaches,
        if each agent attaches to some of the entries only.
    """

    workers: int = 5000
    starts_per_s: float = 170_000.0
    teams: int = 69
    tasks_per_job: float = 24.0
    busy_percent: float = 70.0
    remembered_s: float = FIRST_SUBMIT_WINDOW_S + RECORD_GRACE_S
    entries_per_agent: int = 4


@dataclass(slots=True, frozen=True)
class CapacityRow:
    """One estimated figure at full size.

    :param role: entry or agent.
    :param what: name of the figure.
    :param every_entry: value if each agent attaches to every entry.
    :param subset: value if each agent attaches to a few entries.
    :param unit: unit of the values; empty for a count.
    :param bound: highest value that is allowed; None if none is set.
    """

    role: str
    what: str
    every_entry: float
    subset: float
    unit: str
    bound: float | None = None


def estimate_full_size(
    slopes: Sequence[Slope], size: FullSize
) -> list[CapacityRow]:
    """Estimate the figures at full size by extending the fitted lines.

    :param slopes: at least the slopes agents, entries, tasks-per-s-logged,
        jobs-per-s, remembered-jobs and teams.
    """
    return list(_estimate_rows({s.name: s.fits for s in slopes}, size))


def _estimate_rows(
    fits: dict[str, dict[str, Fit]], size: FullSize
) -> Iterator[CapacityRow]:
    per_task = _percent_per_task(fits, "entry", size)
    entries = math.ceil(size.starts_per_s * per_task / size.busy_percent)
    attached = size.workers * min(1.0, size.entries_per_agent / entries)
    per_entry_starts = size.starts_per_s / entries
    yield CapacityRow("entry", "entries needed for data", entries, entries, "")
    yield CapacityRow(
        "entry",
        "task starts",
        per_entry_starts,
        per_entry_starts,
        "/s",
    )
    yield CapacityRow("entry", "agents attached", size.workers, attached, "")
    yield from _estimate_control(
        fits["agents"], "entry", size.workers, attached, "control"
    )
    yield from _estimate_control(
        fits["entries"], "agent", entries, size.entries_per_agent, "control"
    )
    remembered = per_entry_starts / size.tasks_per_job * size.remembered_s
    per_job_mb = fits["remembered-jobs"]["entry.memory_mb"].per_unit
    yield CapacityRow("entry", "jobs remembered", remembered, remembered, "")
    memory_mb = remembered * per_job_mb
    yield CapacityRow("entry", "memory of those", memory_mb, memory_mb, "MB")
    per_team = fits["teams"]["entry.processor_percent"].per_unit
    teams = size.teams * per_team
    yield CapacityRow(
        "entry", "processor for 69 teams", teams, teams, "% core"
    )
    starts = size.starts_per_s / size.workers
    per_start = fits["tasks-per-s-logged"]["agent.processor_percent"].per_unit
    data = starts * per_start * SLOPE_AGENTS
    yield CapacityRow("agent", "task starts", starts, starts, "/s")
    yield CapacityRow("agent", "processor for data", data, data, "% core")


def _percent_per_task(
    fits: dict[str, dict[str, Fit]], role: str, size: FullSize
) -> float:
    """Return the percent of a core for one task a second, at full size.

    Tasks were measured in jobs of ``TASKS_PER_JOB`` tasks. At full size jobs
    have another mean size, so there are more or fewer jobs for each task; the
    cost of that difference in jobs is added.
    """
    use = f"{role}.processor_percent"
    per_job = fits["jobs-per-s"][use].per_unit
    jobs_per_task = 1 / size.tasks_per_job - 1 / TASKS_PER_JOB
    per_task = fits["tasks-per-s-logged"][use].per_unit
    return per_task + per_job * jobs_per_task


def _estimate_control(
    fits: dict[str, Fit],
    role: str,
    every_entry_count: float,
    subset_count: float,
    kind: str,
) -> Iterator[CapacityRow]:
    """Estimate processor, memory and bytes from a fitted line.

    :param every_entry_count: value of the varied quantity if each agent
        attaches to every entry.
    :param subset_count: its value if each agent attaches to a few entries.
    :param kind: first word of the names of the figures.
    """
    resources = (
        ("processor", "processor_percent", "% core", 2.5),
        ("memory", "memory_mb", "MB", 128.0),
        ("bytes", "kb_per_s", "KB/s", 4.0),
    )
    for what, key, unit, bound in resources:
        fit = fits[f"{role}.{key}"]
        yield CapacityRow(
            role,
            f"{kind} {what}",
            fit.base + fit.per_unit * every_entry_count,
            fit.base + fit.per_unit * subset_count,
            unit,
            bound,
        )


def capacity_tables(slopes: Sequence[Slope], size: FullSize) -> str:
    """Return the tables of the capacity page as Markdown.

    The first shows the fitted lines of all slopes, the second the estimate at
    full size.
    """
    return "\n".join([*_slope_lines(slopes), "", *_size_lines(slopes, size)])


def _slope_lines(slopes: Sequence[Slope]) -> Iterator[str]:
    yield "| slope | kind | use | at zero | for one more | residual |"
    yield "|---|---|---|---|---|---|"
    for slope in slopes:
        for name, fit in slope.fits.items():
            yield (
                f"| {slope.name} | {slope.kind} | {name} | {fit.base:.3g}"
                f" | {fit.per_unit:.3g} | {fit.residual:.2g} |"
            )


def _size_lines(slopes: Sequence[Slope], size: FullSize) -> Iterator[str]:
    yield "| role | what | every entry | few entries | unit | bound |"
    yield "|---|---|---|---|---|---|"
    for row in estimate_full_size(slopes, size):
        bound = "" if row.bound is None else f"{row.bound:g}"
        yield (
            f"| {row.role} | {row.what} | {row.every_entry:.4g}"
            f" | {row.subset:.4g} | {row.unit} | {bound} |"
        )
