"""Short tasks of one owner."""

import asyncio

import structlog

log = structlog.get_logger()


class BackgroundTasks:
    """Keeps tasks alive until they end and logs those that fail."""

    __slots__ = ("_tasks",)

    def __init__(self):
        self._tasks = set()

    def start(self, coroutine):
        """Run a coroutine as a task and return the task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def cancel(self):
        """Cancel all tasks that run."""
        for task in self._tasks:
            task.cancel()

    def _ended(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("background_task_failed", error=repr(task.exception()))
