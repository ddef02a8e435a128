"""A demonstration: real calls through three entry instances."""

import asyncio
import pathlib
import random
import tempfile
import time
from typing import Final, final

from chervilstep.snapshot import Route
from lab.caller import Caller, CallOutcome, Request
from lab.client import Client
from lab.deployment import Deployment, new_deployment, publish_document
from lab.plans import PLANS
from lab.processes import Processes

INSTANCES: Final = 3
CALLS_PER_ROUTE: Final = 6
CALL_TIMEOUT_SECONDS: Final = 2
DEMO_PREFIX: Final = 'demo-'
#: The time in which the instances read the document and find each other.
STARTUP_SECONDS: Final = 2
LISTING_TIMEOUT_SECONDS: Final = 10
_MEAN_SERVICE_SECONDS: Final = 0.02
_MS: Final = 1000


@final
class Step:
    """One call of the demonstration and its expected outcome."""

    __slots__ = ('_expected_reason', '_key', '_request')

    def __init__(
        self,
        request: Request,
        expected_reason: str = '',
        key: str | None = None,
    ) -> None:
        """Creates a step; ``key`` replaces the customer's key.

        Without an expected reason, the call must be answered with 200.
        """
        self._request = request
        self._expected_reason = expected_reason
        self._key = key

    @property
    def request(self) -> Request:
        """The request to send."""
        return self._request

    @property
    def key(self) -> str | None:
        """The key to send instead of the customer's; empty to send none."""
        return self._key

    def is_expected(self, outcome: CallOutcome) -> bool:
        """Whether an outcome is the expected one."""
        if self._expected_reason:
            return outcome.reason == self._expected_reason
        return outcome.status == 200 and not outcome.reason


def run_demo() -> int:
    """Runs the demonstration and returns the exit status."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with Processes(folder) as processes:
            deployment = new_deployment(
                PLANS.find('nz')(), INSTANCES, processes, folder
            )
            try:
                return asyncio.run(_demonstrate(deployment))
            except TimeoutError as error:
                print(f'The demonstration could not start: {error}')
                _print_logs(folder)
                return 1


async def _demonstrate(deployment: Deployment) -> int:
    topology = deployment.topology
    print('Starting the platform and the upstreams of New Zealand ...')
    await deployment.start_stand_ins(_MEAN_SERVICE_SECONDS, 1, 1)
    await publish_document(deployment, {}, '')
    print(f'Starting {len(topology.entries)} entry instances ...')
    await deployment.start_entries()
    client = Client()
    caller = Caller(
        tuple(entry.address for entry in topology.entries),
        client,
        random.Random(1),
    )
    await _wait_until_listed(caller, len(topology.entries))
    await asyncio.sleep(STARTUP_SECONDS)
    print(f'Addresses from the locator: {", ".join(caller.addresses)}.')
    started_at = time.monotonic()
    results = [await _run_step(caller, step) for step in _new_steps(deployment)]
    client.close()
    counts = await deployment.upstream_counts()
    runs = {
        name: count
        for name, count in (await deployment.runs()).items()
        if name.startswith(DEMO_PREFIX)
    }
    seconds = time.monotonic() - started_at
    passed = sum(results)
    print(f'{passed} of {len(results)} calls ended as expected ', end='')
    print(f'in {seconds:.1f} s; the upstreams ran {len(runs)} requests.')
    twice = [name for name, count in runs.items() if count > 1]
    keys_seen = counts.total('keys_seen')
    print(f'Ran twice: {len(twice)}. Keys sent to upstreams: {keys_seen}.')
    is_successful = passed == len(results) and not twice and not keys_seen
    return 0 if is_successful else 1


async def _wait_until_listed(caller: Caller, instances: int) -> None:
    """Waits until the locator lists every instance, or the timeout expires."""
    deadline = time.monotonic() + LISTING_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        await caller.refresh(float('inf'))
        if len(caller.addresses) >= instances:
            return
        await asyncio.sleep(0.1)


async def _run_step(caller: Caller, step: Step) -> bool:
    request = step.request
    started_at = time.monotonic()
    outcome = await caller.send(request, CALL_TIMEOUT_SECONDS, step.key)
    took_ms = (time.monotonic() - started_at) * _MS
    passed = step.is_expected(outcome)
    ending = outcome.upstream or f'{outcome.reason} ({outcome.verdict})'
    print(
        f'{"ok " if passed else "BAD"} {request.method:4} {request.target:14}'
        f' {request.customer:14} {outcome.status} {ending} in {took_ms:.1f} ms'
    )
    return passed


def _new_steps(deployment: Deployment) -> list[Step]:
    routes = deployment.topology.plan.snapshot.routes
    steps = [
        _new_step(route, number)
        for route in routes
        for number in range(CALLS_PER_ROUTE)
    ]
    rejected = [
        ('/nowhere/1', 'unknown-route', None),
        ('/strike/1', 'missing-key', ''),
        ('/strike/1', 'unknown-key', 'not-a-key'),
    ]
    for target, reason, key in rejected:
        request = Request(f'{DEMO_PREFIX}{reason}', 'fletcher', 'GET', target)
        steps.append(Step(request, reason, key))
    return steps


def _new_step(route: Route, number: int) -> Step:
    """Creates a step; the number selects the customer and the method."""
    methods = sorted(route.methods - {'HEAD'})
    customers = sorted(route.customers) or ['']
    method = methods[number % len(methods)]
    body = f'cube set {number}'.encode() if method == 'POST' else b''
    request = Request(
        f'{DEMO_PREFIX}{route.name}-{number}',
        customers[number % len(customers)],
        method,
        f'{route.path}{number}',
        body,
    )
    return Step(request, key='' if route.is_open else None)


def _print_logs(folder: pathlib.Path) -> None:
    for log in sorted(folder.glob('*.log')):
        text = log.read_text().strip()
        if text:
            print(f'--- {log.name}\n{text[-2000:]}')
