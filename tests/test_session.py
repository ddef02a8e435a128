"""Snapshot tests of whole dispatcher sessions on a virtual clock."""

import asyncio

from chervilstep.calls import Answer, Ending
from chervilstep.services import UpstreamState
from chervilstep.snapshot import Priority, ZoneState
from lab.virtual_loop import run_virtually
from tests.builders import (
    a_call,
    a_customer,
    a_route,
    a_service,
    a_snapshot,
    an_attempt,
    an_unlimited_node,
    an_upstream,
)
from tests.dispatch_builders import FakePool, Step, a_dispatcher


class Session:
    """Sends calls through a fake pool and records a line for each event."""

    def __init__(self, loop, node, steps=(), default=None):
        self.loop = loop
        self.node = node
        self.lines = []
        self.pool = RecordingPool(self, steps, default)
        self.dispatcher = a_dispatcher(loop, self.pool, node)
        self.tasks = []

    def record(self, text):
        self.lines.append(f'{self.loop.time() * 1000:7.1f} ms  {text}')

    def send(self, name, method='GET', **changes):
        call = a_call(method, **changes)
        self.tasks.append(asyncio.ensure_future(self._handle(name, call)))

    async def _handle(self, name, call):
        self.record(f'{name}: {call.method} {call.target}')
        reply = await self.dispatcher.handle(call)
        if isinstance(reply, Answer):
            self.record(f'{name}: answered by {reply.body.decode()}')
        else:
            self.record(f'{name}: {reply.reason} ({reply.verdict.value})')

    def publish(self, snapshot, text):
        self.node.configuration.publish(snapshot)
        self.record(text)
        self.dispatcher.wake()

    async def end(self):
        await asyncio.gather(*self.tasks)
        for (name, labels), count in sorted(self.node.counters):
            label_text = ' '.join(f'{key}={text}' for key, text in labels)
            self.lines.append(f'{name} {label_text} {count}'.replace('  ', ' '))
        return '\n'.join(self.lines)


class RecordingPool(FakePool):
    """Records each attempt and its ending in the session."""

    def __init__(self, session, steps, default):
        super().__init__(session.loop, steps, default)
        self.session = session

    async def send(self, attempt):
        label = f'  {attempt.upstream.name} #{attempt.number}'
        remaining = attempt.deadline.remaining(self.loop.time())
        self.session.record(f'{label} sent, {remaining * 1000:.0f} ms left')
        outcome = await super().send(attempt)
        self.session.record(f'{label} {outcome.ending.value}')
        return outcome


def a_two_zone_snapshot(withdrawn=(), leaving=()):
    zones = {
        zone: ZoneState.WITHDRAWN if zone in withdrawn else ZoneState.IN_SERVICE
        for zone in ('akl', 'ham')
    }
    servers = [
        an_upstream(
            name,
            zone,
            slots=1,
            state=UpstreamState.LEAVING
            if name in leaving
            else UpstreamState.ACTIVE,
        )
        for name, zone in (('strike-1', 'akl'), ('strike-2', 'ham'))
    ]
    return a_snapshot(
        zones,
        [a_service(upstreams=servers, policy='free-slot')],
        [
            a_route(customers=('fletcher', 'cement')),
            a_route('urgent', service='strike', priority=Priority.URGENT),
        ],
        [a_customer(), a_customer('cement', key='cement')],
    )


def play(script, steps=(), default=None):
    async def run(loop):
        node = an_unlimited_node(a_two_zone_snapshot())
        session = Session(loop, node, steps, default)
        await script(session)
        return await session.end()

    return run_virtually(run)


def test_silent_upstream(snapshot):
    async def script(session):
        session.send('read')
        session.send('write', 'POST')
        await asyncio.sleep(3)
        session.send('later')

    steps = [Step(Ending.TIMED_OUT), Step(Ending.TIMED_OUT)]
    assert play(script, steps) == snapshot


def test_zone_is_withdrawn_while_calls_wait(snapshot):
    async def script(session):
        for name in ('one', 'two', 'three', 'four'):
            session.send(name, 'POST')
        await asyncio.sleep(0.05)
        session.publish(a_two_zone_snapshot(['ham']), 'ham is withdrawn')
        await asyncio.sleep(0.1)
        session.publish(a_two_zone_snapshot(['ham', 'akl']), 'so is akl')
        await asyncio.sleep(0.2)
        session.publish(a_two_zone_snapshot(), 'both return')
        session.send('five', 'POST')

    assert play(script, default=Step(seconds=0.1)) == snapshot


def test_upstream_leaves_while_a_retry_waits(snapshot):
    async def script(session):
        session.send('one')
        session.send('two')
        await asyncio.sleep(0.05)
        leaving = a_two_zone_snapshot(leaving=['strike-2'])
        session.publish(leaving, 'strike-2 is leaving')

    steps = [Step(Ending.SHED), Step(seconds=0.2)]
    assert play(script, steps) == snapshot


def test_poison_and_its_neighbours(snapshot):
    # The slot of the lost upstream is occupied below. Outside of this test,
    # the choice of upstream would avoid a lost upstream.
    async def script(session):
        session.send('first', 'POST', body=b'poison')
        await asyncio.sleep(0.1)
        stuck = an_attempt()
        session.node.loads.upstream_load('strike-1').start_attempt(stuck, 0)
        session.send('again', 'POST', body=b'poison')
        await asyncio.sleep(0.1)
        session.node.loads.upstream_load('strike-1').end_attempt(stuck)
        session.send('third', 'POST', body=b'poison')
        session.send('other', 'POST')
        session.send('cement', 'POST', key='cement', body=b'poison')
        await asyncio.sleep(31)
        session.send('released', 'POST', body=b'poison')

    steps = [Step(Ending.LOST), Step(Ending.LOST)]
    assert play(script, steps) == snapshot


def test_noisy_customer_and_an_urgent_call(snapshot):
    async def script(session):
        for index in range(6):
            session.send(f'noisy {index}', 'POST')
        await asyncio.sleep(0.01)
        session.send('quiet', 'POST', key='cement')
        session.send('urgent', 'POST', target='/urgent/1')

    assert play(script, default=Step(seconds=0.1)) == snapshot


def test_pause_while_calls_wait(snapshot):
    async def script(session):
        for name in ('one', 'two', 'three'):
            session.send(name, 'POST')
        await asyncio.sleep(0.01)
        session.loop.advance(60)
        session.record('the process wakes up')

    assert play(script) == snapshot
