"""Builders of fleets that call upstreams over real connections."""

import asyncio
import contextlib
import time

import msgpack

from chervilstep.adapters import codec
from chervilstep.adapters.capabilities import load_capabilities
from chervilstep.adapters.dispatcher import new_dispatcher
from chervilstep.adapters.pool import new_pool
from chervilstep.adapters.ticker import new_ticker
from chervilstep.calls import Call
from chervilstep.hooks import HANDLERS
from chervilstep.messages import EVERY_PEER
from chervilstep.node import new_node
from chervilstep.platform.dialect import PLATFORM_DIALECT
from chervilstep.queries.soonest import SOONEST
from chervilstep.services import Service
from chervilstep.types import new_deadline
from tests.builders import (
    KEY,
    a_customer,
    a_settings,
    a_snapshot,
    an_upstream,
    digest_key,
    set_instances,
    some_instances,
)
from tests.wire_builders import AnsweringUpstream, request_id_of

load_capabilities()

#: How often messages between the instances are delivered.
PUMP_PERIOD_SECONDS = 0.005


class StatingUpstream(AnsweringUpstream):
    """Answers every request at once, with its ID and the limit, if any."""

    def __init__(self, limit=None):
        super().__init__()
        self.limit = limit
        self.arrived_at = []

    async def answer(self, head):
        self.arrived_at.append(time.monotonic())
        limit = b''
        if self.limit is not None:
            limit = f'Server-Limit: {self.limit}\r\n'.encode()
        return (
            b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: '
            + request_id_of(head)
            + b'\r\n'
            + limit
            + b'\r\nok'
        )


class CallingFleet:
    """Instances that send calls to upstreams over real connections."""

    def __init__(self, size, snapshot):
        instances = some_instances(size, zones=('akl',))
        self.nodes = {}
        self.dispatchers = []
        self._pools = []
        self._tickers = []
        for instance in instances:
            node = new_node(
                a_settings(instance.name, dialect=PLATFORM_DIALECT), size
            )
            node.configuration.publish(snapshot)
            set_instances(node, instances)
            for other in instances:
                if other is not instance:
                    peer = node.members.get_or_create_peer(other.name)
                    peer.record_connect()
            self.nodes[instance.name] = node
            pool = new_pool(
                node.settings, time.monotonic, lambda name, opened_at: True
            )
            self._pools.append(pool)
            self.dispatchers.append(new_dispatcher(node, pool, time.monotonic))
            self._tickers.append(new_ticker(node, time.monotonic))

    async def pump(self):
        """Delivers messages between the instances until cancelled."""
        for ticker in self._tickers:
            ticker.start()
        while True:
            for node in self.nodes.values():
                self._deliver_from(node)
            await asyncio.sleep(PUMP_PERIOD_SECONDS)

    def _deliver_from(self, node):
        envelopes = node.outbox.envelopes
        node.outbox.clear()
        for envelope in envelopes:
            frame = codec.encode(envelope.message)[codec.LENGTH_PREFIX_BYTES :]
            for name, recipient in self.nodes.items():
                is_recipient = envelope.recipient in {EVERY_PEER, name}
                if is_recipient and recipient is not node:
                    message = codec.decode(msgpack.unpackb(frame))
                    HANDLERS.find(message.kind)(
                        recipient,
                        node.settings.name,
                        message,
                        time.monotonic(),
                    )

    def close(self):
        for ticker in self._tickers:
            ticker.stop()
        for pool in self._pools:
            pool.close()


def a_numbered_call(number, seconds=0.5):
    return Call(
        'GET',
        '/strike/1',
        (('X-Request-Id', f'call-{number}'),),
        b'',
        key_digest=digest_key(KEY),
        deadline=new_deadline(time.monotonic(), seconds),
        request_id=f'call-{number}',
    )


@contextlib.asynccontextmanager
async def a_calling_fleet(size, *upstreams):
    """Starts the upstreams and a fleet that calls them."""
    servers = [
        an_upstream(f'strike-{index}', port=await upstream.start(), slots=50)
        for index, upstream in enumerate(upstreams)
    ]
    snapshot = a_snapshot(
        services=[Service('strike', servers, SOONEST)],
        customers=[a_customer(rate=0, burst=0)],
    )
    fleet = CallingFleet(size, snapshot)
    pump = asyncio.create_task(fleet.pump())
    try:
        yield fleet
    finally:
        pump.cancel()
        await asyncio.gather(pump, return_exceptions=True)
        fleet.close()
        for upstream in upstreams:
            await upstream.stop()


async def send_calls(fleet, calls_per_second, seconds):
    """Sends calls at a steady rate to one instance after another."""
    calls = []
    start = time.monotonic()
    for number in range(int(calls_per_second * seconds)):
        delay = start + number / calls_per_second - time.monotonic()
        await asyncio.sleep(max(0, delay))
        dispatcher = fleet.dispatchers[number % len(fleet.dispatchers)]
        calls.append(
            asyncio.create_task(dispatcher.handle(a_numbered_call(number)))
        )
    return await asyncio.gather(*calls)
