"""The backend server stand-in without I/O.

Decides for each call whether its task starts, how long it runs and how the
call is answered. Time is an argument; run times and failures are drawn from
a seeded generator, so that a run can be repeated.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from typing import Any

import msgspec

__all__ = [
    "Abort",
    "Answer",
    "BackendCore",
    "BackendProfile",
    "Call",
    "NoReply",
    "Reply",
    "Start",
    "find_duplicate_starts",
]

STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_FAILED = 500
STATUS_BUSY = 503
IMMEDIATE_FAILURE_S = 0.001


@dataclass(slots=True, frozen=True)
class BackendProfile:
    """How a backend server behaves, including the faults that it shows.

    :param name: the worker on which it runs.
    :param service: the service that it provides.
    :param speed: seconds of work done in a second of run time; a payload
        with ``run_ms`` runs for ``run_ms / speed`` milliseconds.
    :param slots: tasks that it runs at the same time.
    :param connections: connections that it announces to its agent.
    :param processors: cores of its worker.
    :param memory_mb: memory of its worker in megabytes.
    :param accelerators: accelerators of its worker.
    :param jitter: largest relative deviation of a run time, 0 to 1.
    :param straggler_rate: share of calls whose run time is multiplied by
        ``straggler_factor``, 0 to 1.
    :param straggler_factor: factor on the run time of a straggler.
    :param failure_rate: share of calls that run to the end and then fail,
        0 to 1.
    :param fail_all: whether every call fails right after its start.
    :param silent: whether tasks run and their calls are never answered.
    :param silent_before: Unix seconds; the same for calls on connections
        that were opened before this time.
    :param reset: whether tasks run to the end and the connection of their
        call is then reset.
    """

    name: str = "worker-0"
    service: str = "demo"
    speed: float = 1.0
    slots: int = 8
    connections: int = 64
    processors: float = 32.0
    memory_mb: int = 65536
    accelerators: int = 0
    jitter: float = 0.0
    straggler_rate: float = 0.0
    straggler_factor: float = 10.0
    failure_rate: float = 0.0
    fail_all: bool = False
    silent: bool = False
    silent_before: float = 0.0
    reset: bool = False


@dataclass(slots=True, frozen=True)
class Call:
    """A request to run one task, from an agent or a naive entry.

    :param job_id: the job.
    :param index: the task's position in the job.
    :param attempt: number of the attempt, from 0.
    :param deadline: deadline of the job, Unix seconds.
    :param payload: the JSON document of the task.
    :param connected_at: Unix seconds when its connection was opened.
    """

    job_id: str
    index: int
    attempt: int
    deadline: float
    payload: bytes
    connected_at: float


@dataclass(slots=True, frozen=True)
class Start:
    """Record that a task started, to find tasks that started twice.

    :param worker: worker on which it started.
    :param job_id: the job.
    :param index: the task's position in the job.
    :param attempt: number of the attempt.
    :param at: time of the start, Unix seconds.
    :param ends_at: Unix seconds when its slot is free again.
    """

    worker: str
    job_id: str
    index: int
    attempt: int
    at: float
    ends_at: float


@dataclass(slots=True, frozen=True)
class Answer:
    """Reply that answers the call.

    :param at: when to answer, Unix seconds.
    :param status: HTTP status.
    :param body: JSON document.
    :param ran: whether the task started.
    """

    at: float
    status: int
    body: bytes
    ran: bool = True


@dataclass(slots=True, frozen=True)
class NoReply:
    """Reply that leaves the call unanswered.

    :param ends_at: Unix seconds when the slot is free again.
    """

    ends_at: float


@dataclass(slots=True, frozen=True)
class Abort:
    """Reply that resets the connection.

    :param at: when to reset it, Unix seconds.
    """

    at: float


Reply = Answer | NoReply | Abort


@dataclass(slots=True, frozen=True)
class _TaskParameters:
    """Fields of a payload that the stand-in reads.

    :param run_ms: run time at speed 1, in milliseconds.
    :param value: any document, returned in the answer as ``echo``.
    :param fail: whether the task fails wherever it runs.
    """

    run_ms: float = 0.0
    value: Any = None
    fail: bool = False


class BackendCore:
    """Decides the reply to each call and records each started task.

    :param profile: how the backend server behaves.
    :param rng: draws run times and failures.
    """

    __slots__ = ("_busy_until", "_rng", "busy_replies", "profile", "starts")

    def __init__(self, profile: BackendProfile, rng: random.Random) -> None:
        self.profile = profile
        self.starts: list[Start] = []
        self.busy_replies = 0
        self._rng = rng
        self._busy_until: list[float] = []

    def set_faults(self, changes: dict[str, Any]) -> None:
        """Replace fields of the profile; the others keep their values.

        :raises msgspec.ValidationError: if a value has the wrong type.
        :raises TypeError: if the profile has no field of a name.
        """
        changed = replace(self.profile, **changes)
        fields = msgspec.to_builtins(changed)
        self.profile = msgspec.convert(fields, BackendProfile)

    def handle_call(self, call: Call, now: float) -> Reply:
        """Decide the reply to a call that arrives now.

        A call is rejected, and its task does not start, if the payload is
        unreadable or no slot is free.
        """
        try:
            parameters = msgspec.json.decode(
                call.payload, type=_TaskParameters
            )
        except msgspec.MsgspecError as exc:
            return self._make_problem(
                now, STATUS_BAD_REQUEST, str(exc), ran=False
            )
        if self.count_running(now) >= self.profile.slots:
            self.busy_replies += 1
            return self._make_problem(
                now, STATUS_BUSY, "no free slot", ran=False
            )
        ends_at = now + self._draw_run_s(parameters)
        self._busy_until.append(ends_at)
        self.starts.append(
            Start(
                self.profile.name,
                call.job_id,
                call.index,
                call.attempt,
                now,
                ends_at,
            )
        )
        return self._decide_reply(call, parameters, ends_at)

    def count_running(self, now: float) -> int:
        """Return how many tasks hold a slot."""
        self._busy_until = [
            ends_at for ends_at in self._busy_until if ends_at > now
        ]
        return len(self._busy_until)

    def _draw_run_s(self, parameters: _TaskParameters) -> float:
        if self.profile.fail_all:
            return IMMEDIATE_FAILURE_S
        run_s = parameters.run_ms / 1000 / self.profile.speed
        run_s *= 1 + self.profile.jitter * self._rng.uniform(-1, 1)
        if self._rng.random() < self.profile.straggler_rate:
            run_s *= self.profile.straggler_factor
        return run_s

    def _decide_reply(
        self, call: Call, parameters: _TaskParameters, ends_at: float
    ) -> Reply:
        profile = self.profile
        if profile.silent or call.connected_at < profile.silent_before:
            return NoReply(ends_at)
        if profile.reset:
            return Abort(ends_at)
        if self._draw_failure(parameters):
            return self._make_problem(ends_at, STATUS_FAILED, "task failed")
        body = {"worker": profile.name, "echo": parameters.value}
        return Answer(ends_at, STATUS_OK, msgspec.json.encode(body))

    def _draw_failure(self, parameters: _TaskParameters) -> bool:
        if parameters.fail or self.profile.fail_all:
            return True
        return self._rng.random() < self.profile.failure_rate

    def _make_problem(
        self, at: float, status: int, detail: str, ran: bool = True
    ) -> Answer:
        body = {"worker": self.profile.name, "detail": detail}
        return Answer(at, status, msgspec.json.encode(body), ran)


def find_duplicate_starts(
    starts: Iterable[Start], idempotent_jobs: Collection[str] = frozenset()
) -> dict[tuple[str, int], int]:
    """Find tasks that started more than once.

    :param starts: the records of all backend servers.
    :param idempotent_jobs: ids of idempotent single requests; these may be
        retried, so they are left out.
    :return: number of starts by job id and index, for tasks with more than
        one.
    """
    counts = Counter(
        (start.job_id, start.index)
        for start in starts
        if start.job_id not in idempotent_jobs
    )
    return {task: count for task, count in counts.items() if count > 1}
