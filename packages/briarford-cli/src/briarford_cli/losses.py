"""Finds the requests that were not answered in time, and why, from logs.

A request is lost if it was refused, failed, was abandoned by its client, was
cut off by the end of its entry, or was answered after its objective. For each
one the cause is taken from the log lines that name it: a registry maps the
name of a cause to a check, and the first check that applies decides.

The objective that an entry logs rests on the client's estimate of the work.
Whether an answer was late is judged by the work that its runs have shown, as
far as the lines of agents are there.
"""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from briarford_cli.timeline import LogLine

__all__ = ["CAUSES", "Ending", "Loss", "LossReport", "find_losses"]

MS_PER_S = 1000
SLOW_RUN_FACTOR = 1.5  # longer than on a worker of nominal speed


class Ending(enum.StrEnum):
    """How a request that is lost has ended."""

    REFUSED = "refused"
    LATE = "late"
    FAILED = "failed"
    ABANDONED = "abandoned"  # its client left
    CUT = "cut"  # its entry ended before it


@dataclass(slots=True)
class _TaskRuns:
    """The runs of one task.

    :param placed_at: when each run was ordered, in Unix seconds.
    :param lost_s: seconds from the order to the end of runs that were not
        done, by how they ended.
    :param ran_s: seconds that its last run took.
    :param slowness: learnt slowness of the worker of its last run.
    :param moved: whether a run was stopped because its worker was to leave.
    """

    placed_at: list[float] = field(default_factory=list)
    lost_s: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    ran_s: float = 0.0
    slowness: float = 1.0
    moved: bool = False


@dataclass(slots=True)
class _Request:
    """What the log lines show of one request at one entry."""

    job: str
    entry: str
    route: str = ""
    at: float = 0.0
    objective_s: float = 0.0
    expected_s: float = 0.0
    stretch: float = 1.0
    refused: LogLine | None = None
    given_up: LogLine | None = None
    ended: LogLine | None = None
    tasks: dict[str, _TaskRuns] = field(
        default_factory=lambda: defaultdict(_TaskRuns)
    )

    @property
    def took_s(self) -> float:
        """Seconds until its outcome; 0 if it has none."""
        if self.ended is None:
            return 0.0
        return float(self.ended.fields.get("took_ms", 0)) / MS_PER_S

    @property
    def outcome(self) -> str:
        return str(self.ended.fields.get("outcome", "")) if self.ended else ""

    @property
    def reason(self) -> str:
        """Why it did not complete, without the detail."""
        if self.refused is not None:
            return str(self.refused.fields.get("reason", ""))
        if self.ended is None:
            return ""
        return str(self.ended.fields.get("reason", "")).partition(":")[0]

    @property
    def detail(self) -> str:
        """The sentence for people on why it did not complete."""
        if self.ended is None:
            return ""
        return str(self.ended.fields.get("reason", "")).partition(": ")[2]

    def ending(self) -> Ending | None:
        """Return how it was lost; None if it was answered in time."""
        if self.refused is not None:
            return Ending.REFUSED
        match self.outcome:
            case "":
                return Ending.CUT
            case "refused":
                return Ending.REFUSED
            case "failed" if self.reason == "cancelled":
                return Ending.ABANDONED
            case "failed":
                return Ending.FAILED
        return Ending.LATE if self.took_s > self.true_objective_s else None

    @property
    def work_s(self) -> float:
        """Seconds of its longest task at nominal speed, as its runs show."""
        shown_s = max(
            (t.ran_s / t.slowness for t in self.tasks.values()), default=0.0
        )
        return shown_s or self.expected_s

    @property
    def true_objective_s(self) -> float:
        """The objective for the work that its runs have shown."""
        excess_s = self.work_s - self.expected_s
        return self.objective_s + self.stretch * excess_s

    def time_spent(self) -> dict[str, float]:
        """Return seconds by what they were spent on, of its last task.

        ``wait`` until the first order, the ends of its runs that were not
        done, ``wait-again`` between its runs, and ``run`` beyond what was
        expected.
        """
        last: dict[str, float] = {}
        for runs in self.tasks.values():
            if not runs.placed_at:
                continue
            wait_s = runs.placed_at[0] - self.at
            again_s = runs.placed_at[-1] - runs.placed_at[0]
            lost_s = sum(runs.lost_s.values())
            spent = {
                "wait": wait_s,
                "wait-again": max(0.0, again_s - lost_s),
                "run": max(0.0, runs.ran_s - self.work_s),
                **runs.lost_s,
            }
            if sum(spent.values()) > sum(last.values()):
                last = spent
        return last

    def longest_spent(self) -> str:
        """Return what most of the time was spent on; empty if unknown."""
        spent = self.time_spent()
        return max(spent, key=lambda k: spent[k]) if spent else ""


