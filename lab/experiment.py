"""Runs policies in alternating turns under faults and measures them."""

import asyncio
import itertools
import json
import os
import pathlib
import time
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final, final

from lab.arrivals import Record, record_from_row
from lab.commands.scenarios import SCENARIOS
from lab.deployment import Deployment
from lab.documents import (
    ROUTES,
    RateLimit,
    new_document,
    section_values,
    with_timeouts,
)
from lab.measures import Measures
from lab.plans import Plan
from lab.queries import measuring
from lab.queries.demands import FAULT_SEPARATOR, HEADROOM, Turn, customer_limits
from lab.queries.measuring import TurnResult
from lab.queries.resources import ResourceUsage, cpu_seconds_used, read_usage
from lab.turns import RunningTurn

GENERATOR_COUNT: Final = 2
#: The time from the start of the generators to the start of a turn.
START_DELAY_SECONDS: Final = 2.5
#: The time within which the generators must exit after the end of a turn.
GENERATOR_TIMEOUT_SECONDS: Final = 60
COLD_START_SECONDS: Final = 4
MIN_CALL_TIMEOUT_SECONDS: Final = 2
#: The timeout of a request as a multiple of the mean service time.
CALL_TIMEOUT_FACTOR: Final = 20
#: The time between turns in which queues drain and cold starts end.
RECOVERY_SECONDS: Final = COLD_START_SECONDS + 2


@final
class Trial:
    """The deployment, policies, faults and load of one experiment."""

    __slots__ = (
        '_faults',
        '_headroom',
        '_load',
        '_plan',
        '_policies',
        '_rate',
        '_rounds',
        '_seconds',
        '_seed',
    )

    def __init__(
        self,
        plan: Plan,
        policies: Sequence[str],
        faults: Sequence[str],
        *,
        load: float,
        rate: float,
        seconds: float,
        rounds: int,
        seed: int,
        headroom: float = HEADROOM,
    ) -> None:
        """Creates a trial at ``load``, the fraction of all slots in use."""
        self._plan = plan
        self._policies = tuple(policies)
        self._faults = tuple(faults)
        self._load = load
        self._rate = rate
        self._seconds = seconds
        self._rounds = rounds
        self._seed = seed
        self._headroom = headroom

    @property
    def plan(self) -> Plan:
        """The deployment."""
        return self._plan

    @property
    def headroom(self) -> float:
        """The ratio of each customer's rate to what it sends."""
        return self._headroom

    @property
    def policies(self) -> tuple[str, ...]:
        """The policies, which run in alternating turns."""
        return self._policies

    @property
    def faults(self) -> tuple[str, ...]:
        """The names of the scenarios; a name may join several with "+"."""
        return self._faults

    @property
    def load(self) -> float:
        """The mean fraction of all slots that the requests keep in use."""
        return self._load

    @property
    def rate(self) -> float:
        """The requests per second over all customers."""
        return self._rate

    @property
    def seconds(self) -> float:
        """The seconds during which one turn sends requests."""
        return self._seconds

    @property
    def rounds(self) -> int:
        """The number of turns of each policy under each fault."""
        return self._rounds

    @property
    def seed(self) -> int:
        """The seed of the arrivals and the service times."""
        return self._seed

    @property
    def mean_seconds(self) -> float:
        """The mean service time that results in the load at the rate."""
        return self._load * self._plan.slots / self._rate

    @property
    def call_seconds(self) -> float:
        """The timeout of each request, far beyond the usual tail latency."""
        return max(
            MIN_CALL_TIMEOUT_SECONDS, self.mean_seconds * CALL_TIMEOUT_FACTOR
        )


