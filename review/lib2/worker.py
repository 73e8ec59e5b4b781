"""A stand-in for a worker, on the real clock.

The ``spec`` of a job is JSON with ``ms``: for each step, the milliseconds
that a task works.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass, field
from typing import Any

from record import Record
from web import SILENCE, Answer, HttpServer, Request, call

MAX_HOLD_S = 1.0
STOP_S = 0.05
BEAT_S = 1.5
ACK = 200


@dataclass
class Run:
    """A run in progress."""

    task: str
    run: int
    cpu: int
    started_at: float
    ends_at: float
    stops_at: float = float("inf")


@dataclass
class Life:
    """What a worker holds from its start to its end."""

    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    began: float = field(default_factory=time.monotonic)
    token: int = 0
    deadline_ms: int = 0
    runs: dict[str, Run] = field(default_factory=dict)
    highest: dict[str, int] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    last_end: int = 0
    sequence: int = 0

    def clock_ms(self) -> int:
        """Return the time on the steady clock of the worker."""
        return 1000 + int((time.monotonic() - self.began) * 1000)


class Worker:
    """Runs tasks under a lease, and reports to its agent.

    :param name: its id.
    :param control: address of its agent.
    :param late_orders: called with each order to start a run; returns after
        how many seconds it is carried out without an answer, or None.
    """

    def __init__(
        self,
        name: str,
        host: str,
        control: str,
        record: Record,
        service: str = "desk",
        zone: str = "zone-a",
        cpu: int = 32000,
        labels: tuple[str, ...] = ("a", "r1-1"),
    ) -> None:
        self.name = name
        self.control = control
        self.service = service
        self.zone = zone
        self.cpu = cpu
        self.labels = labels
        self.state = "ready"
        self.remaining_ms: int | None = None
        self.life = Life()
        self.up = False
        self.late_orders = lambda _task: None
        self._acked_at = 0.0
        self._record = record
        self._server = HttpServer(self._handle, host)
        self._tasks: list[asyncio.Task[None]] = []
        self._pending: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Where it accepts calls."""
        return self._server.address

    async def start(self) -> None:
        """Boot, and report to the agent from then on."""
        await self.listen()
        self._tasks.append(asyncio.create_task(self._beat()))

    async def listen(self) -> None:
        """Boot: forget everything, and accept calls."""
        port = int(self.address.rpartition(":")[2] or 0)
        self.life = Life()
        self.up = True
        await self._server.start(port)
        self._record.add("worker-started", worker=self.name)
        self._tasks = [asyncio.create_task(self._work())]

    async def crash(self) -> None:
        """End at once; everything that runs ends."""
        self._advance()
        self.up = False
        for task in self._tasks:
            task.cancel()
        for run in list(self.life.runs.values()):
            self._end(run, "crashed", listed=False)
        await self._server.stop()
        self._record.add("worker-crashed", worker=self.name)

    def report(self) -> dict[str, Any]:
        """Return what it says of itself."""
        life = self.life
        life.sequence += 1
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
            "clock_ms": life.clock_ms(),
            "sequence": life.sequence,
            "born": life.born_ms,
        }
        if self.remaining_ms is not None:
            body["remaining_ms"] = self.remaining_ms
        return body

    async def beat(self) -> int:
        """Report once; return the status of the answer, 0 without one."""
        path = f"/briarford/instances/{self.name}"
        with contextlib.suppress(OSError, TimeoutError):
            status, _ = await call(
                self.control, "PUT", path, self.report(), timeout_s=1.0
            )
            if status == ACK:
                self._acked_at = time.monotonic()
            return status
        return 0

    @property
    def acked_s(self) -> float:
        """Seconds since its last report that was acknowledged."""
        return time.monotonic() - self._acked_at

    async def _beat(self) -> None:
        while True:
            answered = await self.beat()
            await asyncio.sleep(BEAT_S if answered else 0.3)

    async def _work(self) -> None:
        while True:
            self._advance()
            await asyncio.sleep(0.005)

    def _advance(self) -> None:
        now = time.monotonic()
        life = self.life
        lapsed = life.clock_ms() >= life.deadline_ms
        for run in list(life.runs.values()):
            if run.ends_at <= now:
                self._end(run, "done")
            elif run.stops_at <= now:
                self._end(run, "stopped")
            elif lapsed:
                self._end(run, "lapsed")

    def _end(self, run: Run, how: str, listed: bool = True) -> None:
        life = self.life
        del life.runs[run.task]
        life.highest[run.task] = max(run.run, life.highest.get(run.task, 0))
        self._record.run_ended(self.name, run.task, run.run, how)
        if listed:
            life.last_end += 1
            life.ended.append([life.last_end, run.task, run.run, how, ""])

    # -- calls --------------------------------------------------------------

    async def _handle(self, request: Request) -> Answer:
        if request.headers.get("expected-instance", self.name) != self.name:
            return Answer(421, {"clock_ms": self.life.clock_ms()})
        self._advance()
        match request.method, request.path:
            case "POST", "/briarford/run-start":
                delay_s = self.late_orders(request.body["task"])
                if delay_s is not None:
                    self._carry_out_late(request.body, delay_s)
                    return SILENCE
                return self._start(request.body)
            case "POST", "/briarford/run-stop":
                return self._stop(request.body)
            case "POST", "/briarford/hold":
                return await self._hold(request.body)
        return Answer(404)

    def _carry_out_late(self, body: dict[str, Any], delay_s: float) -> None:
        self._record.add(
            "order-unanswered",
            worker=self.name,
            task=body["task"],
            run=body["run"],
        )

        async def carry_out() -> None:
            await asyncio.sleep(delay_s)
            if self.up:
                self._advance()
                answer = self._start(body)
                self._record.add(
                    "order-carried-out-late",
                    worker=self.name,
                    task=body["task"],
                    run=body["run"],
                    answer=answer.status,
                    body=answer.body,
                )

        task = asyncio.create_task(carry_out())
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    def _conflict(self, reason: str) -> Answer:
        clock_ms = self.life.clock_ms()
        return Answer(409, {"clock_ms": clock_ms, "reason": reason})

    def _extend(self, deadline_ms: int) -> None:
        life = self.life
        latest = life.clock_ms() + int(MAX_HOLD_S * 1000)
        life.deadline_ms = max(life.deadline_ms, min(deadline_ms, latest))

    def _start(self, body: dict[str, Any]) -> Answer:
        life = self.life
        token = body.get("fencing_token", 0)
        if token < life.token:
            return self._conflict("fence")
        life.token = token
        if body["deadline_ms"] <= life.clock_ms():
            return self._conflict("late")
        self._extend(body["deadline_ms"])
        name, run = body["task"], body["run"]
        current = life.runs.get(name)
        if current is not None and current.run == run:
            return Answer(200, {"clock_ms": life.clock_ms()})
        if run <= life.highest.get(name, 0) or current is not None:
            return self._conflict("old")
        spec = json.loads(body["spec"])
        if sum(r.cpu for r in life.runs.values()) + spec["cpu"] > self.cpu:
            return self._conflict("room")
        now = time.monotonic()
        work_s = spec["ms"][int(name.split(".")[2])] / 1000
        life.runs[name] = Run(name, run, spec["cpu"], now, now + work_s)
        self._record.run_started(self.name, name, run)
        return Answer(200, {"clock_ms": life.clock_ms()})

    def _stop(self, body: dict[str, Any]) -> Answer:
        life = self.life
        answer = Answer(200, {"clock_ms": life.clock_ms()})
        token = body.get("fencing_token", 0)
        if token < life.token:
            return answer
        life.token = token
        name, run = body["task"], body["run"]
        life.highest[name] = max(run, life.highest.get(name, 0))
        current = life.runs.get(name)
        if current is not None and current.run <= run:
            current.stops_at = min(current.stops_at, time.monotonic() + STOP_S)
        return answer

    async def _hold(self, body: dict[str, Any]) -> Answer:
        life = self.life
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        if body.get("fencing_token", 0) >= life.token:
            life.token = body.get("fencing_token", 0)
            last = body.get("last_seen", 0)
            life.ended = [e for e in life.ended if e[0] > last]
            if "deadline_ms" in body:
                self._extend(body["deadline_ms"])
        while not life.ended and time.monotonic() < until:
            await asyncio.sleep(0.005)
            self._advance()
        now = time.monotonic()
        running = []
        for run in life.runs.values():
            share = (now - run.started_at) / (run.ends_at - run.started_at)
            running.append([run.task, run.run, "", int(share * 100), run.cpu])
        return Answer(
            200,
            {
                "clock_ms": life.clock_ms(),
                "born": life.born_ms,
                "running": running,
                "ended": life.ended[:500],
            },
        )
