"""Builders of instances that are stopped while callers still send."""

import asyncio
import contextlib
import itertools
import time

from tornado import netutil

from chervilstep.adapters.instance import new_instance
from chervilstep.commands.shutdown import begin_shutdown
from chervilstep.platform.addresses import PLATFORM_ADDRESSES, PlatformAddresses
from chervilstep.platform.dialect import PLATFORM_DIALECT
from chervilstep.platform.edge import PLATFORM_EDGE
from chervilstep.settings import (
    LocatorOptions,
    Profile,
    Settings,
    ShutdownTimeouts,
)
from chervilstep.snapshot import RouteOptions
from tests.builders import (
    a_node,
    a_route,
    a_service,
    a_settings,
    a_snapshot,
    an_upstream,
)
from tests.wire_builders import (
    AnsweringUpstream,
    close_writer,
    request_id_of,
)

HOST = '127.0.0.1'


def a_free_port():
    (socket,) = netutil.bind_sockets(0, HOST)
    port = socket.getsockname()[1]
    socket.close()
    return port


def a_stopping_node(now=100.0):
    """Returns a node that accepts calls for 3 s, and answers for 5 s."""
    node = a_node()
    timeouts = ShutdownTimeouts(3, 2)
    profile = Profile(shutdown_timeouts=timeouts)
    node.replace_settings(a_settings(profile=profile))
    begin_shutdown(node, now)
    return node


class SlowUpstream(AnsweringUpstream):
    """Runs each request for a fixed time, and records its identity."""

    def __init__(self, run_seconds):
        super().__init__()
        self._run_seconds = run_seconds
        self.reached = set()

    async def answer(self, head):
        identity = request_id_of(head)
        self.reached.add(identity.decode())
        await asyncio.sleep(self._run_seconds)
        return (
            b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: '
            + identity
            + b'\r\n\r\nok'
        )


def a_platform_instance(upstream_port, timeouts, route_seconds):
    """Returns an instance on the platform's edge, and its client address."""
    ports = [a_free_port() for _ in range(5)]
    entry, peer, directory, ready, metrics = (
        f'{HOST}:{port}' for port in ports
    )
    PLATFORM_ADDRESSES.put(peer, PlatformAddresses(directory, ready, metrics))
    settings = Settings(
        name=peer,
        zone='akl',
        entry_address=entry,
        peer_address=peer,
        admin_address='',
        configuration_source=f'store://{HOST}:1',
        peer_secret='',
        profile=Profile(
            dialect=PLATFORM_DIALECT,
            edge=PLATFORM_EDGE,
            shutdown_timeouts=timeouts,
            locator=LocatorOptions(2, 64, 2),
        ),
        seeds={},
    )
    instance = new_instance(settings)
    instance.node.configuration.publish(
        a_snapshot(
            services=[
                a_service(
                    upstreams=[
                        an_upstream('u-1', port=upstream_port, slots=100)
                    ]
                )
            ],
            routes=[
                a_route(
                    is_open=True, customers=(), timeout_seconds=route_seconds
                ).with_options(RouteOptions('h', 1, None))
            ],
        )
    )
    return instance, ports[0]


class Exchange:
    """One request of a caller and how it ended."""

    def __init__(self, identity, sent_at):
        self.identity = identity
        self.sent_at = sent_at
        self.status = None
        self.head = b''


async def exchange_once(port, identity):
    """Sends a request on a connection of its own.

    The status is None if the connection was closed without an answer.
    """
    exchange = Exchange(identity, time.monotonic())
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(
            f'GET /strike/1 HTTP/1.1\r\nHost: h\r\n'
            f'X-Request-Id: {identity}\r\n\r\n'.encode()
        )
        exchange.head = await reader.readuntil(b'\r\n\r\n')
        exchange.status = int(exchange.head.split(b' ', 2)[1])
        await close_writer(writer)
    return exchange


async def send_through_a_stop(timeouts, run_seconds, route_seconds, period):
    """Stops an instance while callers send; returns exchanges and upstream."""
    upstream = SlowUpstream(run_seconds)
    instance, port = a_platform_instance(
        await upstream.start(), timeouts, route_seconds
    )
    instance.start()
    serving = asyncio.create_task(instance.serve())
    sending = []
    stop_at = time.monotonic() + 5 * period
    for number in itertools.count():
        if serving.done():
            break
        if time.monotonic() >= stop_at:
            instance.request_stop()
        sending.append(asyncio.create_task(exchange_once(port, f'r-{number}')))
        await asyncio.sleep(period)
    exchanges = await asyncio.gather(*sending)
    await serving
    await upstream.stop()
    return exchanges, upstream.reached


def some_timeouts(lame_duck_seconds=0.6, drain_seconds=0.6):
    return ShutdownTimeouts(lame_duck_seconds, drain_seconds)
