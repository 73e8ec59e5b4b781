"""Builds the timeline of one job from the logs of several processes.

The timeline has the log lines that name the job or one of its tasks, and the
lines about the processes involved that fall into the same time. Where a line
should be there and is missing, or the order is uncertain, it notes a gap.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from briarford_cli.exceptions import InputError

__all__ = [
    "LogLine",
    "Timeline",
    "build_timeline",
    "read_lines",
    "read_log",
]

# Events of a whole process or worker, which name no job. They are part of the
# timeline if they fall between the first and the last line of the job.
CONTEXT_EVENTS = frozenset(
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
        "worker-leaving",
        "worker-left",
        "worker-refused",
        "worker-silent",
        "worker-state",
        "worker-suspended",
    }
)
# Lines written at nearly the same time may be out of order in a log. Only a
# larger step back shows that the clock was set back.
CLOCK_STEP_TOLERANCE_S = 0.1
MS_PER_S = 1000
# Fields that every log line has; the others belong to the event.
_FRAME_FIELDS = frozenset({"time", "level", "name", "message", "process"})


@dataclass(slots=True, frozen=True)
class LogLine:
    """One event of a process, as a line of its log has it.

    :param at: Unix seconds by the clock of the process.
    :param process: name of the process that wrote the line.
    :param event: name of the event, the line's ``message``.
    :param fields: fields of the event, such as its job, reason or outcome.
    """

    at: float
    process: str
    event: str
    fields: Mapping[str, Any]

    def concerns(self, job: str) -> bool:
        """Whether the line names a job or one of its tasks.

        The id of a task starts with that of its job and a dot.
        """
        task = str(self.fields.get("task", ""))
        return self.fields.get("job") == job or task.partition(".")[0] == job


@dataclass(slots=True)
class Timeline:
    """The events of one job, and what is missing among them.

    :param job: id of the job.
    :param outcome: the outcome that its entry logged; empty if no log has it.
    :param events: log lines in the order of their time.
    :param gaps: a sentence each about missing log lines or an uncertain
        order.
    :param conflicts: a sentence each about two runs of a task at once.
    """

    job: str
    outcome: str = ""
    events: list[LogLine] = field(default_factory=list)
    gaps: list[str] = field(default_factory=list)
    conflicts: list[str] = field(default_factory=list)


def read_lines(lines: Iterable[str]) -> list[LogLine]:
    """Decode log lines, each a JSON object.

    Text before the object, such as the prefix of a log collector, is skipped.
    Lines that are not in the log format of briarford are left out.
    """
    decoded_lines = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            raw = msgspec.json.decode(line[start:].strip())
            decoded = LogLine(
                float(raw["time"]),
                str(raw["process"]),
                str(raw["message"]),
                {k: v for k, v in raw.items() if k not in _FRAME_FIELDS},
            )
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            continue
        decoded_lines.append(decoded)
    return decoded_lines


def read_log(path: Path) -> list[LogLine]:
    """Decode the lines of a log file.

    :raises InputError: if the file cannot be read.
    """
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as exc:
        raise InputError(f"cannot read '{path}': {exc.strerror}") from exc
    return read_lines(text.splitlines())


def build_timeline(job: str, lines: Iterable[LogLine]) -> Timeline:
    """Build the timeline of a job.

    :param job: id of the job.
    :param lines: decoded lines of all logs; those of one process in the order
        in which it wrote them.
    """
    all_lines = list(lines)
    job_lines = [line for line in all_lines if line.concerns(job)]
    timeline = Timeline(job)
    if not job_lines:
        timeline.gaps.append("no line names this job")
        return timeline
    processes = {line.process for line in job_lines}
    processes |= {
        str(line.fields["agent"])
        for line in job_lines
        if "agent" in line.fields
    }
    first, last = (
        min(line.at for line in job_lines),
        max(line.at for line in job_lines),
    )
    context_lines = [
        line
        for line in all_lines
        if line.event in CONTEXT_EVENTS
        and first <= line.at <= last
        and _involves_any(line, processes)
    ]
    timeline.events = sorted(
        job_lines + context_lines, key=lambda line: line.at
    )
    end_lines = [
        line for line in job_lines if line.event in {"job-ended", "refused"}
    ]
    if end_lines:
        timeline.outcome = str(end_lines[-1].fields.get("outcome", "refused"))
    timeline.gaps += _find_missing_lines(job_lines)
    timeline.gaps += _find_suppressed_lines(all_lines, processes, first, last)
    timeline.gaps += _find_clock_steps(all_lines, processes)
    timeline.conflicts += _find_overlaps(job_lines)
    return timeline


def _involves_any(line: LogLine, processes: set[str]) -> bool:
    """Whether one of the processes wrote the line or is its ``agent``."""
    involved = {line.process, str(line.fields.get("agent", ""))}
    return bool(involved & processes)


def _find_missing_lines(job_lines: list[LogLine]) -> list[str]:
    """Describe lines that the job's other lines imply but no log has.

    A job that was not refused has an 'accepted' and a 'job-ended'. Each run
    has a 'placed' in the log of its entry and a 'run-ended' in the log of
    its agent.
    """
    events = {line.event for line in job_lines}
    gaps = []
    if "refused" not in events:
        if "accepted" not in events:
            gaps.append("no 'accepted': the log of its entry is missing")
        if "job-ended" not in events:
            gaps.append(
                "no 'job-ended': the entry ended before it, or its log is cut"
            )
    placed = _index_runs(job_lines, "placed")
    ended = _index_runs(job_lines, "run-ended")
    for run in sorted(placed.keys() - ended.keys()):
        agent = placed[run].fields.get("agent", "")
        gaps.append(
            f"run {run[1]} of {run[0]} has no end: the log of '{agent}' is"
            " missing, or it was gone"
        )
    for run in sorted(ended.keys() - placed.keys()):
        entry = ended[run].fields.get("entry", "")
        gaps.append(
            f"run {run[1]} of {run[0]} was ordered by '{entry}', whose log is"
            " missing"
        )
    return gaps


def _index_runs(
    job_lines: list[LogLine], event: str
) -> dict[tuple[str, int], LogLine]:
    return {
        (str(line.fields.get("task")), int(line.fields.get("run", 0))): line
        for line in job_lines
        if line.event == event
    }


def _find_overlaps(job_lines: list[LogLine]) -> list[str]:
    """Describe runs of one task that went on at the same time.

    Only runs whose agent has logged their end are compared, and shorter
    overlaps than clocks differ are left out.
    """
    ended = _index_runs(job_lines, "run-ended")
    by_task: dict[str, list[tuple[float, float, LogLine]]] = {}
    for line in ended.values():
        ran_s = float(line.fields.get("ran_ms", 0)) / MS_PER_S
        if ran_s > 0.0:
            runs = by_task.setdefault(str(line.fields.get("task")), [])
            runs.append((line.at - ran_s, line.at, line))
    conflicts = []
    for task, runs in sorted(by_task.items()):
        runs.sort(key=lambda run: run[0])
        for (_, end, one), (begin, _, other) in itertools.pairwise(runs):
            both_s = end - begin
            if both_s > CLOCK_STEP_TOLERANCE_S:
                conflicts.append(
                    f"{task} ran at '{one.process}' for"
                    f" '{one.fields.get('entry', '')}' and at"
                    f" '{other.process}' for '{other.fields.get('entry', '')}'"
                    f" at once, for {both_s:.2f} s"
                )
    return conflicts


def _find_suppressed_lines(
    lines: list[LogLine], processes: set[str], first: float, last: float
) -> list[str]:
    """Count lines that processes left out of their logs.

    A process leaves lines out if there are too many of one kind in a second
    (suppressed), or if its log buffer is full or a write fails (dropped). A
    later line has the count; it is added if that line falls into the time of
    the job.

    :param first: Unix seconds of the job's first line.
    :param last: Unix seconds of the job's last line.
    """
    gaps = []
    for process in sorted(processes):
        counts = [
            int(line.fields.get(kind, 0))
            for line in lines
            for kind in ("suppressed", "dropped")
            if line.process == process and first <= line.at <= last
        ]
        if sum(counts):
            gaps.append(
                f"'{process}' left out {sum(counts)} lines in that time"
            )
    return gaps


def _find_clock_steps(lines: list[LogLine], processes: set[str]) -> list[str]:
    """Describe where the clock of a process was set back between two lines."""
    gaps = []
    latest: dict[str, float] = {}
    for line in lines:
        previous_at = latest.get(line.process, line.at)
        step_s = previous_at - line.at
        if line.process in processes and step_s > CLOCK_STEP_TOLERANCE_S:
            gaps.append(
                f"the clock of '{line.process}' went back by {step_s:.1f} s:"
                " the order with other processes is uncertain"
            )
        latest[line.process] = line.at
    return gaps
