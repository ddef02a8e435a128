"""Fuzz tests of all input from callers, upstreams, the store and peers.

Invalid input must not stop the process or leave a caller without an answer,
and no answer may reach another request.
"""

import asyncio
import contextlib
import json

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from chervilstep.adapters import codec
from chervilstep.adapters.capabilities import load_capabilities
from chervilstep.adapters.http1 import PipelineServer
from chervilstep.adapters.requests import Response
from chervilstep.calls import Ending
from chervilstep.catalog import ClientLimits
from chervilstep.commands.replica import apply_items
from chervilstep.exceptions import (
    ItemError,
    PeerError,
    StoreError,
)
from chervilstep.hooks import HANDLERS, MESSAGES
from chervilstep.node import new_node
from chervilstep.platform.decoding import decode_config, decode_upstream_entry
from chervilstep.platform.dialect import PLATFORM_DIALECT
from chervilstep.platform.store import new_store_client
from chervilstep.revisions import Revision
from tests.answer_builders import (
    INVALID_STATUSES,
    MALFORMED_HEADS,
    SOUND_ANSWERS,
    a_raw_answer,
    a_raw_call,
    is_strict_response,
)
from tests.builders import a_node, a_settings, set_instances
from tests.document_builders import a_configured_node
from tests.fuzz_builders import (
    JSON_VALUES,
    MSGPACK_VALUES,
    field_paths,
    some_mutated,
    with_field,
)
from tests.memory_builders import a_request_buffering
from tests.platform_builders import (
    a_configuration,
    a_server_entry,
    a_stored_item,
)
from tests.wire_builders import (
    a_live_attempt,
    a_pool,
    a_raw_client,
    a_raw_upstream,
    an_instance,
    split_responses,
)

load_capabilities()

LIMITS = ClientLimits(2048, 4096, 0.4, 0.4)
#: A caller that waits longer than this counts as hung.
HANG_SECONDS = 5
INPUT_COUNT = 150
GOOD_REQUEST = b'GET /good HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
REQUESTS = (
    b'GET /a?b=c HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\n\r\n',
    b'POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 7\r\n\r\nAAAAAAA',
    b'POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'3\r\nCCC\r\n4;x=y\r\nCCCC\r\n0\r\nT: 1\r\n\r\n',
)
ANSWERS = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX-Request-Id: 1\r\n\r\nAAAAAA',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'3\r\nCCC\r\n3\r\nCCC\r\n0\r\n\r\n',
    b'HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil the end',
)
FUZZ_SETTINGS = settings(
    max_examples=60,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class UnhandledErrors:
    """Records the errors that the event loop reports as unhandled."""

    def __init__(self):
        self.unhandled = []

    def watch(self):
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: self.unhandled.append(context)
        )


class FuzzedServer:
    """A server of client connections, and the requests it received."""

    def __init__(self):
        self.requests = []
        self.server = PipelineServer(
            self.answer,
            lambda: LIMITS,
            lambda fault: None,
            a_request_buffering().new_reservation,
        )
        self.server.listen(0, '127.0.0.1')
        (socket,) = self.server._sockets.values()
        self.port = socket.getsockname()[1]

    async def answer(self, request):
        self.requests.append(request)
        return Response(200, (), request.target.encode())

    async def exchange(self, sent):
        """Sends bytes; returns the bytes received until the server closes."""
        async with a_raw_client(self.port) as (reader, writer):
            writer.write(sent)
            async with asyncio.timeout(HANG_SECONDS):
                with contextlib.suppress(ConnectionError):
                    return await reader.read()
        return b''

    def close(self):
        self.server.stop()
        self.server.close_all()


async def check_server_survives(sent):
    server = FuzzedServer()
    received = await server.exchange(sent)
    # There is one answer for each request, and at most one refusal of
    # malformed input after them.
    assert len(split_responses(received)) <= len(server.requests) + 1
    received = await server.exchange(GOOD_REQUEST)
    ((_, body),) = split_responses(received)
    assert body == b'/good'
    server.close()


@pytest.mark.parametrize('seed', range(4))
def test_server_survives_malformed_requests(seed):
    async def scenario():
        errors = UnhandledErrors()
        errors.watch()
        async with asyncio.TaskGroup() as group:
            for sent in some_mutated(REQUESTS, INPUT_COUNT, seed):
                group.create_task(check_server_survives(sent))
        assert not errors.unhandled

    asyncio.run(scenario())


