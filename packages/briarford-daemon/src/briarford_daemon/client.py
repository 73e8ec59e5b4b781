"""Client library for the HTTP interface of entries."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp

from briarford_daemon.exceptions import EntryUnreachableError

__all__ = ["Answer", "Client"]

MIN_RETRY_DELAY_S = 0.1
# ValueError: an answer that is not JSON comes from a proxy between client
# and entry, not from the entry.
NO_ANSWER_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


@dataclass(slots=True, frozen=True)
class Answer:
    """Answer of an entry.

    :param status: HTTP status.
    :param body: the JSON document.
    """

    status: int
    body: dict[str, Any]

    @property
    def completed(self) -> bool:
        """Whether the job completed, so that the body has all its results."""
        return self.status == 200

    @property
    def did_run(self) -> str:
        """Whether the job or request ran: ``yes``, ``no`` or ``unknown``."""
        return "yes" if self.completed else self.body.get("did_run", "unknown")


class Client:
    """Submits jobs, each at most once, through any of several entries.

    An entry allocates the id of a job. If the answer to a submission is
    lost, the client sends the same submission to the next entry, which joins
    the running job instead of starting a second one.

    :param entries: HTTP addresses of entries.
    :param team: the team on whose quota the jobs run.
    """

    def __init__(self, entries: Sequence[str], team: str = "default") -> None:
        self._entries = list(entries)
        self._team = team
        self._http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )

    async def __aenter__(self) -> Client:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    async def allocate_ids(self, count: int = 1, entry: int = 0) -> list[str]:
        """Have the first entry that answers allocate job ids.

        :param count: how many.
        :param entry: index of the entry to try first.
        :raises EntryUnreachableError: if no entry answers.
        """
        for offset in range(len(self._entries)):
            url = self._url(entry + offset, f"/v1/jobs?count={count}")
            try:
                async with self._http.post(url) as response:
                    if response.status == 201:
                        return list((await response.json())["ids"])
            except NO_ANSWER_ERRORS:
                continue
        raise EntryUnreachableError(
            "no entry answered; check the addresses", may_have_run=False
        )

    async def run_job(
        self,
        service: str,
        tasks: Sequence[dict[str, Any]],
        deadline: float,
        entry: int = 0,
    ) -> Answer:
        """Allocate an id, submit a job under it and wait for its answer.

        A refused job has not run and never will under its id. If the refusal
        names a time before the deadline at which to retry, the job is
        submitted again under a new id.

        :param tasks: one dictionary per task, with at least ``payload``.
        :param deadline: Unix seconds.
        :param entry: index of the entry to try first.
        """
        while True:
            job_id = (await self.allocate_ids(1, entry))[0]
            answer = await self.submit(job_id, service, tasks, deadline, entry)
            if not _can_still_run(answer, deadline):
                return answer
            await asyncio.sleep(_retry_delay_s(answer))
            entry += 1

    async def submit(
        self,
        job_id: str,
        service: str,
        tasks: Sequence[dict[str, Any]],
        deadline: float,
        entry: int = 0,
    ) -> Answer:
        """Submit a job under an id and wait for its answer.

        Without an answer, the same submission is repeated at the next entry.
        It is repeated, too, after an answer that leaves open whether the job
        ran and names a time before the deadline at which to retry.

        :param tasks: one dictionary per task, with at least ``payload``.
        :param deadline: Unix seconds.
        :param entry: index of the entry to try first.
        :raises EntryUnreachableError: if no entry answered by the deadline.
        """
        body = {"service": service, "tasks": list(tasks)}
        path = f"/v1/jobs/{job_id}"
        while time.time() < deadline:
            answer = await self._send_or_none(
                "PUT", entry, path, body, deadline
            )
            if answer is not None and not _should_repeat(answer, deadline):
                return answer
            await asyncio.sleep(_retry_delay_s(answer))
            entry += 1
        raise EntryUnreachableError(
            f"no entry answered for job '{job_id}' by the deadline; read it"
            " with GET /v1/jobs before running it under a new id",
            may_have_run=True,
        )

    async def request(
        self,
        service: str,
        payload: Any,
        deadline: float,
        idempotent: bool = False,
        entry: int = 0,
    ) -> Answer:
        """Run a single request.

        It is sent to the next entry only if it is certain that it did not
        run: no connection could be opened, or the entry refused it.

        :raises EntryUnreachableError: if the connection broke, or no entry
            could be reached by the deadline.
        """
        body = {"payload": payload, "idempotent": idempotent}
        path = f"/v1/services/{service}/requests"
        while time.time() < deadline:
            try:
                answer = await self._send_once(
                    "POST", entry, path, body, deadline
                )
            except aiohttp.ClientConnectorError:
                answer = None
            except NO_ANSWER_ERRORS as exc:
                raise EntryUnreachableError(
                    "the connection broke before the answer; the request may"
                    " have run",
                    may_have_run=True,
                ) from exc
            if answer is not None and not _can_still_run(answer, deadline):
                return answer
            await asyncio.sleep(_retry_delay_s(answer))
            entry += 1
        raise EntryUnreachableError(
            "no entry could be reached by the deadline", may_have_run=False
        )

    async def get(self, path: str, entry: int = 0) -> Answer | None:
        """Read a JSON document from an entry; None if it gave no answer."""
        return await self._send_or_none("GET", entry, path, None, None)

    async def _send_or_none(
        self,
        method: str,
        entry: int,
        path: str,
        body: Any,
        deadline: float | None,
    ) -> Answer | None:
        try:
            return await self._send_once(method, entry, path, body, deadline)
        except NO_ANSWER_ERRORS:
            return None

    async def _send_once(
        self,
        method: str,
        entry: int,
        path: str,
        body: Any,
        deadline: float | None,
    ) -> Answer:
        headers = {"Briarford-Team": self._team}
        if deadline is not None:
            headers["Briarford-Deadline"] = f"{deadline:.3f}"
        url = self._url(entry, path)
        async with self._http.request(
            method, url, json=body, headers=headers
        ) as response:
            document = await response.json(content_type=None)
            return Answer(response.status, document)

    def _url(self, entry: int, path: str) -> str:
        return f"http://{self._entries[entry % len(self._entries)]}{path}"


def _should_repeat(answer: Answer, deadline: float) -> bool:
    """Return whether repeating the submission may yet give the outcome."""
    return answer.did_run == "unknown" and _may_retry_in_time(answer, deadline)


def _can_still_run(answer: Answer, deadline: float) -> bool:
    """Return whether a request did not run and may run by its deadline."""
    return answer.did_run == "no" and _may_retry_in_time(answer, deadline)


def _may_retry_in_time(answer: Answer, deadline: float) -> bool:
    retry_at = answer.body.get("retry_at")
    return retry_at is not None and retry_at < deadline


def _retry_delay_s(answer: Answer | None) -> float:
    """Return the seconds to wait before the next attempt."""
    if answer is None:
        return MIN_RETRY_DELAY_S
    wait = answer.body["retry_at"] - time.time()
    return float(max(MIN_RETRY_DELAY_S, wait))
