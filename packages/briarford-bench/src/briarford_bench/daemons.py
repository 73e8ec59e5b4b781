"""Runs daemons as processes of their own and measures their resource use."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import psutil

__all__ = ["Daemon", "Reading", "Usage", "free_address"]

STOP_TIMEOUT_S = 5.0


@dataclass(slots=True, frozen=True)
class Reading:
    """Resources that a process has used from its start to a moment.

    :param at: the moment, monotonic seconds.
    :param processor_s: processor time in seconds.
    :param memory_mb: resident memory in megabytes.
    :param io_bytes: bytes read and written, sockets included.
    """

    at: float
    processor_s: float
    memory_mb: float
    io_bytes: int

    def usage_until(self, later: Reading) -> Usage:
        """Return the use between this reading and a later one."""
        elapsed_s = later.at - self.at
        return Usage(
            100 * (later.processor_s - self.processor_s) / elapsed_s,
            later.memory_mb,
            (later.io_bytes - self.io_bytes) / elapsed_s / 1000,
        )


@dataclass(slots=True, frozen=True)
class Usage:
    """Resource use of a process between two readings.

    :param processor_percent: mean processor use, percent of one core.
    :param memory_mb: resident memory at the end, in megabytes.
    :param kb_per_s: kilobytes read and written a second, sockets included.
    """

    processor_percent: float
    memory_mb: float
    kb_per_s: float


class Daemon:
    """A ``briarfordd`` process.

    :param role: entry or agent.
    :param settings: its settings as TOML.
    :param profile: file to which cProfile writes a profile of the process;
        empty to run without profiling.
    """

    def __init__(self, role: str, settings: str, profile: str = "") -> None:
        self._role = role
        self._settings = settings
        self._profile_path = profile
        self._settings_dir: tempfile.TemporaryDirectory[str]
        self._process: asyncio.subprocess.Process

    async def start(self) -> None:
        """Start the process; its output and log are discarded."""
        self._settings_dir = tempfile.TemporaryDirectory()
        path = Path(self._settings_dir.name) / "settings.toml"
        path.write_text(self._settings, encoding="utf-8")
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self._profiler_arguments(),
            "-m",
            "briarford_daemon.main",
            self._role,
            "--settings",
            str(path),
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )

    def _profiler_arguments(self) -> list[str]:
        if not self._profile_path:
            return []
        return ["-m", "cProfile", "-o", self._profile_path]

    def read(self) -> Reading:
        """Read the resources that the process has used so far."""
        process = psutil.Process(self._process.pid)
        with process.oneshot():
            times = process.cpu_times()
            io = process.io_counters()
            return Reading(
                time.monotonic(),
                times.user + times.system,
                process.memory_info().rss / 1e6,
                io.read_chars + io.write_chars,
            )

    async def stop(self) -> None:
        """Send SIGTERM; kill the process if it has not ended in time."""
        with contextlib.suppress(ProcessLookupError):
            self._process.terminate()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
        self._settings_dir.cleanup()


def free_address() -> str:
    """Return a loopback address with a free port."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"
