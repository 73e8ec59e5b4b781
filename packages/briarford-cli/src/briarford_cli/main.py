"""The ``briarford`` command: its sub-commands and its exit status."""

from __future__ import annotations

import asyncio
import sys

import cyclopts

from briarford.exceptions import BriarfordError
from briarford_bench.commands import bench_app
from briarford_cli.demo_command import demo
from briarford_cli.drain_commands import drain, undrain
from briarford_cli.explain_command import explain
from briarford_cli.job_commands import status, submit
from briarford_cli.losses_command import losses
from briarford_cli.preset_commands import preset_app
from briarford_cli.stand_in_commands import backend_stand_in, kv_stand_in

__all__ = ["app", "run"]

EXIT_INTERRUPTED = 130  # 128 + SIGINT, as shells report it

app = cyclopts.App(
    name="briarford",
    help=(
        "Submit jobs, show entries, change presets, run stand-ins and "
        "experiments."
    ),
)
app.command(demo)
app.command(submit)
app.command(status)
app.command(explain)
app.command(losses)
app.command(preset_app)
app.command(drain)
app.command(undrain)
app.command(bench_app)
app.command(kv_stand_in)
app.command(backend_stand_in)


def run() -> None:
    """Run the command line; exit with the status of the command or error."""
    try:
        app()
    except BriarfordError as exc:
        print(f"briarford: {exc.message}", file=sys.stderr)
        sys.exit(exc.exit_status)
    except (KeyboardInterrupt, asyncio.CancelledError):
        sys.exit(EXIT_INTERRUPTED)


if __name__ == "__main__":
    run()