@pytest.mark.parametrize('seed', range(4))
def test_pool_survives_malformed_answers(seed):
    async def scenario():
        errors = UnhandledErrors()
        errors.watch()
        for sent in some_mutated(ANSWERS, INPUT_COUNT // 2, seed):
            pool = a_pool()
            async with a_raw_upstream(sent, closes=True) as (_, upstream):
                attempt = a_live_attempt(upstream, seconds=0.3)
                async with asyncio.timeout(HANG_SECONDS):
                    outcome = await pool.send(attempt)
                assert outcome.ending is not Ending.ANSWERED or outcome.answer
            pool.close()
        assert not errors.unhandled

    asyncio.run(scenario())


@pytest.mark.parametrize('method', ['GET', 'HEAD'])
@pytest.mark.parametrize('seed', range(4))
def test_strict_caller_can_read_what_is_passed_on(seed, method):
    """Guards against broken answers that reach callers."""
    texts = [
        *SOUND_ANSWERS.values(),
        *MALFORMED_HEADS.values(),
        *(a_raw_answer(status) for status in INVALID_STATUSES),
    ]

    async def scenario():
        for sent in some_mutated(texts, INPUT_COUNT // 2, seed):
            pool = a_pool(dialect=PLATFORM_DIALECT)
            async with a_raw_upstream(sent, closes=True) as (_, upstream):
                call = a_raw_call(method)
                attempt = a_live_attempt(upstream, 0.3, call)
                answer = (await pool.send(attempt)).answer
            pool.close()
            if answer is not None:
                response = Response(
                    answer.status, answer.headers, answer.body, answer.reason
                )
                parts = response.encode(is_head=method == 'HEAD', closes=False)
                assert is_strict_response(b''.join(parts), method), sent

    asyncio.run(scenario())


@pytest.mark.parametrize('seed', range(2))
def test_store_client_survives_malformed_answers(seed):
    listing = {'items': [], 'hasMore': False, 'asOf': 3}
    body = json.dumps(listing).encode()
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)

    async def scenario():
        for sent in some_mutated([head + body], INPUT_COUNT // 2, seed):
            async with a_raw_upstream(sent, closes=True) as (_, upstream):
                client = new_store_client(upstream.address)
                async with asyncio.timeout(HANG_SECONDS):
                    with contextlib.suppress(StoreError):
                        assert (await client.list_all()).as_of >= Revision(0)
                client.close()

    asyncio.run(scenario())


@FUZZ_SETTINGS
@given(st.data())
def test_configuration_with_any_field_value(data):
    table = a_configuration()
    path = data.draw(st.sampled_from(field_paths(table)))
    changed = with_field(table, path, data.draw(JSON_VALUES))
    with contextlib.suppress(ItemError):
        decode_config(json.dumps(changed).encode())


@FUZZ_SETTINGS
@given(st.data())
def test_upstream_entry_with_any_field_value(data):
    table = a_server_entry()
    path = data.draw(st.sampled_from(field_paths(table)))
    changed = with_field(table, path, data.draw(JSON_VALUES))
    with contextlib.suppress(ItemError):
        decode_upstream_entry('i-1', json.dumps(changed).encode())


@FUZZ_SETTINGS
@given(st.data())
def test_node_survives_any_store_item(data):
    node = new_node(a_settings(), 1)
    node.replica.enable()
    good = [
        a_stored_item('op/config', a_configuration(), 2),
        a_stored_item('servers/i-1', a_server_entry(), 3),
    ]
    table = data.draw(st.sampled_from([a_configuration(8), a_server_entry()]))
    path = data.draw(st.sampled_from(field_paths(table)))
    changed = with_field(table, path, data.draw(JSON_VALUES))
    key = 'op/config' if 'listeners' in table else 'servers/i-2'
    apply_items(node, good, Revision(3), 0)
    apply_items(node, [a_stored_item(key, changed, 4)], Revision(4), 0)
    later = a_stored_item('servers/i-3', a_server_entry(port=8081), 5)
    apply_items(node, [later], Revision(5), 0)
    names = {each.identity for each in all_upstreams(node)}
    assert {'i-1', 'i-3'} <= names or node.snapshot.version != 7


def all_upstreams(node):
    return [
        upstream
        for service in node.snapshot.services.values()
        for upstream in service.upstreams
    ]


@pytest.mark.parametrize('kind', MESSAGES.names)
@FUZZ_SETTINGS
@given(st.data())
def test_peer_messages_with_any_field_values(kind, data):
    node = a_configured_node()
    set_instances(node, [an_instance('entry-1'), an_instance('entry-2')])
    node.members.get_or_create_peer('entry-2').record_connect()
    count = len(MESSAGES.find(kind).fields)
    drawn = st.lists(MSGPACK_VALUES, min_size=count, max_size=count)
    with contextlib.suppress(PeerError):
        message = codec.decode([kind, *data.draw(drawn)])
        HANDLERS.find(kind)(node, 'entry-2', message, 0)
    for envelope in node.outbox.envelopes:
        codec.encode(envelope.message)


@FUZZ_SETTINGS
@given(MSGPACK_VALUES)
def test_peer_frames_of_any_form(frame):
    with contextlib.suppress(PeerError):
        codec.decode(frame if isinstance(frame, list) else [frame])
    assert a_node()
