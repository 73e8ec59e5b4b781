"""A stand-in of a worker, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from http3 import Answer, Call, call_http

MAX_HOLD_S = 1.0
STOP_S = 0.04  # a stop takes at most stop_timeout_ms, 50
BEAT_S = 1.5


@dataclass
class Run:
    """A run that goes on at the worker."""

    task: str
    run: int
    cpu: int
    started_at: float
    ends_at: float
    stops_at: float = float("inf")


@dataclass
class Interval:
    """When a run was on a worker."""

    task: str
    run: int
    worker: str
    start: float
    end: float
    how: str


class Worker:
    """Runs tasks under a lease; reports to its agent.

    :param work: returns thousandths of a processor and seconds of a task.
    :param log: called with each event.
    """

    def __init__(
        self,
        name: str,
        address: str,
        control: str,
        zone: str,
        work: Callable[[str], tuple[int, float]],
        log: Callable[..., None],
        labels: tuple[str, ...] = ("a", "r1"),
        service: str = "desk",
    ) -> None:
        self.name = name
        self.address = address
        self.control = control
        self.zone = zone
        self.labels = labels
        self.service = service
        self.cpu = 32000
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.sequence = 0
        self.token = 0
        self.lease_end = 0.0
        self.runs: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.last_end = 0
        self.history: list[Interval] = []
        self.starts: list[tuple[float, str, int]] = []
        self._work = work
        self._log = log
        self._changed = asyncio.Event()

    # -- time ---------------------------------------------------------------

    def clock(self) -> float:
        """Return the seconds on the steady clock of the worker."""
        return time.monotonic() - self.born_at

    def _answer(self, status: int, **fields: Any) -> Answer:
        body = {"clock_ms": int(self.clock() * 1000), "born": self.born}
        return Answer(status, {**body, **fields})

    async def run(self) -> None:
        """End the runs that are due, until cancelled."""
        while True:
            self.advance()
            await asyncio.sleep(0.002)

    def advance(self) -> None:
        """End the runs that are due."""
        now = self.clock()
        for run in list(self.runs.values()):
            at, how = min(
                (run.ends_at, "done"),
                (run.stops_at, "stopped"),
                (self.lease_end, "lapsed"),
            )
            if at <= now:
                self._finish(run, at, how)

    def _finish(self, run: Run, at: float, how: str) -> None:
        del self.runs[run.task]
        self.highest[run.task] = max(run.run, self.highest.get(run.task, 0))
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.run, how, ""])
        self.history.append(
            Interval(
                run.task,
                run.run,
                self.name,
                self.born_at + run.started_at,
                self.born_at + at,
                how,
            )
        )
        self._log("run-ended", worker=self.name, task=run.task, how=how)
        self._changed.set()
        self._changed = asyncio.Event()

    # -- calls --------------------------------------------------------------

    async def handle(self, call: Call) -> Answer:
        """Answer one call."""
        if call.headers.get("expected-instance", self.name) != self.name:
            return self._answer(421)
        self.advance()
        body = call.json()
        if body.get("fencing_token", 0) < self.token:
            return self._answer(409, reason="fence")
        self.token = body.get("fencing_token", 0)
        match call.path.removeprefix("/briarford/"):
            case "run-start":
                return self._start(body)
            case "run-stop":
                return self._stop(body)
            case "hold":
                return await self._hold(body)
            case _:
                return self._answer(404)

    def _extend(self, deadline_ms: int) -> None:
        end = min(deadline_ms / 1000, self.clock() + MAX_HOLD_S)
        self.lease_end = max(self.lease_end, end)

    def _start(self, body: dict[str, Any]) -> Answer:
        task, run = body["task"], body["run"]
        present = self.runs.get(task)
        if present is not None and present.run == run:
            return self._answer(200)
        if body["deadline_ms"] / 1000 <= self.clock():
            return self._answer(409, reason="late")
        self._extend(body["deadline_ms"])
        if run <= self.highest.get(task, 0) or present is not None:
            return self._answer(409, reason="old")
        cpu, work_s = self._work(task)
        if cpu + sum(r.cpu for r in self.runs.values()) > self.cpu:
            return self._answer(409, reason="room")
        now = self.clock()
        self.runs[task] = Run(task, run, cpu, now, now + work_s)
        self.starts.append((time.monotonic(), task, run))
        self._log("run-started", worker=self.name, task=task, run=run)
        return self._answer(200)

    def _stop(self, body: dict[str, Any]) -> Answer:
        task, run = body["task"], body["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        present = self.runs.get(task)
        if present is not None and present.run <= run:
            present.stops_at = min(present.stops_at, self.clock() + STOP_S)
        return self._answer(200)

    async def _hold(self, body: dict[str, Any]) -> Answer:
        seen = body.get("last_seen", 0)
        self.ended = [e for e in self.ended if e[0] > seen]
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ended:
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                break
        now = self.clock()
        running = []
        for run in self.runs.values():
            span_s = run.ends_at - run.started_at
            percent = int(100 * (now - run.started_at) / span_s)
            running.append([run.task, run.run, "", min(99, percent), run.cpu])
        return self._answer(200, running=running, ended=self.ended[:500])

    # -- reports ------------------------------------------------------------

    def report(self) -> dict[str, Any]:
        """Return the next liveness report."""
        self.sequence += 1
        body: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
            "labels": list(self.labels),
            "clock_ms": int(self.clock() * 1000),
            "sequence": self.sequence,
            "born": self.born,
        }
        return body

    async def beat(self) -> None:
        """Send liveness reports until cancelled."""
        while True:
            status = await self.send_report()
            await asyncio.sleep(BEAT_S if status == 200 else 0.3)

    async def send_report(self) -> int:
        """Send one liveness report; return the status of the answer."""
        status, _ = await call_http(
            self.control,
            "PUT",
            f"/briarford/instances/{self.name}",
            body=self.report(),
            timeout_s=1.0,
        )
        return status

    def open_intervals(self) -> list[Interval]:
        """Return the runs that go on, as intervals up to now."""
        now = time.monotonic()
        return [
            Interval(
                r.task,
                r.run,
                self.name,
                self.born_at + r.started_at,
                now,
                "running",
            )
            for r in self.runs.values()
        ]