@final
class TrialRunner:
    """Runs the turns of a trial on its deployment and keeps the results."""

    __slots__ = ('_deployment', '_folder', '_limits', '_results', '_trial')

    def __init__(
        self, trial: Trial, deployment: Deployment, folder: pathlib.Path
    ) -> None:
        """Creates a runner; the generators write to ``folder``."""
        self._trial = trial
        self._deployment = deployment
        self._folder = folder
        self._limits = customer_limits(trial.plan, trial.rate, trial.headroom)
        self._results: dict[tuple[str, str], list[TurnResult]] = {}

    @property
    def results(self) -> Mapping[tuple[str, str], Sequence[TurnResult]]:
        """The results of the turns so far, by fault and policy."""
        return self._results

    @property
    def limits(self) -> Mapping[str, RateLimit]:
        """The rate and burst of each customer in the document."""
        return self._limits

    async def start(self) -> None:
        """Starts every process, with the first policy in the document."""
        trial = self._trial
        await self._deployment.start_stand_ins(
            trial.mean_seconds, COLD_START_SECONDS, trial.seed
        )
        await self._publish(trial.policies[0])
        await self._deployment.start_entries()
        await asyncio.sleep(RECOVERY_SECONDS)

    async def run(self) -> None:
        """Runs every turn; the policies alternate within each round."""
        trial = self._trial
        turns = list(
            itertools.product(trial.faults, range(trial.rounds), trial.policies)
        )
        for number, (fault, round_, policy) in enumerate(turns, 1):
            seed = trial.seed + round_
            turn = Turn(
                trial.plan,
                f't{number}',
                rate=trial.rate,
                seconds=trial.seconds,
                seed=seed,
                fault=fault,
            )
            result = await self._run_turn(turn, policy)
            self._results.setdefault((fault, policy), []).append(result)
            _print_progress(number, len(turns), fault, policy, result)

    async def _run_turn(self, turn: Turn, policy: str) -> TurnResult:
        texts = await self._publish(policy)
        await asyncio.sleep(1)
        start_at = time.monotonic() + START_DELAY_SECONDS
        generators = self._start_generators(turn, start_at)
        running = RunningTurn(self._deployment, texts, start_at, turn.seconds)
        await running.wait_until(0)
        before = self._usage()
        calls_before = await self._deployment.platform_calls()
        counts_before = await self._deployment.upstream_counts()
        await asyncio.gather(
            *(SCENARIOS.find(fault)(running) for fault in turn.faults)
        )
        await running.wait_until(1)
        cost = turn_cost(turn, before, self._usage())
        counts_after = await self._deployment.upstream_counts()
        probes = counts_after.total('probes') - counts_before.total('probes')
        slot_seconds = turn.plan.slots * turn.seconds
        cost['probes_a_second'] = probes / turn.seconds
        cost['probe_share_of_slots'] = (
            probes * turn.plan.probe_seconds / slot_seconds
        )
        calls_after = await self._deployment.platform_calls()
        platform_calls = sum(calls_after.values()) - sum(calls_before.values())
        cost['platform_calls_a_second'] = platform_calls / turn.seconds
        cost['loadavg'] = os.getloadavg()[0]
        for name, _ in generators:
            await self._deployment.processes.wait_for_exit(
                name, GENERATOR_TIMEOUT_SECONDS
            )
        records = _read_records(path for _, path in generators)
        await self._restore(policy)
        return TurnResult(records, running.marks, cost)

    def _start_generators(
        self, turn: Turn, start_at: float
    ) -> list[tuple[str, pathlib.Path]]:
        started = []
        for index in range(GENERATOR_COUNT):
            name = f'{turn.name}-generator-{index}'
            target = self._folder / f'{name}.rows'
            spec = self._folder / f'{name}.json'
            spec.write_text(
                json.dumps(
                    {
                        'plan': turn.plan.name,
                        'turn': turn.name,
                        'rate': turn.rate,
                        'seconds': turn.seconds,
                        'seed': turn.seed,
                        'fault': FAULT_SEPARATOR.join(turn.faults),
                        'part': index,
                        'parts': GENERATOR_COUNT,
                        'start_at': start_at,
                        'call_seconds': self._trial.call_seconds,
                        'addresses': self._addresses(),
                    }
                )
            )
            self._deployment.processes.start(
                name, 'lab', 'generate', str(spec), str(target)
            )
            started.append((name, target))
        return started

    async def _publish(self, policy: str) -> dict[str, str]:
        topology = self._deployment.topology
        texts = new_document(topology, self._limits, policy)
        texts[ROUTES] = with_timeouts(texts[ROUTES], self._trial.call_seconds)
        await self._deployment.put_items(section_values(texts))
        return texts

    async def _restore(self, policy: str) -> None:
        """Ends every fault, restores the document and waits for recovery."""
        names = tuple(
            upstream.name for upstream in self._deployment.topology.upstreams
        )
        await self._deployment.inject_platform_fault('recover')
        await self._deployment.inject_fault(names, 'recover')
        await self._publish(policy)
        await asyncio.sleep(RECOVERY_SECONDS)

    def _usage(self) -> ResourceUsage:
        names = [entry.name for entry in self._deployment.entries]
        return read_usage(self._deployment.processes.ids, names)

    def _addresses(self) -> list[str]:
        return [entry.address for entry in self._deployment.entries]


