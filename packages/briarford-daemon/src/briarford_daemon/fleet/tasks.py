"""Background tasks of one process, cancelled together when it stops."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

__all__ = ["BackgroundTasks"]

LOGGER = logging.getLogger("briarford.tasks")

# Shorter than the silence after which a peer reconnects.
RESTART_DELAY_S = 0.2


class BackgroundTasks:
    """Asyncio tasks that run until they end or their owner stops.

    An exception of a task is logged as ``task-failed``; the others go on.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_ended)

    def keep_running(
        self, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a coroutine function as a task, and again after an exception."""
        self.spawn(_run_again(work))

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_task_ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOGGER.error("task-failed", exc_info=task.exception())


async def _run_again(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a coroutine function until it ends without an exception."""
    while True:
        try:
            await work()
        except Exception:
            LOGGER.exception("task-failed", extra={"task_name": _name(work)})
            await asyncio.sleep(RESTART_DELAY_S)
        else:
            return


def _name(work: Callable[[], Coroutine[Any, Any, None]]) -> str:
    return getattr(work, "__qualname__", repr(work))
