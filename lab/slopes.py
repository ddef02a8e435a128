"""Measures what an idle instance costs at several sizes of a deployment."""

import asyncio
import collections
import time
from collections.abc import Mapping
from typing import Final, final

from lab.client import send_control_request
from lab.deployment import Deployment, publish_document
from lab.queries.resources import cpu_seconds_used, read_usage

_MEAN_SECONDS: Final = 0.02
_COLD_SECONDS: Final = 1
_SETTLE_SECONDS: Final = 8
_KB: Final = 1024


@final
class IdleCost:
    """What one instance uses on average while no calls come."""

    __slots__ = (
        '_bytes_a_second',
        '_core_share',
        '_platform_calls_a_second',
        '_resident_mb',
        '_totals',
    )

    def __init__(
        self,
        *,
        core_share: float,
        resident_mb: float,
        bytes_a_second: float,
        platform_calls_a_second: float,
        totals: Mapping[str, float],
    ) -> None:
        """Creates a cost; ``totals`` are counters a second and instance."""
        self._core_share = core_share
        self._resident_mb = resident_mb
        self._bytes_a_second = bytes_a_second
        self._platform_calls_a_second = platform_calls_a_second
        self._totals = dict(totals)

    @property
    def core_share(self) -> float:
        """The share of a core."""
        return self._core_share

    @property
    def resident_mb(self) -> float:
        """Resident memory."""
        return self._resident_mb

    @property
    def bytes_a_second(self) -> float:
        """Bytes sent to peers a second, as the instance counts them."""
        return self._bytes_a_second

    @property
    def platform_calls_a_second(self) -> float:
        """Calls of the platform a second, over all instances."""
        return self._platform_calls_a_second

    @property
    def totals(self) -> Mapping[str, float]:
        """Every counter that moved, a second and instance."""
        return self._totals


async def idle_cost(deployment: Deployment, seconds: float) -> IdleCost:
    """Starts a deployment, lets it settle and watches it for a while."""
    await deployment.start_stand_ins(_MEAN_SECONDS, _COLD_SECONDS, 1)
    await publish_document(deployment, {}, '')
    await deployment.start_entries()
    await asyncio.sleep(_SETTLE_SECONDS)
    names = [place.name for place in deployment.entries]
    ids = deployment.processes.ids
    calls = await deployment.platform_calls()
    counters = await _counters(deployment)
    before, began_at = read_usage(ids, names), time.monotonic()
    await asyncio.sleep(seconds)
    after, took = read_usage(ids, names), time.monotonic() - began_at
    totals = await _counters(deployment)
    totals.subtract(counters)
    called = sum((await deployment.platform_calls()).values())
    shared = took * len(names)
    rates = {name: total / shared for name, total in totals.items() if total}
    return IdleCost(
        core_share=sum(cpu_seconds_used(before, after).values()) / shared,
        resident_mb=sum(after.resident_mb.values()) / len(names),
        bytes_a_second=rates.get('peer_bytes_sent', 0),
        platform_calls_a_second=(called - sum(calls.values())) / took,
        totals=rates,
    )


def print_cost(label: str, cost: IdleCost) -> None:
    """Prints the cost of one size."""
    print(
        f'{label}: {cost.core_share:.2%} of a core, {cost.resident_mb:.0f} MB,'
        f' {cost.bytes_a_second / _KB:.2f} KB/s to peers an instance;'
        f' {cost.platform_calls_a_second:.2f} platform calls/s in all',
        flush=True,
    )
    shown = {name: round(rate, 2) for name, rate in cost.totals.items()}
    print(f'  counters a second and instance: {shown}', flush=True)


async def _counters(deployment: Deployment) -> collections.Counter[str]:
    totals: collections.Counter[str] = collections.Counter()
    for place in deployment.entries:
        status = await send_control_request(
            place.admin_address, '/status', None
        )
        totals.update(status['counters'])
    return totals
