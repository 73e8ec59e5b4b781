"""The ``briarfordd`` command."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import Protocol

import cyclopts
import uvloop

from briarford.exceptions import BriarfordError
from briarford_daemon.logs import set_up_logs
from briarford_daemon.processes import AgentProcess, EntryProcess
from briarford_daemon.settings import (
    AgentSettings,
    EntrySettings,
    load_settings,
)

__all__ = ["app", "run"]

app = cyclopts.App(
    name="briarfordd", help="Run one daemon of briarford in the foreground."
)


class Process(Protocol):
    """A daemon that can be started and stopped."""

    async def start(self) -> None:
        """Start serving."""

    async def stop(self) -> None:
        """Stop gracefully."""


@app.command
def entry(*, settings: Path) -> None:
    """Run an entry, which accepts jobs from clients and places their tasks.

    :param settings: a TOML file with the entry's settings.
    """
    cfg = load_settings(settings, EntrySettings)
    set_up_logs(cfg.log_level, cfg.name)
    uvloop.run(_serve(EntryProcess(cfg)))


@app.command
def agent(*, settings: Path) -> None:
    """Run an agent, which starts tasks at the backend server beside it.

    :param settings: a TOML file with the agent's settings.
    """
    cfg = load_settings(settings, AgentSettings)
    set_up_logs(cfg.log_level, cfg.name)
    uvloop.run(_serve(AgentProcess(cfg)))


async def _serve(process: Process) -> None:
    """Serve until a signal, then stop gracefully.

    A second signal cancels the graceful stop.
    """
    signals: asyncio.Queue[int] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, signals.put_nowait, int(signum))
    await process.start()
    await signals.get()
    stopping = asyncio.create_task(process.stop())
    second_signal = asyncio.create_task(signals.get())
    await asyncio.wait(
        {stopping, second_signal}, return_when=asyncio.FIRST_COMPLETED
    )
    second_signal.cancel()
    if not stopping.done():
        stopping.cancel()


def run() -> None:
    """Run the command and exit with its status."""
    try:
        app()
    except BriarfordError as exc:
        print(f"briarfordd: {exc.message}", file=sys.stderr)
        sys.exit(exc.exit_status)


if __name__ == "__main__":
    run()
