"""Background tasks of one process, cancelled together when it stops."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

__all__ = ["BackgroundTasks"]

LOGGER = logging.getLogger("briarford.tasks")


class BackgroundTasks:
    """Asyncio tasks that run until they end or their owner stops.

    A task that ends with an exception is logged as ``task-failed``; the
    others go on.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_ended)

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
