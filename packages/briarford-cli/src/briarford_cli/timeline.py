"""The timeline of one job, put together from the logs of several processes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

__all__ = ["LogLine", "Timeline", "build_timeline", "read_lines"]

# What concerns all jobs of a process: shown where it falls into the timeline.
CONTEXT = frozenset(
    {
        "agent-lost",
        "agent-restarted",
        "agent-silent",
        "configuration-in-force",
        "entry-restarted",
        "paused",
        "session-expired",
        "started",
        "stopping",
        "worker-joined",
        "worker-left",
        "worker-refused",
        "worker-silent",
        "worker-state",
        "worker-suspended",
    }
)
CLOCK_BACK_S = 0.1  # lines of one moment may be out of order by less
_FRAME = frozenset({"time", "level", "name", "message", "process"})


@dataclass(slots=True, frozen=True)
class LogLine:
    """One line of a log.

    :param at: seconds since 1970 by the clock of the process.
    :param process: name of the process.
    :param event: what happened.
    :param fields: with which inputs and outcome.
    """

    at: float
    process: str
    event: str
    fields: Mapping[str, Any]

    def concerns(self, job: str) -> bool:
        """Whether the line names a job or one of its tasks."""
        task = str(self.fields.get("task", ""))
        return self.fields.get("job") == job or task.partition(".")[0] == job


@dataclass(slots=True)
class Timeline:
    """What the logs tell of one job.

    :param job: its id.
    :param outcome: as its entry gave it; empty if that is not known.
    :param events: lines in the order of their time.
    :param gaps: what the logs ought to tell and do not.
    """

    job: str
    outcome: str = ""
    events: list[LogLine] = field(default_factory=list)
    gaps: list[str] = field(default_factory=list)


def read_lines(lines: Iterable[str]) -> list[LogLine]:
    """Decode log lines; what stands before the JSON object is skipped.

    Lines of other programs are left out.
    """
    found = []
    for line in lines:
        at = line.find("{")
        if at < 0:
            continue
        try:
            raw = msgspec.json.decode(line[at:].strip())
            decoded = LogLine(
                float(raw["time"]),
                str(raw["process"]),
                str(raw["message"]),
                {k: v for k, v in raw.items() if k not in _FRAME},
            )
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            continue
        found.append(decoded)
    return found


def build_timeline(job: str, lines: Iterable[LogLine]) -> Timeline:
    """Pick the lines of a job and of the processes that dealt with it."""
    everything = list(lines)
    own = [n for n in everything if n.concerns(job)]
    timeline = Timeline(job)
    if not own:
        timeline.gaps.append("no line names this job")
        return timeline
    processes = {n.process for n in own}
    processes |= {str(n.fields["agent"]) for n in own if "agent" in n.fields}
    first, last = min(n.at for n in own), max(n.at for n in own)
    near = [
        n
        for n in everything
        if n.event in CONTEXT
        and first <= n.at <= last
        and _touches(n, processes)
    ]
    timeline.events = sorted(own + near, key=lambda n: n.at)
    ends = [n for n in own if n.event in {"job-ended", "refused"}]
    if ends:
        timeline.outcome = str(ends[-1].fields.get("outcome", "refused"))
    timeline.gaps += _missing_lines(own)
    timeline.gaps += _suppressed(everything, processes, first, last)
    timeline.gaps += _clock_steps(everything, processes)
    return timeline


def _touches(line: LogLine, processes: set[str]) -> bool:
    about = {line.process, str(line.fields.get("agent", ""))}
    return bool(about & processes)


def _missing_lines(own: list[LogLine]) -> list[str]:
    events = {n.event for n in own}
    gaps = []
    if "refused" not in events:
        if "accepted" not in events:
            gaps.append("no 'accepted': the log of its entry is missing")
        if "job-ended" not in events:
            gaps.append(
                "no 'job-ended': the entry ended before it, or its log is cut"
            )
    placed = _runs(own, "placed")
    ended = _runs(own, "run-ended")
    for run in sorted(placed.keys() - ended.keys()):
        where = placed[run].fields.get("agent", "")
        gaps.append(
            f"run {run[1]} of {run[0]} has no end: the log of '{where}' is"
            " missing, or it was gone"
        )
    for run in sorted(ended.keys() - placed.keys()):
        entry = ended[run].fields.get("entry", "")
        gaps.append(
            f"run {run[1]} of {run[0]} was ordered by '{entry}', whose log is"
            " missing"
        )
    return gaps


def _runs(own: list[LogLine], event: str) -> dict[tuple[str, int], LogLine]:
    return {
        (str(n.fields.get("task")), int(n.fields.get("run", 0))): n
        for n in own
        if n.event == event
    }


def _suppressed(
    lines: list[LogLine], processes: set[str], first: float, last: float
) -> list[str]:
    """Name lines that a process did not write to keep its budget."""
    gaps = []
    for process in sorted(processes):
        counted = [
            int(n.fields.get(kind, 0))
            for n in lines
            for kind in ("suppressed", "dropped")
            if n.process == process and first <= n.at <= last
        ]
        if sum(counted):
            gaps.append(
                f"'{process}' left out {sum(counted)} lines in that time"
            )
    return gaps


def _clock_steps(lines: list[LogLine], processes: set[str]) -> list[str]:
    gaps = []
    latest: dict[str, float] = {}
    for line in lines:
        before = latest.get(line.process, line.at)
        step_s = before - line.at
        if line.process in processes and step_s > CLOCK_BACK_S:
            gaps.append(
                f"the clock of '{line.process}' went back by {step_s:.1f} s:"
                " the order with other processes is uncertain"
            )
        latest[line.process] = line.at
    return gaps
