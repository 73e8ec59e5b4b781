"""The ``briarford bench`` commands."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Literal

import cyclopts
import msgspec
import uvloop

from briarford_bench.capacity import FullSize, capacity_tables
from briarford_bench.compare import LOADS, compare
from briarford_bench.experiments import run_experiments
from briarford_bench.profiles import find_profile
from briarford_bench.slopes import Slope, measure_slopes
from briarford_bench.throughput import measure_throughput

__all__ = ["bench_app"]

DEFAULT_SECONDS = 30.0

bench_app = cyclopts.App(
    name="bench", help="Measure briarford on this machine."
)

Format = Literal["json"]


class _SlopesFile(msgspec.Struct):
    """The document that ``slopes`` prints."""

    slopes: list[Slope]


@bench_app.command(name="compare")
def compare_command(
    *,
    profile: str = "kyklos",
    seed: int = 7,
    seconds: float = DEFAULT_SECONDS,
    load: tuple[float, ...] = LOADS,
    format: Format = "json",
) -> None:
    """Run the product and a naive dispatcher on the same traces.

    :param profile: kyklos or baridi.
    :param seed: seed of the traces.
    :param seconds: length of each trace.
    :param load: offered work over capacity; give it once per trace.
    :param format: how the figures are printed.
    """
    rounds = compare(
        find_profile(profile), seed, seconds, load, _print_progress
    )
    _print_json({"profile": profile, "seed": seed, "rounds": rounds})


@bench_app.command(name="experiment")
def experiment_command(
    *names: str,
    profile: str = "kyklos",
    seed: int = 7,
    seconds: float = DEFAULT_SECONDS,
    format: Format = "json",
) -> None:
    """Run both dispatchers with faults and unusual loads.

    :param names: which experiments; all if none is given.
    :param profile: kyklos or baridi.
    :param seed: seed of the traces.
    :param seconds: length of each trace.
    :param format: how the figures are printed.
    """
    results = run_experiments(names, find_profile(profile), seed, seconds)
    _print_json({"profile": profile, "seed": seed, "experiments": results})


@bench_app.command(name="slopes")
def slopes_command(*names: str, format: Format = "json") -> None:
    """Measure how the resource use of the daemons grows with their load.

    :param names: which slopes; all if none is given.
    :param format: how the figures are printed.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        slopes = runner.run(measure_slopes(names, _print_progress))
    _print_json({"slopes": slopes})


@bench_app.command(name="capacity")
def capacity_command(slopes: Path) -> None:
    """Print the tables of the capacity page as Markdown.

    :param slopes: a file with the output of ``slopes``.
    """
    document = msgspec.json.decode(slopes.read_bytes(), type=_SlopesFile)
    print(capacity_tables(document.slopes, FullSize()))


@bench_app.command(name="throughput")
def throughput_command(
    *,
    seconds: float = DEFAULT_SECONDS,
    workers: int = 200,
    run_ms: float = 400.0,
    log_level: str = "info",
    profile: str = "",
    format: Format = "json",
) -> None:
    """Measure how many task starts a second one entry process can handle.

    :param seconds: length of the measurement.
    :param workers: workers of 8 slots.
    :param run_ms: mean run time of a task in milliseconds.
    :param log_level: log level of the entry; info logs each decision.
    :param profile: file for a profile of the entry; empty for none.
    :param format: how the figures are printed.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        result = runner.run(
            measure_throughput(seconds, workers, run_ms, log_level, profile)
        )
    _print_json({"log_level": log_level, "throughput": result})


def _print_progress(line: str) -> None:
    print(line, file=sys.stderr, flush=True)


def _print_json(document: object) -> None:
    data = msgspec.json.encode(document)
    print(msgspec.json.format(data, indent=1).decode())


if __name__ == "__main__":
    bench_app()
