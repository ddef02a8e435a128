"""Measures how long a change takes to be in force on all instances.

Run as ``python -m lab.spread INSTANCES CHANGES``. The instances are processes.
Each change publishes a new zone; the status of every instance is polled for it.
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
IDLE_SECONDS: Final = 20
POLL_PERIOD_SECONDS: Final = 0.05
CHANGE_TIMEOUT_SECONDS: Final = 30
MEAN_SERVICE_SECONDS: Final = 0.01
COLD_SECONDS: Final = 1


async def measure(instances: int, changes: int) -> None:
    """Starts a deployment, and measures it idle and during changes."""
    with tempfile.TemporaryDirectory() as folder_name:
        folder = pathlib.Path(folder_name)
        with Processes(folder) as processes:
            deployment = new_deployment(
                PLANS.find('nz')(), instances, processes, folder
            )
            await deployment.start_stand_ins(
                MEAN_SERVICE_SECONDS, COLD_SECONDS, 1
            )
            await publish_document(deployment, {}, '')
            await deployment.start_entries()
            await asyncio.sleep(SETTLE_SECONDS)
            await _print_platform_rate(deployment)
            await _print_delays(deployment, changes)


async def _print_platform_rate(deployment: Deployment) -> None:
    before = await deployment.platform_calls()
    await asyncio.sleep(IDLE_SECONDS)
    after = await deployment.platform_calls()
    calls = sum(after.values()) - sum(before.values())
    rate = calls / IDLE_SECONDS
    print(f'{len(deployment.entries)} instances, {rate:.2f} platform calls/s')


async def _print_delays(deployment: Deployment, changes: int) -> None:
    client = AsyncHTTPClient(max_clients=len(deployment.entries))
    delays: list[float] = []
    for number in range(changes):
        zone = f'zone-{number}'
        text = f'[zones]\n{zone} = "withdrawn"\n'
        await deployment.put_items(section_values({'changing': text}))
        started_at = time.monotonic()
        async with asyncio.timeout(CHANGE_TIMEOUT_SECONDS):
            delays += await asyncio.gather(
                *(
                    _propagation_delay(client, entry, zone, started_at)
                    for entry in deployment.entries
                )
            )
    delays.sort()
    print(
        f'{len(delays)} propagation delays: p50 {_quantile(delays, 0.5):.3f} s,'
        f' p99 {_quantile(delays, 0.99):.3f} s, max {delays[-1]:.3f} s,'
        f' load average {os.getloadavg()[0]:.0f}'
    )


async def _propagation_delay(
    client: AsyncHTTPClient, entry: EntryEndpoint, zone: str, started_at: float
) -> float:
    while True:
        response = await client.fetch(f'http://{entry.admin_address}/status')
        status = json.loads(response.body)
        if zone in status['configuration']['zones']:
            return time.monotonic() - started_at
        await asyncio.sleep(POLL_PERIOD_SECONDS)


def _quantile(ordered: list[float], fraction: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


if __name__ == '__main__':
    asyncio.run(measure(int(sys.argv[1]), int(sys.argv[2])))
