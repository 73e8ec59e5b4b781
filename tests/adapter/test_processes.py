"""An entry and an agent as real processes, against stand-ins."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import pytest
from aiohttp import web

from briarford.runs import OrderResult
from briarford_cli.timeline import Timeline, build_timeline, read_lines
from fleet.worker import StandInWorker
from stand_in import StoreStandIn

TIMEOUT_S = 30.0
LEASE_MS = 1000
ROOT = Path(__file__).parents[2]
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "h.example",
            "prefix": "/p/",
            "service": "desk",
            "target_latency_ms": 60,
            "max_attempts": 3,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "desk"}],
}


USED_PORTS: set[int] = set()  # handed out before, whether in use yet or not


def free_port() -> int:
    while True:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port: int = sock.getsockname()[1]
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            return port


class WorkerServer:
    """Serves a stand-in worker over HTTP, in real time.

    :param clock_rate: seconds that its clock advances in a second.
    """

    def __init__(self, clock_rate: float = 1.0) -> None:
        self.core = StandInWorker("i-1")
        self.loop = asyncio.get_running_loop()
        self.clock_rate = clock_rate

    def app(self) -> web.Application:
        app = web.Application()
        add = app.router.add_route
        add("POST", "/briarford/run-start", self.start)
        add("POST", "/briarford/run-stop", self.stop)
        add("POST", "/briarford/hold", self.hold)
        return app

    def now(self) -> float:
        """Return the time on the clock of the worker, in seconds."""
        return self.loop.time() * self.clock_rate

    def _clock_ms(self) -> int:
        return int(self.now() * 1000)

    async def start(self, req: web.Request) -> web.Response:
        body = msgspec.json.decode(await req.read())
        job = body["task"].partition(".")[0]
        self.core.needs.setdefault(job, (1000, 0.1))
        result = self.core.start(
            body["task"],
            body["run"],
            body["fencing_token"],
            body["deadline_ms"] / 1000,
            self.now(),
        )
        answer: dict[str, Any] = {"clock_ms": self._clock_ms()}
        if result is OrderResult.STARTED:
            return web.json_response(answer)
        return web.json_response({**answer, "reason": "old"}, status=409)

    async def stop(self, req: web.Request) -> web.Response:
        body = msgspec.json.decode(await req.read())
        self.core.stop(
            body["task"], body["run"], body["fencing_token"], self.now()
        )
        return web.json_response({"clock_ms": self._clock_ms()})

    async def hold(self, req: web.Request) -> web.Response:
        body = msgspec.json.decode(await req.read())
        until = self.now() + body.get("wait_ms", 0) / 1000
        lease_ms = body.get("deadline_ms")
        lease = None if lease_ms is None else lease_ms / 1000
        while True:
            listing = self.core.listing(
                body["last_seen"],
                body["fencing_token"],
                lease,
                self.now(),
            )
            if listing.ended or self.now() >= until:
                break
            await asyncio.sleep(0.01)
        return web.json_response(
            {
                "clock_ms": self._clock_ms(),
                "born": listing.born_ms,
                "running": [
                    [r.task, r.run, "", r.percent] for r in listing.running
                ],
                "ended": [
                    [e.number, e.task, e.run, e.how, ""] for e in listing.ended
                ],
            }
        )


class Fleet:
    """Runs one entry, one agent and the services that they call."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._runners: list[web.AppRunner] = []
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.settings: dict[str, dict[str, Any]] = {}
        # By role, the source folders of another build that it is to run.
        self.builds: dict[str, str] = {}
        self.store = StoreStandIn()
        self.http = aiohttp.ClientSession()

    async def serve(self, app: web.Application) -> str:
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        value = base64.b64encode(json.dumps(CONFIG).encode()).decode()
        self.store._put({"key": "op/config", "value": value})
        store = await self.serve(self.store.app())
        self.worker = WorkerServer()
        self.worker_address = await self.serve(self.worker.app())
        for role in ("entry", "agent"):
            self.settings[role] = {
                "name": role,
                "zone": "z",
                "ip": "127.0.0.1",
                "rpc_port": free_port(),
                "store": store,
                "http": f"127.0.0.1:{free_port()}",
                "health": f"127.0.0.1:{free_port()}",
                "metrics_port": free_port(),
            }
            await self.launch(role)

    def write_settings(self, role: str) -> Path:
        path = self._folder / f"{role}.toml"
        lines = (
            f"{k} = {json.dumps(v)}" for k, v in self.settings[role].items()
        )
        path.write_text("\n".join(lines))
        return path

    def early_addresses(self, role: str) -> list[str]:
        """Return the addresses that the deploy file passes to the role."""
        settings = self.settings[role]
        if role == "entry":
            return [settings["http"]]
        return [settings["http"], f"{settings['ip']}:{settings['rpc_port']}"]

    async def launch(self, role: str) -> None:
        path = self.write_settings(role)
        env = {**os.environ, "BRIARFORD_NODE_FILE": str(path)}
        if role in self.builds:
            env["PYTHONPATH"] = self.builds[role]
        with (self._folder / f"{role}.log").open("ab") as log:
            self.processes[role] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "briarford_platform",
                role,
                *self.early_addresses(role),
                env=env,
                cwd=self._folder,
                stdout=log,
                stderr=log,
            )

    async def report(self, state: str = "ready", **change: Any) -> None:
        self.worker.core.sequence += 1
        body = {
            "service": "desk",
            "address": self.worker_address,
            "zone": "z",
            "state": state,
            "capacity": {"cpu": 8000, "mem_mb": 1000, "gpu": 0},
            "sequence": self.worker.core.sequence,
            "clock_ms": self.worker._clock_ms(),
            "born": self.worker.core.born_ms,
            **change,
        }
        address = self.settings["agent"]["http"]
        url = f"http://{address}/briarford/instances/i-1"
        async with self.http.put(url, json=body) as resp:
            assert resp.status == 200

    async def submit(
        self, job: str, estimated_ms: int = 100
    ) -> tuple[int, bytes]:
        step = {
            "count": 3,
            "cpu": 1000,
            "mem_mb": 1,
            "estimated_ms": estimated_ms,
        }
        body = {"spec": "text", "best_effort": True, "steps": [step]}
        address = self.settings["entry"]["http"]
        async with self.http.post(
            f"http://{address}/p/{job}",
            json=body,
            headers={"Host": "h.example"},
        ) as resp:
            return resp.status, await resp.read()

    async def eventually(self, attempt: Any, expected: Any) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                try:
                    if await attempt() == expected:
                        return
                except (aiohttp.ClientError, OSError):
                    pass
                await asyncio.sleep(0.05)

    async def ready(self) -> int:
        address = self.settings["entry"]["health"]
        async with self.http.get(f"http://{address}/briarford/ready") as resp:
            return resp.status

    async def metrics(self, role: str) -> str:
        port = self.settings[role]["metrics_port"]
        async with self.http.get(f"http://127.0.0.1:{port}/metrics") as resp:
            return await resp.text()

    def read_log(self, role: str) -> str:
        return (self._folder / f"{role}.log").read_text()

    def log(self, role: str) -> list[dict[str, Any]]:
        return [json.loads(n) for n in self.read_log(role).splitlines()]

    async def stop(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        await self.http.close()
        for runner in self._runners:
            await runner.cleanup()


@pytest.fixture
async def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    await fleet.start()
    yield fleet
    await fleet.stop()


async def report_worker(fleet: Fleet) -> bool:
    await fleet.report()
    return True


async def test_a_job_is_served_and_its_events_are_logged(fleet):
    await fleet.eventually(lambda: report_worker(fleet), True)
    await fleet.eventually(fleet.ready, 200)
    done = (200, b'{"state":"completed"}')
    await fleet.eventually(lambda: fleet.submit("00000000000000aa"), done)
    # A repeated request after the answer is the same job and runs nothing.
    before = len(fleet.worker.core.history)
    assert await fleet.submit("00000000000000aa") == done
    assert len(fleet.worker.core.history) == before == 3
    assert 'kind="completed"' in await fleet.metrics("entry")
    assert 'kind="done"' in await fleet.metrics("agent")
    messages = [
        line["message"]
        for line in fleet.log("entry")
        if "00000000000000aa" in str(line.get("job", line.get("task", "")))
    ]
    assert messages[0] == "accepted" or "refused" in messages
    assert messages.count("placed") == 3
    assert messages[-1] == "job-ended"


@pytest.mark.parametrize(
    ("work_s", "status", "body"),
    [
        (1.0, 200, b'{"state":"completed"}'),
        (60.0, 502, b'{"error":"the entry stops before the job has ended"}'),
    ],
    ids=["ends before", "outlasts the drain"],
)
async def test_a_planned_stop_answers_what_is_in_flight(
    fleet, work_s, status, body
):
    await fleet.eventually(lambda: report_worker(fleet), True)
    await fleet.eventually(fleet.ready, 200)
    done = (200, b'{"state":"completed"}')
    await fleet.eventually(lambda: fleet.submit("00000000000000ab"), done)
    fleet.worker.core.needs["00000000000000ac"] = (1000, work_s)
    running = asyncio.create_task(fleet.submit("00000000000000ac"))

    async def is_running() -> bool:
        return bool(fleet.worker.core.runs)

    await fleet.eventually(is_running, True)
    fleet.processes["entry"].send_signal(signal.SIGTERM)
    assert await running == (status, body)
    async with asyncio.timeout(TIMEOUT_S):
        assert await fleet.processes["entry"].wait() == 0
    await fleet.eventually(is_running, False)


async def test_a_restarted_agent_serves_without_a_new_heartbeat(fleet):
    await fleet.eventually(lambda: report_worker(fleet), True)
    await fleet.eventually(fleet.ready, 200)
    done = (200, b'{"state":"completed"}')
    await fleet.eventually(lambda: fleet.submit("00000000000000ad"), done)

    async def is_recorded() -> bool:
        return any(
            b"i-1" in base64.b64decode(item["value"])
            for key, item in fleet.store.items.items()
            if key.startswith("agents/")
        )

    await fleet.eventually(is_recorded, True)
    fleet.processes["agent"].kill()
    await fleet.processes["agent"].wait()
    await fleet.launch("agent")
    await fleet.eventually(lambda: fleet.submit("00000000000000ae"), done)


async def start_serving(fleet: Fleet, job: str) -> None:
    await fleet.eventually(lambda: report_worker(fleet), True)
    await fleet.eventually(fleet.ready, 200)
    done = (200, b'{"state":"completed"}')
    await fleet.eventually(lambda: fleet.submit(job), done)


def read_timeline(fleet: Fleet, job: str) -> Timeline:
    """Return the timeline of a job from the logs of both processes."""
    lines = [
        line
        for role in ("entry", "agent")
        for line in read_lines(fleet.read_log(role).splitlines())
    ]
    return build_timeline(job, lines)


def fields(timeline: Timeline, event: str) -> list[Any]:
    return [line.fields for line in timeline.events if line.event == event]


async def test_a_notice_stops_runs_that_cannot_end(fleet):
    """They start again, here once the worker takes its notice back."""
    await start_serving(fleet, "00000000000000b0")
    worker, job = fleet.worker.core, "00000000000000b1"
    worker.needs[job] = (1000, 8.0)
    answer = asyncio.create_task(fleet.submit(job, estimated_ms=8000))

    async def is_running() -> int:
        return len(worker.runs)

    await fleet.eventually(is_running, 3)
    await fleet.report("draining", remaining_ms=2000)
    await fleet.eventually(is_running, 0)
    worker.needs[job] = (1000, 0.1)
    await fleet.report()
    assert await answer == (200, b'{"state":"completed"}')
    how = [run.how for run in worker.history if run.task.startswith(job)]
    assert sorted(how) == ["done"] * 3 + ["stopped"] * 3
    timeline = read_timeline(fleet, job)
    assert fields(timeline, "worker-leaving")
    moved = fields(timeline, "run-moved")
    assert [m["why"] for m in moved] == ["in-time"] * 3


async def test_the_logs_explain_a_refusal(fleet):
    """No worker has sent a heartbeat, so no worker accepts tasks."""
    jobs = []

    async def is_refused() -> bool:
        jobs.append(f"{len(jobs):016x}")
        status, _ = await fleet.submit(jobs[-1])
        return status == 503

    await fleet.eventually(is_refused, True)

    async def outcome() -> str:
        """An entry without configuration refuses without a log line."""
        if not read_timeline(fleet, jobs[-1]).outcome:
            await is_refused()
        return read_timeline(fleet, jobs[-1]).outcome

    await fleet.eventually(outcome, "refused")
    timeline = read_timeline(fleet, jobs[-1])
    # A new entry lets requests wait, as agents start later than entries.
    (refusal,) = fields(timeline, "refused") or fields(timeline, "job-ended")
    assert refusal["reason"].startswith(
        ("workers-lost", "deadline-unreachable")
    )


async def test_the_logs_explain_a_failure(fleet):
    await start_serving(fleet, "00000000000000ba")
    fleet.worker.core.fault = "fail"
    status, body = await fleet.submit("00000000000000bb")
    assert (status, json.loads(body)["state"]) == (200, "failed")
    timeline = read_timeline(fleet, "00000000000000bb")
    assert timeline.outcome == "failed"
    failed = [
        f["task"]
        for f in fields(timeline, "run-ended")
        if f["how"] == "failed"
    ]
    attempts = max(failed.count(task) for task in failed)
    assert attempts == CONFIG["routes"][0]["max_attempts"]


async def test_the_logs_explain_a_late_answer(fleet):
    """The tasks of the job take ten times as long as estimated."""
    await start_serving(fleet, "00000000000000bc")
    fleet.worker.core.needs["00000000000000bd"] = (1000, 1.0)
    await fleet.submit("00000000000000bd")
    timeline = read_timeline(fleet, "00000000000000bd")
    (ended,) = fields(timeline, "job-ended")
    assert ended["took_ms"] > ended["objective_ms"]
    assert all(f["ran_ms"] > 900 for f in fields(timeline, "run-ended"))
    assert all(f["slack_ms"] > 0 for f in fields(timeline, "placed"))
    assert timeline.gaps == []


async def test_settings_are_reloaded_after_a_signal(fleet):
    await start_serving(fleet, "00000000000000be")
    fleet.settings["entry"]["stop_within_s"] = 9.0
    fleet.write_settings("entry")
    fleet.processes["entry"].send_signal(signal.SIGHUP)

    async def reloaded() -> list[Any]:
        return [
            line["taken"]
            for line in fleet.log("entry")
            if line["message"] == "settings-reloaded"
        ]

    await fleet.eventually(reloaded, [{"stop_within_s": 9.0}])
