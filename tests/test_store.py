"""Tests of the store client and the store source against a stand-in."""

import asyncio
import base64
import contextlib

import pytest

from chervilstep.commands.replica import apply_listing
from chervilstep.exceptions import StoreError
from chervilstep.node import new_node
from chervilstep.platform.source import StoreSource
from chervilstep.platform.store import new_store_client
from chervilstep.revisions import Revision
from lab.links import Link
from lab.processes import free_ports
from tests.answer_builders import (
    INVALID_STATUSES,
    MALFORMED_CHUNKS,
    MALFORMED_FRAMINGS,
    MALFORMED_HEADS,
    a_chunked_answer,
    a_framed_answer,
    a_raw_answer,
)
from tests.builders import a_settings
from tests.platform_builders import (
    a_changed_entry,
    a_configuration,
    a_server_entry,
    a_store,
    encode_json,
)
from tests.wire_builders import a_raw_upstream

TEST_TIMEOUT_SECONDS = 10
#: Machines that were cut off are up to date again so long after the end of it.
CONTACT_SECONDS = 3.0
#: For 300 instances, this is the rate that the store of the sites accepts.
MAX_READS_PER_SECOND = 2000 / 300


def with_client(scenario, **options):
    async def run():
        async with a_store(**options) as store:
            client = new_store_client(store.address)
            with contextlib.closing(client):
                return await scenario(store, client)

    return asyncio.run(run())


@contextlib.asynccontextmanager
async def a_node_with_a_source_at(address):
    node = new_node(a_settings(), 1)
    source = StoreSource(node, f'store://{address}')
    task = asyncio.create_task(source.run())
    try:
        yield node
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def a_node_with_a_source(store):
    return a_node_with_a_source_at(store.address)


@contextlib.asynccontextmanager
async def a_store_with_a_node():
    """Yields a store, and a node that has its configuration version 3."""
    async with a_store() as store, a_node_with_a_source(store) as node:
        store.put('op/config', a_configuration(version=3))
        await wait_until(lambda: node.snapshot.version == 3)
        yield store, node


async def wait_until(condition):
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.02)


def test_listing_joins_all_pages():
    async def scenario(store, client):
        for index in range(7):
            store.put(f'servers/i-{index}', a_server_entry())
        return await client.list_all()

    listing = with_client(scenario, page_items=3)
    assert len(listing.items) == 7
    assert listing.as_of == Revision(8, epoch=1)


def test_watch_waits_for_a_change():
    async def scenario(store, client):
        watch = asyncio.create_task(client.watch(Revision(1, epoch=1), 5))
        await asyncio.sleep(0.05)
        assert not watch.done()
        store.put('servers/i-1', a_server_entry())
        return await watch

    changes = with_client(scenario)
    assert [item.key for item in changes.items] == ['servers/i-1']


def test_watch_without_a_change_times_out():
    async def scenario(store, client):
        return await client.watch(Revision(1, epoch=1), 0.05)

    assert not with_client(scenario).items


def test_deleted_item_has_no_value():
    async def scenario(store, client):
        store.put('servers/i-1', None)
        return await client.watch(Revision(1, epoch=1), 1)

    (item,) = with_client(scenario).items
    assert item.value is None


def test_compacted_history_is_reported():
    async def scenario(store, client):
        store.put('servers/i-1', a_server_entry())
        store.inject_fault('compact')
        with pytest.raises(StoreError) as caught:
            await client.watch(Revision(1, epoch=1), 1)
        return caught.value.is_compacted

    assert with_client(scenario)


@pytest.mark.parametrize('status', [429, 500, 503])
def test_error_statuses_raise_store_errors(status):
    async def scenario(store, client):
        store.inject_fault('unavailable', str(status))
        with pytest.raises(StoreError) as caught:
            await client.list_all()
        return caught.value.is_compacted

    assert not with_client(scenario)


def test_refused_connection_raises_store_error():
    async def scenario():
        client = new_store_client('127.0.0.1:1')
        with pytest.raises(StoreError):
            await client.list_all()

    asyncio.run(scenario())


def test_source_applies_changes_of_the_store():
    async def scenario():
        async with a_store_with_a_node() as (store, node):
            store.put('servers/i-1', a_server_entry())
            await wait_until(
                lambda: node.snapshot.services['huvo11a'].upstreams
            )
            store.put('op/config', a_configuration(version=9))
            await wait_until(lambda: node.snapshot.version == 9)

    asyncio.run(scenario())


