"""Open-loop load: sends a trace to entries and records the answers."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

from briarford_bench.ideal import ideal_s
from briarford_bench.profiles import Profile
from briarford_bench.trace import Arrival

__all__ = ["LoadGenerator", "LoadSummary", "Ratios", "Sample", "summarize"]

STATUS_OK = 200
IDS_PER_REQUEST = 200
JOB_SIZE_BOUNDS = (1, 10, 60, 200)  # largest job of each group, in tasks
START_DELAY_S = 0.2
ANSWER_GRACE_S = 2.0
MAX_LATENCY_US = 600_000_000
MAX_RATIO_PERMILLE = 10_000_000
SIGNIFICANT_FIGURES = 3
PERMILLE = 1000


@dataclass(slots=True, frozen=True)
class Sample:
    """Outcome of one arrival, as its client saw it.

    :param arrival: the job or single request that was sent.
    :param job_id: id of its job as the answer names it; empty without an
        answer.
    :param outcome: completed, partial, failed, refused or unanswered.
    :param reason: title of the problem that the answer names, or class of
        the error without an answer; empty if completed or partial.
    :param latency_s: seconds from the intended arrival to the answer.
    :param answer_s: seconds from the actual sending to the answer.
    :param ended_at: time of the answer, Unix seconds.
    """

    arrival: Arrival
    job_id: str
    outcome: str
    reason: str
    latency_s: float
    answer_s: float
    ended_at: float


class LoadGenerator:
    """Sends each arrival when it is due, without waiting for answers.

    :param entries: HTTP addresses of entries; requests go to them in turn,
        as a load balancer distributes them.
    :param service: the service that runs the tasks.
    """

    def __init__(self, entries: Sequence[str], service: str) -> None:
        self._entries = itertools.cycle(entries)
        self._service = service
        self._unused_ids: dict[str, list[str]] = {
            entry: [] for entry in entries
        }
        self._cancels: set[asyncio.Task[None]] = set()
        self._http: aiohttp.ClientSession

    async def run(self, trace: Sequence[Arrival]) -> list[Sample]:
        """Send a trace, wait for the last answer and return all outcomes."""
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as self._http:
            for entry in self._unused_ids:
                await self._request_ids(entry)
            started_at = time.time() + START_DELAY_S
            tasks = [
                asyncio.create_task(self._send(arrival, started_at))
                for arrival in trace
            ]
            samples = list(await asyncio.gather(*tasks))
            await asyncio.gather(*self._cancels, return_exceptions=True)
            return samples

    async def _request_ids(self, entry: str) -> None:
        url = f"http://{entry}/v1/jobs?count={IDS_PER_REQUEST}"
        async with self._http.post(url) as response:
            self._unused_ids[entry] += (await response.json())["ids"]

    async def _send(self, arrival: Arrival, started_at: float) -> Sample:
        due_at = started_at + arrival.at
        await asyncio.sleep(max(0.0, due_at - time.time()))
        sent_at = time.time()
        job_id, outcome, reason = await self._send_with_timeout(
            arrival, started_at
        )
        ended_at = time.time()
        return Sample(
            arrival,
            job_id,
            outcome,
            reason,
            ended_at - due_at,
            ended_at - sent_at,
            ended_at,
        )

    async def _send_with_timeout(
        self, arrival: Arrival, started_at: float
    ) -> tuple[str, str, str]:
        deadline = started_at + arrival.deadline
        wait_s = max(0.1, deadline - time.time()) + ANSWER_GRACE_S
        try:
            async with asyncio.timeout(wait_s):
                return await self._request(arrival, deadline)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return "", "unanswered", type(exc).__name__

    async def _request(
        self, arrival: Arrival, deadline: float
    ) -> tuple[str, str, str]:
        entry = next(self._entries)
        headers = {
            "Briarford-Team": arrival.team,
            "Briarford-Deadline": f"{deadline:.3f}",
        }
        if arrival.single:
            method = "POST"
            url = f"http://{entry}/v1/services/{self._service}/requests"
        else:
            method = "PUT"
            url = f"http://{entry}/v1/jobs/{await self._get_job_id(entry)}"
            self._schedule_cancel(arrival, url, deadline - arrival.deadline)
        body = self._make_body(arrival)
        async with self._http.request(
            method, url, json=body, headers=headers
        ) as response:
            data = await response.read()
            return _classify_answer(arrival, response.status, data)

    def _schedule_cancel(
        self, arrival: Arrival, url: str, started_at: float
    ) -> None:
        if arrival.cancel_at is None:
            return
        task = asyncio.create_task(
            self._cancel(url, started_at + arrival.cancel_at)
        )
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def _cancel(self, url: str, at: float) -> None:
        await asyncio.sleep(max(0.0, at - time.time()))
        async with self._http.delete(url):
            pass

    async def _get_job_id(self, entry: str) -> str:
        if not self._unused_ids[entry]:
            await self._request_ids(entry)
        return self._unused_ids[entry].pop()

    def _make_body(self, arrival: Arrival) -> dict[str, Any]:
        payloads = [
            {"run_ms": run_ms, "value": index, "fail": arrival.always_fails}
            for index, run_ms in enumerate(arrival.run_ms)
        ]
        if arrival.single:
            return {
                "payload": payloads[0],
                "expected_ms": arrival.expected_ms[0],
                "idempotent": arrival.idempotent,
            }
        tasks = [
            {"payload": payload, "expected_ms": expected_ms}
            for payload, expected_ms in zip(
                payloads, arrival.expected_ms, strict=True
            )
        ]
        return {"service": self._service, "tasks": tasks}


def _classify_answer(
    arrival: Arrival, status: int, data: bytes
) -> tuple[str, str, str]:
    """Return job id, outcome and reason of an answered request.

    An answer with status 200 is partial if the echoed values of its results
    are not those that were sent, each once and in order.
    """
    document = msgspec.json.decode(data, type=dict[str, Any])
    job_id = document.get("id", "")
    if status == STATUS_OK:
        echoes = [result["echo"] for result in document["results"]]
        complete = echoes == list(range(len(arrival.run_ms)))
        return job_id, "completed" if complete else "partial", ""
    outcome = "refused" if document.get("did_run") == "no" else "failed"
    return job_id, outcome, document.get("title", str(status))


@dataclass(slots=True, frozen=True)
class Ratios:
    """Response ratios of completed jobs: latency over its lower bound.

    :param jobs: number of jobs.
    :param p50: median ratio.
    :param p99: 99th percentile of the ratio.
    """

    jobs: int
    p50: float
    p99: float


@dataclass(slots=True, frozen=True)
class LoadSummary:
    """Figures of one run of a trace.

    :param jobs: number of arrivals that were sent.
    :param outcomes: number of arrivals by outcome.
    :param reasons: number of arrivals by reason; those without one, which
        are the completed and the partial ones, are left out.
    :param ratio_p50: median response ratio of completed jobs; see
        :class:`Ratios`.
    :param ratio_p99: 99th percentile of the response ratio.
    :param ratios: response ratios by job size; the key is the largest number
        of tasks of its group.
    :param latency_p50_ms: median latency of completed jobs.
    :param latency_p99_ms: 99th percentile of the latency.
    :param goodput: work of the jobs that completed before their deadline and
        before the end of the trace, over the capacity of the workers in that
        time.
    :param refusal_max_ms: longest time from the sending of a request to its
        refusal.
    :param refusals_over_50_ms: refusals that took longer than 50 ms.
    """

    jobs: int
    outcomes: dict[str, int]
    reasons: dict[str, int]
    ratio_p50: float
    ratio_p99: float
    ratios: dict[int, Ratios]
    latency_p50_ms: float
    latency_p99_ms: float
    goodput: float
    refusal_max_ms: float
    refusals_over_50_ms: int


def summarize(
    profile: Profile, samples: Sequence[Sample], seconds: float
) -> LoadSummary:
    """Compute the figures of a run.

    :param seconds: length of the trace.
    """
    latency = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
    completed = [s for s in samples if s.outcome == "completed"]
    for sample in completed:
        latency.record_value(int(sample.latency_s * 1e6))
    ratios = _compute_ratios(profile, completed)
    refusals = [s.answer_s for s in samples if s.outcome == "refused"]
    return LoadSummary(
        jobs=len(samples),
        outcomes=dict(Counter(s.outcome for s in samples)),
        reasons=dict(Counter(s.reason for s in samples if s.reason)),
        ratio_p50=ratios.p50,
        ratio_p99=ratios.p99,
        ratios=_compute_ratios_by_size(profile, completed),
        latency_p50_ms=latency.get_value_at_percentile(50) / 1000,
        latency_p99_ms=latency.get_value_at_percentile(99) / 1000,
        goodput=_compute_goodput(profile, completed, seconds),
        refusal_max_ms=max(refusals, default=0.0) * 1000,
        refusals_over_50_ms=sum(s > 0.05 for s in refusals),
    )


def _compute_ratios(profile: Profile, completed: Sequence[Sample]) -> Ratios:
    histogram = HdrHistogram(1, MAX_RATIO_PERMILLE, SIGNIFICANT_FIGURES)
    for sample in completed:
        ideal = ideal_s(profile, sample.arrival.run_ms)
        histogram.record_value(int(sample.latency_s / ideal * PERMILLE))
    return Ratios(
        len(completed),
        histogram.get_value_at_percentile(50) / PERMILLE,
        histogram.get_value_at_percentile(99) / PERMILLE,
    )


def _compute_ratios_by_size(
    profile: Profile, completed: Sequence[Sample]
) -> dict[int, Ratios]:
    by_size: dict[int, list[Sample]] = {size: [] for size in JOB_SIZE_BOUNDS}
    for sample in completed:
        tasks = len(sample.arrival.run_ms)
        size = next(size for size in JOB_SIZE_BOUNDS if tasks <= size)
        by_size[size].append(sample)
    return {
        size: _compute_ratios(profile, rows) for size, rows in by_size.items()
    }


def _compute_goodput(
    profile: Profile, completed: Sequence[Sample], seconds: float
) -> float:
    work_s = sum(
        s.arrival.work_s
        for s in completed
        if s.arrival.at + s.latency_s <= min(seconds, s.arrival.deadline)
    )
    return work_s / (profile.capacity * seconds)
