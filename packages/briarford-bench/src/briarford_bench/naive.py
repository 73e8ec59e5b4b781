"""A simple round-robin dispatcher, the reference for the comparison.

Each task is sent to the next worker in turn. If that worker has no free slot,
it rejects the task, which is sent to the next worker after a random pause.
There are no credits, estimates, quotas, admission or health checks.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections import Counter
from collections.abc import Coroutine
from typing import Any

import aiohttp
import msgspec
from blacksheep import Application, Content, Request, Response, Router

from briarford_daemon.http_server import HttpServer

__all__ = ["NaiveEntry"]

JSON_TYPE = b"application/json"
PROBLEM_TYPE = b"application/problem+json"
STATUS_OK = 200
STATUS_FAILED = 502
STATUS_TIMEOUT = 504
MIN_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.05
DEFAULT_TIMEOUT_S = 60.0
IDEMPOTENT_MAX_ATTEMPTS = 2


class _TaskFailedError(Exception):
    """A task failed and may have run."""


class NaiveEntry:
    """Serves the HTTP API of an entry and calls the backend servers itself.

    :param backends: addresses of all backend servers.
    :param seed: seed of the order of the workers, of the pauses and of the
        job ids.
    """

    def __init__(self, backends: list[str], seed: int) -> None:
        self.wasted_messages: Counter[str] = Counter()
        self._rng = random.Random(seed)
        self._backends = list(backends)
        self._rng.shuffle(self._backends)
        self._backend_cycle = itertools.cycle(self._backends)
        self._jobs: dict[str, asyncio.Task[Response]] = {}
        self._id_counter = itertools.count(1)
        self._id_prefix = f"{seed}-{self._rng.getrandbits(64):016x}"
        self._server = HttpServer(self._routes())
        self._http: aiohttp.ClientSession

    @property
    def address(self) -> str:
        """Host and port; known after :meth:`start`."""
        return self._server.address

    async def start(self) -> None:
        """Start to serve clients."""
        self._http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        await self._server.start()

    async def stop(self) -> None:
        """Cancel the running jobs and stop serving."""
        for task in self._jobs.values():
            task.cancel()
        await asyncio.gather(*self._jobs.values(), return_exceptions=True)
        await self._server.stop()
        await self._http.close()

    def _routes(self) -> Application:
        router = Router()

        @router.post("/v1/jobs")
        async def allocate_ids(request: Request) -> Response:
            count = int(request.query.get("count", ["1"])[0])
            return _make_json_response(
                201, {"ids": [self._allocate_id() for _ in range(count)]}
            )

        @router.put("/v1/jobs/:id")
        async def submit(request: Request) -> Response:
            job_id = str((request.route_values or {})["id"])
            body = await _read_json(request)
            payloads = [task["payload"] for task in body["tasks"]]
            run = self._run(job_id, payloads, _get_deadline(request), 1)
            return await self._run_once(job_id, run)

        @router.post("/v1/services/:service/requests")
        async def single(request: Request) -> Response:
            body = await _read_json(request)
            job_id = self._allocate_id()
            max_attempts = (
                IDEMPOTENT_MAX_ATTEMPTS if body.get("idempotent") else 1
            )
            run = self._run(
                job_id, [body["payload"]], _get_deadline(request), max_attempts
            )
            return await self._run_once(job_id, run)

        return Application(router=router)

    def _allocate_id(self) -> str:
        return f"{self._id_prefix}-{next(self._id_counter)}"

    async def _run_once(
        self, job_id: str, run: Coroutine[Any, Any, Response]
    ) -> Response:
        """Run a job, or wait for the run of an earlier request with its id."""
        if job_id in self._jobs:
            run.close()
        else:
            self._jobs[job_id] = asyncio.create_task(run)
        return await asyncio.shield(self._jobs[job_id])

    async def _run(
        self,
        job_id: str,
        payloads: list[Any],
        deadline: float,
        max_attempts: int,
    ) -> Response:
        tasks = [
            asyncio.create_task(
                self._run_task(job_id, index, payload, deadline, max_attempts)
            )
            for index, payload in enumerate(payloads)
        ]
        try:
            async with asyncio.timeout(deadline - time.time()):
                results = await asyncio.gather(*tasks)
        except TimeoutError:
            return _make_problem(job_id, STATUS_TIMEOUT, "deadline passed")
        except _TaskFailedError:
            return _make_problem(job_id, STATUS_FAILED, "task failed")
        finally:
            for task in tasks:
                task.cancel()
        return _make_json_response(
            STATUS_OK,
            {"id": job_id, "outcome": "completed", "results": results},
        )

    async def _run_task(
        self,
        job_id: str,
        index: int,
        payload: Any,
        deadline: float,
        max_attempts: int,
    ) -> msgspec.Raw:
        body = msgspec.json.encode(payload)
        for attempt in range(max_attempts):
            result = await self._send_attempt(
                job_id, index, attempt, body, deadline
            )
            if result is not None:
                return msgspec.Raw(result)
            self.wasted_messages["failed"] += 2
        raise _TaskFailedError

    async def _send_attempt(
        self,
        job_id: str,
        index: int,
        attempt: int,
        body: bytes,
        deadline: float,
    ) -> bytes | None:
        """Send a task to worker after worker until one has run it.

        If a worker rejects the task without running it, the next one gets it
        after a random pause.

        :return: the answer; None if the task failed and may have run.
        """
        headers = {
            "Briarford-Job": job_id,
            "Briarford-Task": str(index),
            "Briarford-Attempt": str(attempt),
            "Briarford-Deadline": f"{deadline:.3f}",
        }
        while True:
            url = f"http://{next(self._backend_cycle)}/tasks"
            try:
                async with self._http.post(
                    url, data=body, headers=headers
                ) as response:
                    answer = await response.read()
            except aiohttp.ClientError:
                return None
            if response.status == STATUS_OK:
                return answer
            if response.headers.get("Briarford-Did-Run") != "no":
                return None
            self.wasted_messages["bounce"] += 2
            await asyncio.sleep(
                self._rng.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S)
            )


async def _read_json(request: Request) -> dict[str, Any]:
    return msgspec.json.decode(
        await request.read() or b"", type=dict[str, Any]
    )


def _get_deadline(request: Request) -> float:
    value = request.get_first_header(b"Briarford-Deadline")
    if value is None:
        return time.time() + DEFAULT_TIMEOUT_S
    return float(value)


def _make_json_response(status: int, body: object) -> Response:
    return Response(
        status, content=Content(JSON_TYPE, msgspec.json.encode(body))
    )


def _make_problem(job_id: str, status: int, title: str) -> Response:
    body = {
        "id": job_id,
        "title": title,
        "status": status,
        "did_run": "unknown",
    }
    return Response(
        status, content=Content(PROBLEM_TYPE, msgspec.json.encode(body))
    )
