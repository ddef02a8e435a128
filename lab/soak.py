"""A randomized soak test of real processes: ``python -m lab soak``.

Callers send load throughout while series of faults overlap. The replies to
callers are compared with the runs of upstreams, by request id. After the
faults, every request must be answered again.
"""

import asyncio
import contextlib
import pathlib
import random
import tempfile
import time
from collections.abc import Iterable
from typing import Final, final

from lab.arrivals import Record
from lab.caller import Caller, CallOutcome, Request
from lab.client import Client
from lab.commands.soak_faults import SOAK_FAULTS, state_limit
from lab.deployment import Deployment, new_deployment
from lab.documents import new_document, section_values
from lab.measures import Checks
from lab.plans import PLANS
from lab.processes import Processes, free_ports
from lab.queries.demands import ANONYMOUS
from lab.queries.measuring import check_outcomes, count_outcomes
from lab.testbed import Testbed, new_testbed
from lab.topology import port_count

DEFAULT_INSTANCES: Final = 3
#: Requests per second of all callers together.
CALLS_PER_SECOND: Final = 60
CALL_TIMEOUT_SECONDS: Final = 2
MEAN_SERVICE_SECONDS: Final = 0.02
COLD_SECONDS: Final = 1
#: The number of concurrent series of faults.
FAULT_SERIES: Final = 2
#: Covers the slowest recovery: a watch until its deadline, then the relay
#: and a cold start.
RECOVERY_SECONDS: Final = 10
#: Reasons of refusals for a key or a route that is not in the document.
ACCESS_REFUSALS: Final = frozenset(
    ('unknown-key', 'missing-key', 'forbidden-route', 'unknown-route')
)
#: Requests after the last fault, all of which must be answered.
RECOVERY_CALLS: Final = 20
#: The interval between these requests. They take at most half of the
#: smallest rate of a customer, so that any refusal by rate is wrong.
RECOVERY_CALL_SECONDS: Final = 0.25


@final
class SoakResult:
    """The result of a soak with one seed."""

    __slots__ = ('_checks', '_endings', '_event_log', '_findings', '_seed')

    def __init__(
        self,
        seed: int,
        checks: Checks,
        endings: dict[str, int],
        event_log: Iterable[str],
        findings: Iterable[str],
    ) -> None:
        """Creates a result; ``event_log`` lists the injected faults."""
        self._seed = seed
        self._checks = checks
        self._endings = endings
        self._event_log = tuple(event_log)
        self._findings = tuple(findings)

    @property
    def has_passed(self) -> bool:
        """Whether the checks are clean and there are no findings."""
        return self._checks.are_clean and not self._findings

    def __str__(self) -> str:
        """Returns a summary, the findings and, after a failure, the faults."""
        counts = ', '.join(
            f'{name.strip("_")} {getattr(self._checks, name)}'
            for name in self._checks.__slots__
            if getattr(self._checks, name)
        )
        summary = 'held' if self.has_passed else 'BROKEN'
        lines = [
            f'seed {self._seed}: {summary}; {counts or "checks clean"};'
            f' {self._endings}',
            *self._findings,
        ]
        if not self.has_passed:
            lines.extend(self._event_log)
        return '\n  '.join(lines)


