"""Metrics of a daemon in the Prometheus text format."""

from __future__ import annotations

from collections import Counter as Counts
from collections.abc import Mapping

from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.renderer import render

__all__ = ["Metrics"]


class Metrics:
    """The counters and gauges of one process.

    Events are counted in plain dictionaries, which costs far less per task
    than a labelled collector; the counts are copied into the collectors when
    the metrics are read.

    :param process: name of the process, a label of each metric.
    """

    def __init__(self, process: str) -> None:
        self._labels = {"process": process}
        self._registry = Registry()
        self.jobs: Counts[str] = Counts()
        self.attempts: Counts[str] = Counts()
        self.decisions: Counts[str] = Counts()
        self.messages: Counts[str] = Counts()
        self._counters = (
            self._counter("jobs", "Jobs that ended, by outcome.", self.jobs),
            self._counter(
                "attempts", "Attempts at tasks, by status.", self.attempts
            ),
            self._counter("decisions", "Decisions.", self.decisions),
            self._counter(
                "messages", "Messages to peers, by kind.", self.messages
            ),
        )
        self._state = Gauge(
            "briarford_state",
            "What the process holds now.",
            self._labels,
            self._registry,
        )

    def render(self, state: Mapping[str, float]) -> bytes:
        """Return all metrics as text.

        :param state: present values of the gauges, by kind.
        """
        for collector, counts in self._counters:
            for kind, count in counts.items():
                collector.set({"kind": kind}, count)
        for kind, value in state.items():
            self._state.set({"kind": kind}, value)
        content, _ = render(self._registry, ["text/plain"])
        return content

    def _counter(
        self, name: str, doc: str, counts: Counts[str]
    ) -> tuple[Counter, Counts[str]]:
        collector = Counter(
            f"briarford_{name}_total", doc, self._labels, self._registry
        )
        return collector, counts