@dataclass(slots=True, frozen=True)
class Loss:
    """A request that was not answered in time.

    :param job: its id.
    :param at: when it arrived at its entry, in Unix seconds.
    :param route: name of its route.
    :param entry: name of the entry.
    :param zone: availability zone of the entry; empty if not in the logs.
    :param ending: how it ended.
    :param cause: key of :data:`CAUSES`.
    :param detail: figures of the line that shows the cause.
    """

    job: str
    at: float
    route: str
    entry: str
    zone: str
    ending: Ending
    cause: str
    detail: str


@dataclass(slots=True)
class LossReport:
    """All lost requests of some logs.

    :param requests: number of requests that the logs name.
    :param losses: the lost ones by the time of their arrival.
    """

    requests: int = 0
    losses: list[Loss] = field(default_factory=list)


_Check = Callable[[_Request, Ending], bool]
CAUSES: dict[str, _Check] = {}


def _cause(name: str) -> Callable[[_Check], _Check]:
    """Register the check of a cause; earlier ones go first."""

    def register(check: _Check) -> _Check:
        CAUSES[name] = check
        return check

    return register


@_cause("in flight when its entry ended")
def _is_cut(req: _Request, ending: Ending) -> bool:
    return ending is Ending.CUT


@_cause("client left")
def _client_left(req: _Request, ending: Ending) -> bool:
    return ending is Ending.ABANDONED


@_cause("no worker usable")
def _no_worker(req: _Request, ending: Ending) -> bool:
    return req.reason == "workers-lost"


@_cause("entry stops")
def _entry_stops(req: _Request, ending: Ending) -> bool:
    return req.reason == "stopping"


@_cause("refused by an estimate of the wait")
def _estimated(req: _Request, ending: Ending) -> bool:
    return req.refused is not None and req.reason == "deadline-unreachable"


@_cause("refused on submission")
def _refused(req: _Request, ending: Ending) -> bool:
    return req.refused is not None


@_cause("given up for more urgent work")
def _given_up(req: _Request, ending: Ending) -> bool:
    return req.given_up is not None and "given up" in req.detail


@_cause("held, then refused")
def _held(req: _Request, ending: Ending) -> bool:
    return ending is Ending.REFUSED


@_cause("worker had no room")
def _no_room(req: _Request, ending: Ending) -> bool:
    return req.longest_spent() == "no-room"


@_cause("worker failed or stalled")
def _worker_failed(req: _Request, ending: Ending) -> bool:
    return req.longest_spent() in {"failed", "stalled", "rejected"}


@_cause("moved, as its worker was to leave")
def _moved(req: _Request, ending: Ending) -> bool:
    moved = any(t.moved for t in req.tasks.values())
    return moved and req.longest_spent() in {"lost", "wait-again"}


@_cause("worker or agent lost")
def _worker_lost(req: _Request, ending: Ending) -> bool:
    return req.longest_spent() in {"lost", "stopped"}


@_cause("order not answered or not accepted")
def _unanswered(req: _Request, ending: Ending) -> bool:
    return req.longest_spent() in {"unanswered", "unavailable"}


@_cause("waited for room")
def _waited(req: _Request, ending: Ending) -> bool:
    return req.longest_spent() in {"wait", "wait-again"}


@_cause("slow run")
def _slow_run(req: _Request, ending: Ending) -> bool:
    ran_s = max((t.ran_s for t in req.tasks.values()), default=0.0)
    return ran_s > SLOW_RUN_FACTOR * req.work_s > 0


