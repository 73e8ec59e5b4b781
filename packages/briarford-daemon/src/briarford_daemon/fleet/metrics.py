"""Metrics of a process of the fleet in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render
from blacksheep import Application, Request, Response

from briarford_daemon.http_routes import build_app, metrics_response

__all__ = ["FleetMetrics", "build_metrics_app"]

# From a short task to three times the objective of the longest ones.
SECONDS = [0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0]


class FleetMetrics:
    """Counters, state and latencies of one process.

    :param process: its name, a label of each metric.
    :param store_calls: calls to the store by kind and result.
    """

    def __init__(
        self, process: str, store_calls: Mapping[tuple[str, str], int]
    ) -> None:
        labels = {"process": process}
        self._store_calls = store_calls
        self._registry = Registry()
        self._counts: Mapping[str, int] = {}
        self._state: Callable[[], Mapping[str, float]] = dict
        add = self._registry
        self._events = Counter(
            "briarford_events_total", "Decisions and outcomes.", labels, add
        )
        self._calls = Counter(
            "briarford_store_calls_total", "Calls to the store.", labels, add
        )
        self._gauge = Gauge(
            "briarford_state", "What the process holds now.", labels, add
        )
        self._jobs = Histogram(
            "briarford_job_seconds",
            "From the submission to the outcome.",
            labels,
            add,
            buckets=SECONDS,
        )
        self._runs = Histogram(
            "briarford_run_seconds",
            "From the start of a run to its end.",
            labels,
            add,
            buckets=SECONDS,
        )

    def expose(
        self,
        counts: Mapping[str, int],
        state: Callable[[], Mapping[str, float]],
    ) -> None:
        """Name the sources of the counters and of the state."""
        self._counts = counts
        self._state = state

    def job_seconds(self, route: str, seconds: float) -> None:
        """Note how long a job took."""
        self._jobs.observe({"route": route}, seconds)

    def run_seconds(self, how: str, seconds: float) -> None:
        """Note how long a run took."""
        self._runs.observe({"how": how}, seconds)

    def render(self) -> bytes:
        """Return all metrics as text."""
        for kind, count in self._counts.items():
            self._events.set({"kind": kind}, count)
        for (call, result), count in self._store_calls.items():
            self._calls.set({"call": call, "result": result}, count)
        for kind, value in self._state().items():
            self._gauge.set({"kind": kind}, value)
        content, _ = render(self._registry, ["text/plain"])
        return content


def build_metrics_app(metrics: FleetMetrics) -> Application:
    """Return the application that serves ``/metrics``."""

    async def show(req: Request) -> Response:
        return metrics_response(metrics.render())

    return build_app("metrics", [("GET", "/metrics", show)])