def test_source_recovers_from_outage_and_compaction():
    async def scenario():
        async with a_store_with_a_node() as (store, node):
            store.inject_fault('unavailable')
            store.put('servers/i-1', a_server_entry())
            await wait_until(lambda: node.replica.unavailable_since is not None)
            store.put('op/config', a_configuration(version=4))
            store.inject_fault('compact')
            store.inject_fault('recover')
            await wait_until(lambda: node.snapshot.version == 4)
            await wait_until(lambda: node.replica.unavailable_since is None)

    asyncio.run(scenario())


def test_dropped_watch_times_out():
    """A change is in force within 3 s even if the store drops the watch."""

    async def scenario():
        async with a_store_with_a_node() as (store, node):
            # By now the source has started its next watch.
            await asyncio.sleep(0.8)
            store.inject_fault('deaf')
            store.put('op/config', a_configuration(version=4))
            store.inject_fault('compact')
            async with asyncio.timeout(3):
                await wait_until(lambda: node.snapshot.version == 4)

    asyncio.run(scenario())


def test_idle_source_reads_rarely():
    async def scenario():
        async with a_store_with_a_node() as (store, node):
            before = store.read_count
            await asyncio.sleep(1.5)
            return store.read_count - before

    assert asyncio.run(scenario()) <= 1


def test_listings_of_a_store_without_history_are_spaced():
    """A store that answers every read with 410 must not be asked in a loop."""

    async def scenario():
        async with a_store() as store, a_node_with_a_source(store):
            store.inject_fault('unavailable', '410')
            await asyncio.sleep(1)
            return store.read_count

    assert asyncio.run(scenario()) < 15


def test_odd_items_do_not_hide_the_others():
    """Guards against an odd item for which every answer was refused."""
    entry = base64.b64encode(encode_json(a_server_entry())).decode()
    body = encode_json(
        {
            'items': [
                {'key': 'servers/i-1', 'revision': 2, 'value': entry},
                {'key': 'servers/i-2', 'revision': 3, 'value': 'no base64'},
                {'key': 'servers/i-3', 'revision': 4, 'value': None},
                {'key': 'servers/\ud800', 'revision': 5, 'value': entry},
                {'key': 'servers/i-5', 'revision': '6', 'value': entry},
                {'key': 'servers/i-6', 'revision': 2**64, 'value': entry},
                {'key': ['servers'], 'revision': 8, 'value': entry},
                'servers/i-8',
                {'key': 'servers/i-9', 'revision': 9, 'deleted': True},
            ],
            'hasMore': False,
            'asOf': 9,
        }
    )
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)

    async def scenario():
        async with a_raw_upstream(head + body) as (_, upstream):
            client = new_store_client(upstream.address)
            with contextlib.closing(client):
                return await client.list_all()

    listing = asyncio.run(scenario())
    assert [(item.key, item.value) for item in listing.items] == [
        ('servers/i-1', encode_json(a_server_entry())),
        ('servers/i-2', b''),
        ('servers/i-3', b''),
        ('servers/i-9', None),
    ]
    assert listing.skipped == 5
    assert listing.as_of == Revision(9)


ODD_ENTRIES = (
    b'[' * 100_000,
    b'{"info": ' + b'[' * 100_000,
    b'{"born": ' + b'9' * 10_000 + b'}',
    encode_json(a_changed_entry('info.slots', 10**29)),
    encode_json(a_changed_entry('status.coldLeftS', float('nan'))),
    encode_json(a_changed_entry('info.zone', '\ud800')),
    encode_json(a_server_entry(address='127.0.0.1:70000')),
)


def test_source_follows_the_store_past_odd_entries():
    """Guards against entries that ended instances or their watch."""

    async def scenario():
        async with a_store_with_a_node() as (store, node):
            for index, entry in enumerate(ODD_ENTRIES):
                store.put_text(f'servers/odd-{index}', entry.decode())
            store.put('servers/i-1', a_server_entry())
            await wait_until(
                lambda: node.snapshot.services['huvo11a'].upstreams
            )
            assert not node.counters.total_over_labels('store_failures')
            # All of them come again with the next listing.
            store.inject_fault('compact')
            store.put('servers/i-1', a_server_entry(state='draining'))
            await wait_until(
                lambda: (
                    node.snapshot.services['huvo11a'].upstreams[0].is_leaving
                )
            )

    asyncio.run(scenario())


#: Answers of the store that are broken, apart from what their body says.
BROKEN_ANSWERS = {
    **MALFORMED_HEADS,
    **{
        f'status {status.decode()}': a_raw_answer(status)
        for status in INVALID_STATUSES
    },
    **{
        f'framing: {kind}': a_framed_answer(*fields, body=b'{"asOf": 1}')
        for kind, fields in MALFORMED_FRAMINGS.items()
    },
    **{
        f'chunks: {kind}': a_chunked_answer(body)
        for kind, body in MALFORMED_CHUNKS.items()
    },
}


