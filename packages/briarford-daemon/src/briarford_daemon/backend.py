"""HTTP calls that start tasks at the backend server of an agent."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import msgspec

from briarford.dispatch.messages import CallEnded
from briarford.jobs import TaskRef
from briarford.sessions import TaskResult, TaskStatus
from briarford_daemon.clock import Clock

__all__ = ["BackendCaller"]

# Idle connections are closed after so long.
KEEPALIVE_S = 3.0
CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 4_000_000
DID_RUN_HEADER = "Briarford-Did-Run"
MS_PER_S = 1000


class BackendCaller:
    """Runs tasks as HTTP requests over a bounded pool of connections.

    :param address: host and port of the backend server.
    :param connections: the most connections at the same time.
    :param clock: the process's clock.
    """

    def __init__(self, address: str, connections: int, clock: Clock) -> None:
        self._url = f"http://{address}/tasks"
        self._address = address
        self._clock = clock
        self._http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=connections, keepalive_timeout=KEEPALIVE_S
            ),
            auto_decompress=False,
        )

    async def call(
        self, ref: TaskRef, payload: bytes, deadline: float
    ) -> CallEnded:
        """Start one task and wait until it ends.

        The status is NOT_STARTED, after which the task may be started
        elsewhere, only if no connection could be opened or the backend
        server answers 503 with ``Briarford-Did-Run: no``. Without an answer
        the status is LOST, as the task may have run.

        :param payload: JSON document that is sent as the body.
        :param deadline: Unix seconds at which the wait ends.
        """
        started_at = time.perf_counter()
        try:
            async with asyncio.timeout(deadline - self._clock.now()):
                result = await self._post_task(ref, payload, deadline)
        except aiohttp.ClientConnectorError as exc:
            result = TaskResult(ref, TaskStatus.NOT_STARTED, detail=str(exc))
            return CallEnded(result, reached=False)
        except TimeoutError:
            detail = f"{self._address} gave no answer by the deadline"
            return _make_lost(ref, detail)
        except aiohttp.ClientError as exc:
            detail = f"{self._address} ended the connection: {exc!r}"
            return _make_lost(ref, detail)
        run_ms = (time.perf_counter() - started_at) * MS_PER_S
        return CallEnded(msgspec.structs.replace(result, run_ms=run_ms))

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    async def _post_task(
        self, ref: TaskRef, payload: bytes, deadline: float
    ) -> TaskResult:
        headers = {
            "Content-Type": "application/json",
            "Briarford-Job": ref.job_id,
            "Briarford-Task": str(ref.index),
            "Briarford-Attempt": str(ref.attempt),
            "Briarford-Deadline": f"{deadline:.3f}",
        }
        async with self._http.post(
            self._url,
            data=payload,
            headers=headers,
            allow_redirects=False,
        ) as response:
            body = await response.read()
            return self._read_result(ref, response, body)

    def _read_result(
        self, ref: TaskRef, response: aiohttp.ClientResponse, body: bytes
    ) -> TaskResult:
        status = response.status
        if status == 200:
            return self._check_document(ref, body)
        detail = f"{self._address} answered {status}"
        if status == 503 and response.headers.get(DID_RUN_HEADER) == "no":
            return TaskResult(ref, TaskStatus.NOT_STARTED, detail=detail)
        return TaskResult(ref, TaskStatus.FAILED, detail=detail)

    def _check_document(self, ref: TaskRef, body: bytes) -> TaskResult:
        """Accept the body if it is a JSON document within the size limit.

        It is copied unchanged into the JSON answer of the whole job, which
        an invalid document would make unreadable.
        """
        if len(body) > MAX_ANSWER_BYTES:
            detail = f"the answer has over {MAX_ANSWER_BYTES} bytes"
            return TaskResult(ref, TaskStatus.FAILED, detail=detail)
        try:
            msgspec.json.decode(body)
        except (msgspec.DecodeError, RecursionError):
            detail = f"{self._address} answered with no JSON document"
            return TaskResult(ref, TaskStatus.FAILED, detail=detail)
        return TaskResult(ref, TaskStatus.DONE, payload=body)


def _make_lost(ref: TaskRef, detail: str) -> CallEnded:
    return CallEnded(TaskResult(ref, TaskStatus.LOST, detail=detail))
