"""Measures the resources that an idle instance uses."""

import asyncio
import collections
import time
from collections.abc import Mapping
from typing import Final, final

from lab.client import send_control_request
from lab.deployment import Deployment, publish_document
from lab.queries.resources import cpu_seconds_used, read_usage

_MEAN_SERVICE_SECONDS: Final = 0.02
_COLD_SECONDS: Final = 1
_SETTLE_SECONDS: Final = 8
_BYTES_PER_KB: Final = 1024


@final
class IdleCost:
    """The average resources of one instance without calls."""

    __slots__ = (
        '_peer_bytes_per_second',
        '_core_fraction',
        '_platform_calls_per_second',
        '_resident_mb',
        '_counter_rates',
    )

    def __init__(
        self,
        *,
        core_fraction: float,
        resident_mb: float,
        peer_bytes_per_second: float,
        platform_calls_per_second: float,
        counter_rates: Mapping[str, float],
    ) -> None:
        """Creates a cost; ``counter_rates`` are per second and instance."""
        self._core_fraction = core_fraction
        self._resident_mb = resident_mb
        self._peer_bytes_per_second = peer_bytes_per_second
        self._platform_calls_per_second = platform_calls_per_second
        self._counter_rates = dict(counter_rates)

    @property
    def core_fraction(self) -> float:
        """The fraction of a core in use."""
        return self._core_fraction

    @property
    def resident_mb(self) -> float:
        """The resident memory in MB."""
        return self._resident_mb

    @property
    def peer_bytes_per_second(self) -> float:
        """The bytes per second sent to peers, as counted by the instance."""
        return self._peer_bytes_per_second

    @property
    def platform_calls_per_second(self) -> float:
        """The platform calls per second of all instances together."""
        return self._platform_calls_per_second

    @property
    def counter_rates(self) -> Mapping[str, float]:
        """The rates of all changed counters, per second and instance."""
        return self._counter_rates


async def measure_idle_cost(deployment: Deployment, seconds: float) -> IdleCost:
    """Starts a deployment and measures it for ``seconds`` after settling."""
    await deployment.start_stand_ins(_MEAN_SERVICE_SECONDS, _COLD_SECONDS, 1)
    await publish_document(deployment, {}, '')
    await deployment.start_entries()
    await asyncio.sleep(_SETTLE_SECONDS)
    names = [entry.name for entry in deployment.entries]
    ids = deployment.processes.ids
    calls_before = await deployment.platform_calls()
    counters_before = await _sum_counters(deployment)
    before, started_at = read_usage(ids, names), time.monotonic()
    await asyncio.sleep(seconds)
    after, elapsed = read_usage(ids, names), time.monotonic() - started_at
    totals = await _sum_counters(deployment)
    totals.subtract(counters_before)
    calls_after = sum((await deployment.platform_calls()).values())
    instance_seconds = elapsed * len(names)
    rates = {
        name: total / instance_seconds
        for name, total in totals.items()
        if total
    }
    return IdleCost(
        core_fraction=sum(cpu_seconds_used(before, after).values())
        / instance_seconds,
        resident_mb=sum(after.resident_mb.values()) / len(names),
        peer_bytes_per_second=rates.get('peer_bytes_sent', 0),
        platform_calls_per_second=(calls_after - sum(calls_before.values()))
        / elapsed,
        counter_rates=rates,
    )


def print_cost(label: str, cost: IdleCost) -> None:
    """Prints the idle cost of one deployment."""
    print(
        f'{label}: {cost.core_fraction:.2%} of a core,'
        f' {cost.resident_mb:.0f} MB,'
        f' {cost.peer_bytes_per_second / _BYTES_PER_KB:.2f} KB/s to peers'
        ' per instance;'
        f' {cost.platform_calls_per_second:.2f} platform calls/s in total',
        flush=True,
    )
    rounded_rates = {
        name: round(rate, 2) for name, rate in cost.counter_rates.items()
    }
    print(f'  counters per second and instance: {rounded_rates}', flush=True)


async def _sum_counters(deployment: Deployment) -> collections.Counter[str]:
    totals: collections.Counter[str] = collections.Counter()
    for entry in deployment.entries:
        status = await send_control_request(
            entry.admin_address, '/status', None
        )
        totals.update(status['counters'])
    return totals
