"""The collectors of a process's metrics, on the library that renders them.

Imported with the first scrape: the library takes a twentieth of the imports
of a process, all of which start at once after a loss of power.
"""

from __future__ import annotations

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["Collectors"]

# Buckets from the time of a short task to three times the objective of the
# longest tasks.
LATENCY_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0]


class Collectors:
    """Event counters, state gauges and latency histograms of one process.

    :param process: name of the process, a label of each metric.
    """

    def __init__(self, process: str) -> None:
        labels = {"process": process}
        self._registry = Registry()
        registry = self._registry
        self.events_total = Counter(
            "briarford_events_total",
            "Decisions and outcomes.",
            labels,
            registry,
        )
        self.store_calls_total = Counter(
            "briarford_store_calls_total",
            "Calls to the store.",
            labels,
            registry,
        )
        self.state = Gauge(
            "briarford_state", "What the process holds now.", labels, registry
        )
        self._job_durations = Histogram(
            "briarford_job_seconds",
            "From the submission to the outcome.",
            labels,
            registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.jobs_total = Counter(
            "briarford_priority_jobs_total",
            "Jobs by priority and what became of them.",
            labels,
            registry,
        )
        self.waited_total = Counter(
            "briarford_priority_waited_seconds_total",
            "Seconds that jobs waited for their first order, or in vain.",
            labels,
            registry,
        )
        self._run_durations = Histogram(
            "briarford_run_seconds",
            "From the start of a run to its end.",
            labels,
            registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def observe(self, labels: dict[str, str], seconds: float) -> None:
        """Record a duration: of a job by ``route``, of a run by ``how``."""
        durations = (
            self._job_durations if "route" in labels else self._run_durations
        )
        durations.observe(labels, seconds)

    def render(self) -> bytes:
        """Return all metrics as text."""
        content, _ = render(self._registry, ["text/plain"])
        return content
