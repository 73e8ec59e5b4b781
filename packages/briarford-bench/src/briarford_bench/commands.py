"""Commands of the bench."""

from __future__ import annotations

import asyncio
import sys
from typing import Literal

import cyclopts
import msgspec
import uvloop

from briarford_bench.compare import LOADS, compare
from briarford_bench.profiles import find_profile
from briarford_bench.slopes import measure_slopes

__all__ = ["bench_app"]

DEFAULT_SECONDS = 30.0

bench_app = cyclopts.App(
    name="bench", help="Measure briarford on this machine."
)

Format = Literal["json"]


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
    rounds = compare(find_profile(profile), seed, seconds, load, _say)
    _print({"profile": profile, "seed": seed, "rounds": rounds})


@bench_app.command(name="slopes")
def slopes_command(*names: str, format: Format = "json") -> None:
    """Measure how the daemons' use of the machine grows.

    :param names: which slopes; all if none is given.
    :param format: how the figures are printed.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        slopes = runner.run(measure_slopes(names))
    _print({"slopes": slopes})


def _say(line: str) -> None:
    print(line, file=sys.stderr, flush=True)


def _print(document: object) -> None:
    data = msgspec.json.encode(document)
    print(msgspec.json.format(data, indent=1).decode())


if __name__ == "__main__":
    bench_app()
