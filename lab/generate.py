"""An open-loop load generator, which sends calls at their intended times."""

import asyncio
import gc
import json
import pathlib
import random
import time
from typing import Any, Final, final

from chervilstep.types import Instant
from lab.arrivals import Arrival, Record, Row, row_from_record
from lab.caller import Caller, CallOutcome
from lab.client import Client
from lab.plans import PLANS
from lab.queries.demands import ANONYMOUS, Turn, draw_arrivals

#: Requests beyond this number in flight are not sent but recorded as overrun.
MAX_OUTSTANDING: Final = 3000
OVERRUN: Final = 'generator-overrun'


@final
class LoadGenerator:
    """The callers of one process and the records of their requests."""

    __slots__ = (
        '_addresses',
        '_call_seconds',
        '_callers',
        '_rows',
        '_seed',
        '_start_at',
    )

    def __init__(
        self,
        addresses: tuple[str, ...],
        start_at: Instant,
        seed: int,
        call_seconds: float,
    ) -> None:
        """Creates a generator for a turn that starts at ``start_at``."""
        self._addresses = addresses
        self._start_at = start_at
        self._seed = seed
        self._call_seconds = call_seconds
        self._callers: dict[tuple[str, int], Caller] = {}
        self._rows: list[Row] = []

    @property
    def rows(self) -> list[Row]:
        """The records of the requests, as rows."""
        return self._rows

    async def run(self, arrivals: list[Arrival]) -> None:
        """Sends every arrival at its time and waits for all replies."""
        await self._warm_up(arrivals)
        outstanding: set[asyncio.Task[None]] = set()
        for arrival in arrivals:
            delay = self._start_at + arrival.scheduled_at - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            if len(outstanding) >= MAX_OUTSTANDING:
                failed = CallOutcome(0, reason=OVERRUN, verdict='', upstream='')
                self._record(arrival, failed, 0)
                continue
            task = asyncio.create_task(self._send(arrival))
            outstanding.add(task)
            task.add_done_callback(outstanding.discard)
        if outstanding:
            await asyncio.wait(outstanding)

    async def _warm_up(self, arrivals: list[Arrival]) -> None:
        """Makes every caller query the locator before the turn starts."""
        callers = {self._get_or_create_caller(arrival) for arrival in arrivals}
        now = time.monotonic()
        await asyncio.gather(*(caller.refresh(now) for caller in callers))

    async def _send(self, arrival: Arrival) -> None:
        lateness = time.monotonic() - self._start_at - arrival.scheduled_at
        key = '' if arrival.request.customer == ANONYMOUS else None
        outcome = await self._get_or_create_caller(arrival).send(
            arrival.request, self._call_seconds, key
        )
        self._record(arrival, outcome, lateness)

    def _record(
        self, arrival: Arrival, outcome: CallOutcome, lateness: float
    ) -> None:
        record = Record(
            arrival.request.request_id,
            arrival.request.customer,
            arrival.route,
            is_idempotent=arrival.is_idempotent,
            scheduled_at=arrival.scheduled_at,
            lateness=lateness,
            latency=time.monotonic() - self._start_at - arrival.scheduled_at,
            outcome=outcome,
        )
        self._rows.append(row_from_record(record))

    def _get_or_create_caller(self, arrival: Arrival) -> Caller:
        caller_key = (arrival.request.customer, arrival.caller)
        caller = self._callers.get(caller_key)
        if caller is None:
            rng = random.Random(f'{self._seed} {caller_key}')
            caller = Caller(self._addresses, Client(), rng)
            self._callers[caller_key] = caller
        return caller


async def generate(spec: dict[str, Any], target: pathlib.Path) -> None:
    """Sends one generator's share of a turn and writes the rows to ``target``."""
    turn = Turn(
        PLANS.find(spec['plan'])(),
        spec['turn'],
        rate=spec['rate'],
        seconds=spec['seconds'],
        seed=spec['seed'],
        fault=spec['fault'],
    )
    own_arrivals = [
        arrival
        for arrival in draw_arrivals(turn)
        if arrival.caller % spec['parts'] == spec['part']
    ]
    gc.freeze()
    generator = LoadGenerator(
        tuple(spec['addresses']),
        spec['start_at'],
        spec['seed'],
        spec['call_seconds'],
    )
    await generator.run(own_arrivals)
    target.write_text(json.dumps(generator.rows))
