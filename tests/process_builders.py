"""Builders of deployments of real processes."""

import asyncio
import contextlib
import pathlib
import random
import time

from lab.caller import Caller
from lab.client import Client
from lab.deployment import new_deployment, publish_document
from lab.plans import PLANS
from lab.processes import Processes

#: Much longer than any step takes, so that only a test that hangs fails.
TIMEOUT_SECONDS = 60
#: A rate and a burst that no test reaches.
GENEROUS_RATES = {'fletcher': (5000, 5000)}


@contextlib.asynccontextmanager
async def a_deployment(folder, instances=2, limits=()):
    """Starts a small deployment of the ``nz`` plan; yields it and a caller."""
    with Processes(pathlib.Path(folder)) as processes:
        deployment = new_deployment(
            PLANS.find('nz')(), instances, processes, pathlib.Path(folder)
        )
        await deployment.start_stand_ins(0.01, 1, 1)
        await publish_document(deployment, dict(limits), '')
        await deployment.start_entries()
        client = Client()
        addresses = tuple(entry.address for entry in deployment.entries)
        caller = Caller(addresses, client, random.Random(1))
        await wait_for_locator(caller, instances)
        yield deployment, caller
        client.close()


async def wait_for_locator(caller, count):
    """Waits until the locator names exactly ``count`` instances."""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while True:
            await caller.refresh(float('inf'))
            if len(caller.addresses) == count:
                return
            await asyncio.sleep(0.05)


async def wait_until(condition):
    """Waits until ``condition()`` is true."""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, condition
        await asyncio.sleep(0.05)


def thread_count(process_id):
    return len(tuple(pathlib.Path(f'/proc/{process_id}/task').iterdir()))


def child_process_ids(process_id):
    path = pathlib.Path(f'/proc/{process_id}/task/{process_id}/children')
    return path.read_text().split()
