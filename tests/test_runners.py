"""Tests of the background tasks of an instance."""

import asyncio

from chervilstep.adapters.runners import keep_running
from tests.builders import a_node


class FailingRunner:
    """Fails at its first runs, then runs until cancelled."""

    def __init__(self, failures):
        self.failures = failures
        self.is_running = False

    async def run(self):
        if self.failures:
            self.failures -= 1
            raise ZeroDivisionError
        self.is_running = True
        await asyncio.Event().wait()


def test_task_is_started_again_after_an_unexpected_error():
    async def scenario():
        node = a_node()
        runner = FailingRunner(2)
        task = asyncio.create_task(keep_running(runner, node))
        async with asyncio.timeout(5):
            while not runner.is_running:
                await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert task.cancelled()
        assert node.counters.total_over_labels('task_faults') == 2

    asyncio.run(scenario())
