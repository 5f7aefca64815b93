"""Short tasks of one owner."""

import asyncio

import structlog

log = structlog.get_logger()


class BackgroundTasks:
    """Keeps tasks alive until they end and logs those that fail."""

    __slots__ = ("_tasks",)

    def __init__(self):
        # A dict keeps the order of the starts: a set of tasks is ordered by address, so
        # that runs with the same seed would differ.
        self._tasks = {}

    def start(self, coroutine):
        """Run a coroutine as a task and return the task."""
        task = asyncio.create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(self._ended)
        return task

    def cancel(self):
        """Cancel all tasks that run."""
        for task in list(self._tasks):
            task.cancel()

    def _ended(self, task):
        self._tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            log.error("background_task_failed", error=repr(task.exception()))
