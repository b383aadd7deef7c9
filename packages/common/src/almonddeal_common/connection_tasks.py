"""Tasks of the connections of a server."""

import asyncio

import anyio

from almonddeal_common.step_timer import move_on_after_steps

N_STEPS = 10  # of the time for which tasks are waited


class ConnectionTasks:
    """Tasks that may start at any time, and that a stop waits for or cancels."""

    __slots__ = ("_scope_by_task",)

    def __init__(self):
        self._scope_by_task = {}

    def start(self, function, *args):
        """Start a task; can be called from a callback of the event loop."""
        scope = anyio.CancelScope()

        async def run():
            with scope:
                await function(*args)

        task = asyncio.get_running_loop().create_task(run())
        self._scope_by_task[task] = scope
        task.add_done_callback(self._scope_by_task.pop)

    async def wait_until_empty(self, timeout_s):
        """Wait until no task is left, also of those that are added during the wait.

        A stall of this process, in which they do not run, uses up one step of the time.
        """
        with move_on_after_steps(timeout_s, N_STEPS):
            await self._wait_until_empty()

    async def _wait_until_empty(self):
        while self._scope_by_task:
            await asyncio.wait(list(self._scope_by_task))

    async def wait_until_empty_or_set(self, event):
        """Wait as `wait_until_empty` does, at most until an event is set."""
        async with anyio.create_task_group() as group:

            async def cancel_when_set():
                await event.wait()
                group.cancel_scope.cancel()

            group.start_soon(cancel_when_set)
            await self._wait_until_empty()
            group.cancel_scope.cancel()

    def cancel(self):
        """Cancel all tasks."""
        for scope in self._scope_by_task.values():
            scope.cancel()