@_cause("unknown")
def _unknown(req: _Request, ending: Ending) -> bool:
    return True


def find_losses(lines: Iterable[LogLine]) -> LossReport:
    """Return the lost requests of some logs, each with its cause.

    :param lines: decoded lines of all logs; those of one process in the order
        in which it wrote them.
    """
    requests, zones = _collect(lines)
    report = LossReport(len(requests))
    for req in requests:
        ending = req.ending()
        if ending is None:
            continue
        cause = next(n for n, check in CAUSES.items() if check(req, ending))
        report.losses.append(
            Loss(
                req.job,
                req.at,
                req.route,
                req.entry,
                zones.get(req.entry, ""),
                ending,
                cause,
                _describe(req),
            )
        )
    report.losses.sort(key=lambda loss: loss.at)
    return report


def _collect(
    lines: Iterable[LogLine],
) -> tuple[list[_Request], dict[str, str]]:
    """Return the requests that the lines name, and the zone of each process.

    A job that is submitted again is a request of its own.
    """
    requests: list[_Request] = []
    latest: dict[tuple[str, str], _Request] = {}
    by_job: dict[str, _Request] = {}
    zones: dict[str, str] = {}
    # Runs are reported in an agent's log, which need not come after that of
    # the entry.
    run_lines: list[LogLine] = []
    for line in lines:
        job = str(line.fields.get("job", ""))
        task = str(line.fields.get("task", ""))
        match line.event:
            case "started":
                zones[line.process] = str(line.fields.get("zone", ""))
            case "accepted" | "refused":
                req = _Request(job, line.process, at=line.at)
                req.route = str(line.fields.get("route", ""))
                if line.event == "refused":
                    req.refused = line
                req.objective_s = _ms(line, "objective_ms")
                req.expected_s = _ms(line, "expected_ms")
                req.stretch = float(line.fields.get("stretch", 1.0))
                requests.append(req)
                latest[line.process, job] = by_job[job] = req
            case "given-up":
                known = latest.get((line.process, job))
                if known is not None:
                    known.given_up = line
            case "job-ended":
                known = latest.get((line.process, job))
                if known is not None:
                    known.ended = line
            case "placed":
                runs = _find_task(latest, line, task)
                if runs is not None:
                    runs.placed_at.append(line.at)
                    runs.slowness = float(line.fields.get("slowness") or 1.0)
            case "run-not-done":
                runs = _find_task(latest, line, task)
                if runs is not None and runs.placed_at:
                    how = str(line.fields.get("how", ""))
                    runs.lost_s[how] += line.at - runs.placed_at[-1]
            case "run-ended" if line.fields.get("how") == "done":
                run_lines.append(line)
            case "run-moved":
                run_lines.append(line)
    for line in run_lines:
        task = str(line.fields["task"])
        owner = by_job.get(task.partition(".")[0])
        if owner is None:
            continue
        if line.event == "run-moved":
            owner.tasks[task].moved = True
        else:
            owner.tasks[task].ran_s = _ms(line, "ran_ms")
    return requests, zones


def _find_task(
    latest: dict[tuple[str, str], _Request], line: LogLine, task: str
) -> _TaskRuns | None:
    req = latest.get((line.process, task.partition(".")[0]))
    return req.tasks[task] if req is not None else None


def _ms(line: LogLine, name: str) -> float:
    """Return a field in milliseconds as seconds; 0 if it is missing."""
    return float(line.fields.get(name, 0)) / MS_PER_S


def _describe(req: _Request) -> str:
    """Return the figures that show the cause."""
    refusal = req.refused or req.given_up
    if refusal is not None:
        shown = {
            k: v
            for k, v in refusal.fields.items()
            if k not in {"job", "route", "reason"}
        }
    else:
        spent = req.time_spent()
        shown = {f"{k}_ms": round(v * MS_PER_S) for k, v in spent.items()}
        if req.ended is not None:
            shown["took_ms"] = round(req.took_s * MS_PER_S)
            shown["objective_ms"] = round(req.true_objective_s * MS_PER_S)
    return " ".join(f"{k}={v}" for k, v in shown.items())
