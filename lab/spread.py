"""Measures how fast a change is in force everywhere: ``python -m lab.spread``.

Takes the number of instances and of changes. The instances are processes and
the change is a zone, looked for on the status page of each one.
"""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
import time
from typing import Final

from tornado.httpclient import AsyncHTTPClient

from lab.deployment import Deployment, new_deployment, publish_document
from lab.documents import section_values
from lab.plans import PLANS
from lab.processes import Processes
from lab.topology import EntryEndpoint

SETTLE_SECONDS: Final = 12
REST_SECONDS: Final = 20
POLL_SECONDS: Final = 0.05
CHANGE_SECONDS: Final = 30
MEAN_SECONDS: Final = 0.01
COLD_SECONDS: Final = 1


async def measure(instances: int, changes: int) -> None:
    """Starts a deployment, lets it rest, then changes the document."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with Processes(folder) as processes:
            deployment = new_deployment(
                PLANS.find('nz')(), instances, processes, folder
            )
            await deployment.start_stand_ins(MEAN_SECONDS, COLD_SECONDS, 1)
            await publish_document(deployment, {}, '')
            await deployment.start_entries()
            await asyncio.sleep(SETTLE_SECONDS)
            await _print_rest(deployment)
            await _print_changes(deployment, changes)


async def _print_rest(deployment: Deployment) -> None:
    before = await deployment.platform_calls()
    await asyncio.sleep(REST_SECONDS)
    after = await deployment.platform_calls()
    calls = sum(after.values()) - sum(before.values())
    rate = calls / REST_SECONDS
    print(f'{len(deployment.entries)} instances, {rate:.2f} platform calls/s')


async def _print_changes(deployment: Deployment, changes: int) -> None:
    client = AsyncHTTPClient(max_clients=len(deployment.entries))
    delays: list[float] = []
    for number in range(changes):
        zone = f'zone-{number}'
        text = f'[zones]\n{zone} = "withdrawn"\n'
        await deployment.put_items(section_values({'changing': text}))
        started = time.monotonic()
        async with asyncio.timeout(CHANGE_SECONDS):
            delays += await asyncio.gather(
                *(
                    _delay(client, place, zone, started)
                    for place in deployment.entries
                )
            )
    delays.sort()
    print(
        f'{len(delays)} times in force: p50 {_part(delays, 0.5):.3f} s,'
        f' p99 {_part(delays, 0.99):.3f} s, max {delays[-1]:.3f} s,'
        f' load of the machine {os.getloadavg()[0]:.0f}'
    )


async def _delay(
    client: AsyncHTTPClient, place: EntryEndpoint, zone: str, started: float
) -> float:
    while True:
        response = await client.fetch(f'http://{place.admin_address}/status')
        status = json.loads(response.body)
        if zone in status['configuration']['zones']:
            return time.monotonic() - started
        await asyncio.sleep(POLL_SECONDS)


def _part(ordered: list[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


if __name__ == '__main__':
    asyncio.run(measure(int(sys.argv[1]), int(sys.argv[2])))
