"""A randomized soak of real processes: ``python -m lab soak``.

Callers send load all the time while series of faults overlap. What callers
were told is compared with what upstreams ran, by request id, and after the
faults everything must be served again.
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
from lab.commands.soak_faults import SOAK_FAULTS
from lab.deployment import Deployment, new_deployment
from lab.documents import document, section_values
from lab.measures import Checks
from lab.plans import PLANS
from lab.processes import Processes, free_ports
from lab.queries.demands import ANONYMOUS
from lab.queries.measuring import check_outcomes, count_outcomes
from lab.sites import Site, new_site
from lab.topology import port_count

INSTANCES: Final = 3
#: Requests a second of all callers together.
RATE: Final = 60
CALL_SECONDS: Final = 2
MEAN_SECONDS: Final = 0.02
COLD_SECONDS: Final = 1
#: How many series of faults run side by side.
SERIES: Final = 2
#: What the slowest way back to service takes: a watch, its deadline, the
#: relay and a cold start.
HEAL_SECONDS: Final = 10
#: What is said of a key or a route that is not in the document.
DENIALS: Final = frozenset(
    ('unknown-key', 'missing-key', 'forbidden-route', 'unknown-route')
)
#: Requests that must all be answered once everything is well again.
PROBES: Final = 20
#: Half of what the smallest rate of a customer allows, so that any refusal
#: by rate is a wrong one.
PROBE_SECONDS: Final = 0.25


@final
class Verdict:
    """What a soak with one seed found."""

    __slots__ = ('_checks', '_endings', '_faults', '_findings', '_seed')

    def __init__(
        self,
        seed: int,
        checks: Checks,
        endings: dict[str, int],
        faults: Iterable[str],
        findings: Iterable[str],
    ) -> None:
        """Creates the verdict; without findings and unclean checks all held."""
        self._seed = seed
        self._checks = checks
        self._endings = endings
        self._faults = tuple(faults)
        self._findings = tuple(findings)

    @property
    def has_held(self) -> bool:
        """Whether every promise was kept."""
        return self._checks.are_clean and not self._findings

    def __str__(self) -> str:
        """One line for each seed, and one for each finding."""
        counts = ', '.join(
            f'{name.strip("_")} {getattr(self._checks, name)}'
            for name in self._checks.__slots__
            if getattr(self._checks, name)
        )
        word = 'held' if self.has_held else 'BROKEN'
        lines = [
            f'seed {self._seed}: {word}; {counts or "checks clean"};'
            f' {self._endings}',
            *self._findings,
        ]
        if not self.has_held:
            lines.extend(self._faults)
        return '\n  '.join(lines)


@final
class Soak:
    """One deployment under faults that a seed decides."""

    __slots__ = ('_records', '_rng', '_seconds', '_site', '_until')

    def __init__(self, site: Site, rng: random.Random, seconds: float) -> None:
        """Prepares a soak of some seconds; nothing runs yet."""
        self._site = site
        self._rng = rng
        self._seconds = seconds
        self._until = float('inf')
        self._records: list[Record] = []

    @property
    def records(self) -> tuple[Record, ...]:
        """What each request met."""
        return tuple(self._records)

    async def run(self) -> None:
        """Sends load under faults, and ends every fault."""
        self._until = time.monotonic() + self._seconds
        async with asyncio.TaskGroup() as group:
            load = group.create_task(self._load())
            for _ in range(SERIES):
                group.create_task(self._harm(random.Random(self._rng.random())))
            await load
        await self._site.heal()

    async def recover(self) -> list[str]:
        """Says what is not served though everything is well."""
        await asyncio.sleep(HEAL_SECONDS)
        before = len(self._records)
        client = Client()
        callers = self._callers(client)
        for number in range(PROBES):
            await self._send(callers, f'after-{number}', self._rng)
            await asyncio.sleep(PROBE_SECONDS)
        client.close()
        return [
            f'{record.request_id} of {record.customer} after the faults:'
            f' {record.outcome.status} {record.outcome.reason}'
            for record in self._records[before:]
            if not record.is_answered
        ]

    def denials(self) -> list[str]:
        """The proper requests that were refused for their key or route.

        No fault takes a key or a route away.
        """
        return [
            f'{record.request_id} refused: {record.outcome.reason}'
            for record in self._records
            if record.outcome.reason in DENIALS
        ]

    async def _harm(self, rng: random.Random) -> None:
        while time.monotonic() < self._until:
            await asyncio.sleep(rng.uniform(0, 1))
            name = rng.choice(SOAK_FAULTS.names)
            left = self._until - time.monotonic()
            await SOAK_FAULTS.find(name)(self._site, rng, max(0, left))

    async def _load(self) -> None:
        client = Client()
        callers = self._callers(client)
        pending: set[asyncio.Task[None]] = set()
        number = 0
        while time.monotonic() < self._until:
            task = asyncio.create_task(
                self._send(callers, f'soak-{number}', self._rng)
            )
            pending.add(task)
            task.add_done_callback(pending.discard)
            number += 1
            await asyncio.sleep(self._rng.expovariate(RATE))
        await asyncio.gather(*pending)
        client.close()

    def _callers(self, client: Client) -> dict[str, Caller]:
        addresses = tuple(each.address for each in self._site.entries)
        return {
            name: Caller(addresses, client, random.Random(name))
            for name in (*self._site.customers, ANONYMOUS)
        }

    async def _send(
        self, callers: dict[str, Caller], name: str, rng: random.Random
    ) -> None:
        route = rng.choice(self._site.routes)
        customer = rng.choice(sorted(route.customers) or [ANONYMOUS])
        method = rng.choice(sorted(route.methods - {'HEAD'}))
        body = name.encode() if method == 'POST' else b''
        request = Request(name, customer, method, f'{route.path}{name}', body)
        at = time.monotonic()
        key = '' if route.is_open else None
        meeting: CallOutcome = await callers[customer].send(
            request, CALL_SECONDS, key
        )
        self._records.append(
            Record(
                name,
                customer,
                route.name,
                is_idempotent=route.is_idempotent(method),
                scheduled_at=at,
                lateness=0,
                latency=time.monotonic() - at,
                outcome=meeting,
            )
        )


async def soak_once(seed: int, seconds: float, folder: pathlib.Path) -> Verdict:
    """Starts a deployment, soaks it, and ends it."""
    with Processes(folder) as processes:
        deployment = new_deployment(
            PLANS.find('nz')(), INSTANCES, processes, folder
        )
        async with contextlib.AsyncExitStack() as stack:
            site = await _start(deployment, stack)
            soak = Soak(site, random.Random(seed), seconds)
            await soak.run()
            findings = [
                *await soak.recover(),
                *soak.denials(),
                *site.findings(),
            ]
            counts = await deployment.upstream_counts()
            runs = await deployment.runs()
    checks = check_outcomes(soak.records, runs, counts.total('keys_seen'))
    endings = count_outcomes(soak.records)
    return Verdict(seed, checks, endings, site.story, findings)


async def _start(
    deployment: Deployment, stack: contextlib.AsyncExitStack
) -> Site:
    topology = deployment.topology
    needed = port_count(topology.plan, INSTANCES)
    links = len(topology.upstreams) + len(deployment.entries)
    # The first of these are the deployment's own, and not in use yet.
    ports = free_ports(needed + links)[needed:]
    site = new_site(deployment, ports)
    stack.push_async_callback(site.close)
    await deployment.start_stand_ins(MEAN_SECONDS, COLD_SECONDS, 1)
    await site.open()
    texts = site.linked(document(topology, {}, ''))
    await deployment.put_items(section_values(texts))
    await site.start_entries()
    return site


def run_soak(seeds: Iterable[int], seconds: float) -> int:
    """Soaks with each seed; returns the number of those that broke."""
    broken = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory() as name:
            verdict = asyncio.run(soak_once(seed, seconds, pathlib.Path(name)))
        print(verdict, flush=True)
        broken += not verdict.has_held
    return broken
