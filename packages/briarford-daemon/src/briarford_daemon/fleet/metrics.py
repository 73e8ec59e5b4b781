"""Metrics of an entry or agent process in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from briarford_daemon.http_listener import Handler, HttpCall, HttpReply
from briarford_daemon.log_lines import ERROR_LINES

if TYPE_CHECKING:
    from briarford.requests.tallies import PriorityTallies
    from briarford_daemon.fleet.collectors import Collectors

__all__ = ["FleetMetrics", "handle_scrapes"]

METRICS_PATH = "/metrics"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"

# Durations that wait for a scrape: more than an entry has between two at its
# peak. If nobody scrapes, the collectors are loaded once so many wait.
MAX_PENDING = 4000


class FleetMetrics:
    """Event counters, state gauges and latency histograms of one process.

    :param process: name of the process, a label of each metric.
    :param store_calls: numbers of calls to the key-value service by call and
        result; read at each scrape.
    """

    def __init__(
        self, process: str, store_calls: Mapping[tuple[str, str], int]
    ) -> None:
        self._process = process
        self._store_calls = store_calls
        self._event_counts: Mapping[str, int] = {}
        self._get_state: Callable[[], Mapping[str, float]] = dict
        self._by_priority: PriorityTallies | None = None
        self._intake_counts: Mapping[str, int] = {}
        self._get_intake_state: Callable[[], Mapping[str, float]] = dict
        self._collectors: Collectors | None = None
        self._pending: list[tuple[dict[str, str], float]] = []

    def set_sources(
        self,
        counts: Mapping[str, int],
        state: Callable[[], Mapping[str, float]],
        by_priority: PriorityTallies | None = None,
    ) -> None:
        """Set where the values of counters and gauges are read from.

        :param counts: numbers of events by kind; read at each scrape.
        :param state: returns the values of the gauges by kind; called at each
            scrape.
        :param by_priority: numbers of jobs of an entry; read at each scrape.
        """
        self._by_priority = by_priority
        self._event_counts = counts
        self._get_state = state

    def add_counts(
        self,
        counts: Mapping[str, int],
        state: Callable[[], Mapping[str, float]],
    ) -> None:
        """Set where the counters and gauges of connections are read from.

        :param counts: numbers of limited connections by reason.
        :param state: returns the values of the gauges by kind.
        """
        self._intake_counts = counts
        self._get_intake_state = state

    def observe_job(self, route: str, seconds: float) -> None:
        """Record the time from the submission of a job to its outcome."""
        self._observe({"route": route}, seconds)

    def observe_run(self, how: str, seconds: float) -> None:
        """Record the time from the start of a run to its end.

        :param how: how the run ended.
        """
        self._observe({"how": how}, seconds)

    def _observe(self, labels: dict[str, str], seconds: float) -> None:
        self._pending.append((labels, seconds))
        if len(self._pending) >= MAX_PENDING:
            self._load_collectors()

    def _load_collectors(self) -> Collectors:
        """Return the collectors with all durations recorded so far."""
        if self._collectors is None:
            from briarford_daemon.fleet.collectors import Collectors

            self._collectors = Collectors(self._process)
        for labels, seconds in self._pending:
            self._collectors.observe(labels, seconds)
        self._pending.clear()
        return self._collectors

    def render(self) -> bytes:
        """Return all metrics as text."""
        collectors = self._load_collectors()
        for kind, count in self._event_counts.items():
            collectors.events_total.set({"kind": kind}, count)
        for reason, count in self._intake_counts.items():
            collectors.events_total.set({"kind": f"intake-{reason}"}, count)
        for event, count in ERROR_LINES.counts.items():
            collectors.events_total.set({"kind": f"error-{event}"}, count)
        for (call, result), count in self._store_calls.items():
            collectors.store_calls_total.set(
                {"call": call, "result": result}, count
            )
        if self._by_priority is not None:
            _set_by_priority(collectors, self._by_priority)
        state = {**self._get_state(), **self._get_intake_state()}
        for kind, value in state.items():
            collectors.state.set({"kind": kind}, value)
        return collectors.render()


def handle_scrapes(metrics: FleetMetrics) -> Handler:
    """Return the handler that serves ``/metrics``."""

    def handle(call: HttpCall) -> HttpReply:
        if call.path != METRICS_PATH:
            return HttpReply(404)
        return HttpReply(200, metrics.render(), METRICS_CONTENT_TYPE)

    return handle


def _set_by_priority(collectors: Collectors, tallies: PriorityTallies) -> None:
    for (priority, what), count in tallies.jobs.items():
        labels = {"priority": str(priority), "kind": what}
        collectors.jobs_total.set(labels, count)
    for priority, waited_s in tallies.waited_s.items():
        collectors.waited_total.set({"priority": str(priority)}, waited_s)