@final
class Soak:
    """Load and random faults on one testbed."""

    __slots__ = ('_records', '_rng', '_seconds', '_testbed', '_load_until')

    def __init__(
        self, testbed: Testbed, rng: random.Random, seconds: float
    ) -> None:
        """Creates a soak of ``seconds``; it does not start yet."""
        self._testbed = testbed
        self._rng = rng
        self._seconds = seconds
        self._load_until = float('inf')
        self._records: list[Record] = []

    @property
    def records(self) -> tuple[Record, ...]:
        """The record of each request."""
        return tuple(self._records)

    async def run(self) -> None:
        """Sends load while injecting faults, and ends every fault."""
        self._load_until = time.monotonic() + self._seconds
        async with asyncio.TaskGroup() as group:
            load = group.create_task(self._send_load())
            for _ in range(FAULT_SERIES):
                group.create_task(
                    self._inject_faults(random.Random(self._rng.random()))
                )
            group.create_task(self._state_limits(_copy_random(self._rng)))
            await load
        await self._testbed.end_faults()

    async def check_recovery(self) -> list[str]:
        """Returns a text for each request that fails after the recovery."""
        await asyncio.sleep(RECOVERY_SECONDS)
        record_count = len(self._records)
        client = Client()
        callers = self._callers(client)
        for number in range(RECOVERY_CALLS):
            await self._send(callers, f'after-{number}', self._rng)
            await asyncio.sleep(RECOVERY_CALL_SECONDS)
        client.close()
        return [
            f'{record.request_id} of {record.customer} after the faults:'
            f' {record.outcome.status} {record.outcome.reason}'
            for record in self._records[record_count:]
            if not record.is_answered
        ]

    def access_refusals(self) -> list[str]:
        """Returns a text for each request refused for its key or route.

        All of these refusals are wrong, since no fault removes a key or a
        route.
        """
        return [
            f'{record.request_id} refused: {record.outcome.reason}'
            for record in self._records
            if record.outcome.reason in ACCESS_REFUSALS
        ]

    async def _inject_faults(self, rng: random.Random) -> None:
        while time.monotonic() < self._load_until:
            await asyncio.sleep(rng.uniform(0, 1))
            name = rng.choice(SOAK_FAULTS.names)
            remaining = self._load_until - time.monotonic()
            await SOAK_FAULTS.find(name)(self._testbed, rng, max(0, remaining))

    async def _state_limits(self, rng: random.Random) -> None:
        while time.monotonic() < self._load_until:
            await asyncio.sleep(rng.uniform(0, 1))
            remaining = self._load_until - time.monotonic()
            await state_limit(self._testbed, rng, max(0, remaining))

    async def _send_load(self) -> None:
        client = Client()
        callers = self._callers(client)
        pending: set[asyncio.Task[None]] = set()
        number = 0
        while time.monotonic() < self._load_until:
            task = asyncio.create_task(
                self._send(callers, f'soak-{number}', self._rng)
            )
            pending.add(task)
            task.add_done_callback(pending.discard)
            number += 1
            await asyncio.sleep(self._rng.expovariate(CALLS_PER_SECOND))
        await asyncio.gather(*pending)
        client.close()

    def _callers(self, client: Client) -> dict[str, Caller]:
        addresses = tuple(each.address for each in self._testbed.entries)
        return {
            name: Caller(addresses, client, random.Random(name))
            for name in (*self._testbed.customers, ANONYMOUS)
        }

    async def _send(
        self, callers: dict[str, Caller], name: str, rng: random.Random
    ) -> None:
        route = rng.choice(self._testbed.routes)
        customer = rng.choice(sorted(route.customers) or [ANONYMOUS])
        method = rng.choice(sorted(route.methods - {'HEAD'}))
        body = name.encode() if method == 'POST' else b''
        request = Request(name, customer, method, f'{route.path}{name}', body)
        sent_at = time.monotonic()
        key = '' if route.is_open else None
        outcome: CallOutcome = await callers[customer].send(
            request, CALL_TIMEOUT_SECONDS, key
        )
        self._records.append(
            Record(
                name,
                customer,
                route.name,
                is_idempotent=route.is_idempotent(method),
                scheduled_at=sent_at,
                lateness=0,
                latency=time.monotonic() - sent_at,
                outcome=outcome,
            )
        )


def _copy_random(rng: random.Random) -> random.Random:
    """Returns a generator that continues like ``rng`` and leaves it as it is.

    The faults and the load of earlier seeds thus stay the same.
    """
    copied = random.Random()
    copied.setstate(rng.getstate())
    return copied


async def soak_once(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    instances: int = DEFAULT_INSTANCES,
) -> SoakResult:
    """Starts a deployment, soaks it and stops it."""
    with Processes(folder) as processes:
        deployment = new_deployment(
            PLANS.find('nz')(), instances, processes, folder
        )
        async with contextlib.AsyncExitStack() as stack:
            testbed = await _start(deployment, stack)
            soak = Soak(testbed, random.Random(seed), seconds)
            await soak.run()
            findings = [
                *await soak.check_recovery(),
                *soak.access_refusals(),
                *testbed.unexpected_exits(),
            ]
            counts = await deployment.upstream_counts()
            if counts.total('over_limit'):
                findings.append(
                    f'{counts.total("over_limit")} requests over stated limits'
                )
            runs = await deployment.runs()
    checks = check_outcomes(soak.records, runs, counts.total('keys_seen'))
    endings = count_outcomes(soak.records)
    return SoakResult(seed, checks, endings, testbed.event_log, findings)


async def _start(
    deployment: Deployment, stack: contextlib.AsyncExitStack
) -> Testbed:
    topology = deployment.topology
    deployment_ports = port_count(topology.plan, len(deployment.entries))
    link_count = len(topology.upstreams) + len(deployment.entries)
    # The first ports belong to the deployment, which does not listen yet.
    ports = free_ports(deployment_ports + link_count)[deployment_ports:]
    testbed = new_testbed(deployment, ports)
    stack.push_async_callback(testbed.close_links)
    await deployment.start_stand_ins(MEAN_SERVICE_SECONDS, COLD_SECONDS, 1)
    await testbed.open_links()
    texts = testbed.route_through_links(new_document(topology, {}, ''))
    await deployment.put_items(section_values(texts))
    await testbed.start_entries()
    return testbed


def run_soak(
    seeds: Iterable[int], seconds: float, instances: int = DEFAULT_INSTANCES
) -> int:
    """Soaks with each seed; returns the number of failed seeds."""
    failed_count = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory() as folder_name:
            result = asyncio.run(
                soak_once(seed, seconds, pathlib.Path(folder_name), instances)
            )
        print(result, flush=True)
        failed_count += not result.has_passed
    return failed_count