def turn_cost(
    turn: Turn, before: ResourceUsage, after: ResourceUsage
) -> dict[str, float]:
    """Returns the processor time and memory that the entry instances used."""
    cpu = cpu_seconds_used(before, after)
    requests = turn.rate * turn.seconds
    return {
        'entry_cpu_ms_a_request': sum(cpu.values()) * 1000 / requests,
        'entry_cpu_share_largest': max(cpu.values()) / turn.seconds,
        'entry_resident_mb_largest': max(after.resident_mb.values()),
    }


async def collect_measures(
    runner: TrialRunner, deployment: Deployment
) -> dict[str, dict[str, Measures]]:
    """Returns the measures by fault and policy."""
    counts = await deployment.upstream_counts()
    runs = await deployment.runs()
    zones = {
        upstream.name: upstream.zone
        for upstream in deployment.topology.upstreams
    }
    measured: dict[str, dict[str, Measures]] = {}
    for (fault, policy), results in runner.results.items():
        measured.setdefault(fault, {})[policy] = _new_measures(
            results,
            runner.limits,
            zones,
            runs,
            counts.total('keys_seen'),
        )
    return measured


def _new_measures(
    results: Sequence[TurnResult],
    limits: Mapping[str, RateLimit],
    zones: Mapping[str, str],
    runs: Mapping[str, int],
    keys_seen: int,
) -> Measures:
    records = [record for result in results for record in result.records]
    allowed_ids = frozenset(
        itertools.chain.from_iterable(
            _allowed_ids(result, limits) for result in results
        )
    )
    customers = measuring.measure_customers(results, limits, allowed_ids)
    return Measures(
        sent=len(records),
        tail=measuring.answered_latency(records),
        lateness=measuring.summarize_latency(
            record.lateness for record in records
        ),
        endings=measuring.count_outcomes(records),
        wrongful=measuring.total_wrongful_refusals(
            results, limits, allowed_ids
        ),
        customers=customers,
        worst=measuring.worst_served_customer(customers),
        windows=measuring.measure_windows(results, zones),
        checks=measuring.check_outcomes(records, runs, keys_seen),
        cost=_mean_cost(results),
    )


def _allowed_ids(
    result: TurnResult, limits: Mapping[str, RateLimit]
) -> frozenset[str]:
    within_rate = measuring.ids_within_rate(result.records, limits)
    revoked = {name: measuring.revoked_at(result, name) for name in limits}
    return frozenset(
        record.request_id
        for record in result.records
        if record.request_id in within_rate
        and record.scheduled_at < revoked.get(record.customer, float('inf'))
    )


def _mean_cost(results: Sequence[TurnResult]) -> dict[str, float]:
    return {
        name: round(
            sum(result.cost[name] for result in results) / len(results), 4
        )
        for name in results[0].cost
    }


def _read_records(paths: Iterable[pathlib.Path]) -> list[Record]:
    rows: list[Any] = []
    for path in paths:
        rows += json.loads(path.read_text())
    return [record_from_row(row) for row in rows]


def _print_progress(
    number: int, total: int, fault: str, policy: str, result: TurnResult
) -> None:
    tail = measuring.answered_latency(result.records)
    print(
        f'[{number}/{total}] {fault:16} {policy or "default":20}'
        f' sent {len(result.records):6} answered {tail.count:6}'
        f' p50 {tail.p50:7.1f} p99 {tail.p99:7.1f} p99.9 {tail.p999:7.1f} ms',
        flush=True,
    )