@pytest.mark.parametrize('kind', BROKEN_ANSWERS)
def test_broken_answer_raises_store_error_with_a_reason(kind):
    async def scenario():
        answer = BROKEN_ANSWERS[kind]
        async with a_raw_upstream(answer, closes=True) as (_, upstream):
            client = new_store_client(upstream.address)
            with pytest.raises(StoreError) as caught:
                await client.list_all()
            client.close()
        assert str(caught.value)
        assert not caught.value.is_compacted

    asyncio.run(scenario())


@contextlib.asynccontextmanager
async def a_link_to(store):
    """Yields a proxy of the store, and the address of the proxy."""
    (port,) = free_ports(1)
    link = Link(port, int(store.address.rpartition(':')[2]))
    await link.open()
    try:
        yield link, f'127.0.0.1:{port}'
    finally:
        await link.close()


def test_change_after_the_connection_went_silent_is_in_force_in_time():
    """Guards against a watch that waits on a dead connection for too long."""

    async def scenario():
        async with a_store() as store, a_link_to(store) as (link, address):
            store.put('op/config', a_configuration(version=3))
            async with a_node_with_a_source_at(address) as node:
                await wait_until(lambda: node.snapshot.version == 3)
                watches = store.platform.store.calls['kv-watch']
                await wait_until(
                    lambda: store.platform.store.calls['kv-watch'] > watches
                )
                link.silence_open_connections()
                silent_at = asyncio.get_running_loop().time()
                store.put('op/config', a_configuration(version=9))
                await wait_until(lambda: node.snapshot.version == 9)
                return asyncio.get_running_loop().time() - silent_at

    assert asyncio.run(scenario()) < CONTACT_SECONDS


def an_answer_of_epoch(*headers):
    body = encode_json({'items': [], 'events': [], 'asOf': 5, 'hasMore': False})
    lines = b''.join(b'Store-Era: %s\r\n' % each for each in headers)
    length = b'Content-Length: %d\r\n' % len(body)
    return b'HTTP/1.1 200 OK\r\n' + lines + length + b'\r\n' + body


def list_store(*answers):
    async def scenario():
        async with a_raw_upstream(list(answers)) as (_, upstream):
            client = new_store_client(upstream.address)
            with contextlib.closing(client):
                return await client.list_all()

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    ('headers', 'epoch'), [((), 0), ((b'0',), 0), ((b'7',), 7), ((b'007',), 7)]
)
def test_epoch_of_an_answer(headers, epoch):
    assert list_store(an_answer_of_epoch(*headers)).as_of.epoch == epoch


@pytest.mark.parametrize(
    'headers',
    [
        (b'',),
        (b'-1',),
        (b'+1',),
        (b'1.5',),
        (b'1e400',),
        (b'9' * 5000,),
        (b'1_0',),
        ('٣'.encode(),),
        (b'1', b'2'),
    ],
)
def test_invalid_epoch_raises_store_error(headers):
    with pytest.raises(StoreError) as caught:
        list_store(an_answer_of_epoch(*headers))
    assert not caught.value.is_compacted


def test_epoch_that_changes_within_a_listing_raises_store_error():
    first = {
        'items': [{'key': 'a', 'revision': 1, 'value': ''}],
        'asOf': 5,
        'hasMore': True,
    }
    body = encode_json(first)
    page = b'HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n'
    with pytest.raises(StoreError):
        list_store(page % len(body) + body, an_answer_of_epoch(b'2'))


def test_answer_of_an_older_epoch_changes_nothing():
    async def scenario():
        async with a_store_with_a_node() as (store, node):
            store.put('op/config', a_configuration(version=4))
            await wait_until(lambda: node.snapshot.version == 4)
            apply_listing(node, [], Revision(1, epoch=5), 0)
            store.put('op/config', a_configuration(version=9))
            await wait_until(
                lambda: node.counters.total_over_labels('store_failures') > 1
            )
            assert node.snapshot.version == 4
            assert node.replica.as_of == Revision(1, epoch=5)

    asyncio.run(scenario())


def test_reads_are_bounded_while_each_watch_is_gone():
    """Guards against a store that is listed again without a pause."""

    async def scenario():
        async with a_store_with_a_node() as (store, node):
            store.inject_fault('forgetful')
            store.put('op/config', a_configuration(version=4))
            await wait_until(lambda: node.snapshot.version == 4)
            reads = store.read_count
            await asyncio.sleep(2)
            return store.read_count - reads

    assert asyncio.run(scenario()) <= 2 * MAX_READS_PER_SECOND
