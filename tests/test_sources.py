"""Tests of the sources of configuration over loopback."""

import asyncio
import contextlib
import json

import pytest
import structlog

from chervilstep.adapters.files import FileSource
from chervilstep.adapters.platform import (
    PlatformSource,
    parse_answer,
    parse_instance,
)
from chervilstep.adapters.section_log import SectionLog
from chervilstep.adapters.sources import new_source
from chervilstep.commands.configuration import offer_section
from chervilstep.exceptions import PlatformError, UnknownName
from chervilstep.node import new_node
from chervilstep.queries.relaying import remaining_of
from chervilstep.values import PlatformValue
from lab.platform import Platform
from lab.store import Store
from tests.builders import KEY, a_settings, digest_of
from tests.document_builders import (
    a_configured_node,
    customer_text,
    sections,
)
from tests.wire_builders import a_closed_port

INSTANCE = {
    'zone': 'akl',
    'address': '127.0.0.1:8001',
    'peer_address': '127.0.0.1:9001',
    'state': 'live',
}


@contextlib.asynccontextmanager
async def a_platform_with_a_source():
    port = a_closed_port()
    platform = Platform(Store(), port)
    for name, text in sections().items():
        platform.put(f'config/{name}', text)
    platform.put('instances/entry-1', json.dumps(INSTANCE))
    platform.open()
    node = new_node(a_settings(), 1)
    source = PlatformSource(node, f'platform://127.0.0.1:{port}')
    task = asyncio.create_task(source.run())
    yield platform, node
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    if platform.is_open:
        await platform.refuse()


async def until(condition, seconds=10):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


def knows(node, key=KEY):
    return node.snapshot.customer_by_digest(digest_of(key)) is not None


def is_current(node):
    return remaining_of(node, asyncio.get_running_loop().time()) > 0


def test_platform_is_listed_and_watched():
    async def scenario():
        async with a_platform_with_a_source() as (platform, node):
            await until(lambda: knows(node) and is_current(node))
            assert set(node.members.listed) == {'entry-1'}
            platform.put('config/customers', customer_text(keys=['new']))
            await until(lambda: knows(node, 'new'), 2)
            assert not knows(node)
            platform.put('config/customers', None)
            await until(lambda: not knows(node, 'new'), 2)

    asyncio.run(scenario())


def test_platform_that_refuses_and_returns():
    async def scenario():
        async with a_platform_with_a_source() as (platform, node):
            await until(lambda: knows(node))
            await platform.refuse()
            await until(lambda: node.counters.total_of('source_failures') > 1)
            platform.put('config/customers', customer_text(keys=['new']))
            assert knows(node)
            platform.open()
            await until(lambda: knows(node, 'new'))

    asyncio.run(scenario())


def test_silent_watch_is_replaced():
    async def scenario():
        async with a_platform_with_a_source() as (platform, node):
            await until(lambda: knows(node))
            platform.store.hang(is_hanging=True)
            await until(lambda: node.counters.total_of('source_failures') > 0)
            platform.store.hang(is_hanging=False)
            platform.put('config/customers', customer_text(keys=['new']))
            await until(lambda: knows(node, 'new'))

    asyncio.run(scenario())


def test_file_is_read_again(tmp_path):
    async def scenario():
        path = tmp_path / 'document.toml'
        path.write_text('\n'.join(sections().values()))
        node = new_node(a_settings(source=f'file:{path}'), 1)
        source = new_source(node)
        task = asyncio.create_task(source.run())
        await until(lambda: knows(node) and is_current(node))
        assert set(node.members.listed) == {'entry-1'}
        path.write_text('broken')
        await until(lambda: 'document' in node.configuration.faults)
        assert knows(node)
        path.write_text(customer_text(keys=['new']))
        await until(lambda: knows(node, 'new'))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())


def test_directory_has_a_section_for_each_file(tmp_path):
    async def scenario():
        for name, text in sections().items():
            (tmp_path / f'{name}.toml').write_text(text)
        node = new_node(a_settings(source=f'file:{tmp_path}'), 1)
        source = FileSource(node, f'file:{tmp_path}')
        source.read_once(0)
        assert set(node.configuration.sections) == set(sections())
        (tmp_path / 'customers.toml').unlink()
        source.read_once(1)
        assert not knows(node)

    asyncio.run(scenario())


def test_refusal_is_logged_once_and_so_is_its_end():
    node = a_configured_node()
    log = SectionLog(node)
    with structlog.testing.capture_logs() as lines:
        log.write()
        offer_section(node, 'customers', 2, 'broken', 0)
        log.write()
        log.write()
        offer_section(node, 'customers', 3, customer_text(), 0)
        log.write()
    assert [line['event'] for line in lines] == [
        'section_refused',
        'section_mended',
    ]
    assert lines[0]['section'] == 'customers'
    assert lines[0]['faults'][0].startswith('syntax: ')


def test_unknown_scheme_is_refused():
    with pytest.raises(UnknownName):
        new_source(new_node(a_settings(source='ftp:x'), 1))
    with pytest.raises(PlatformError):
        new_source(new_node(a_settings(source='platform://nowhere'), 1))


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{"revision": 1}',
        b'{"revision": "1", "values": []}',
        b'{"revision": 1, "values": [{"name": "a"}]}',
        b'{"revision": 1, "values": [{"name":"a","revision":1,"text":2}]}',
    ],
)
def test_malformed_answers(body):
    with pytest.raises(PlatformError):
        parse_answer(body, 'config/', is_complete=True)


@pytest.mark.parametrize(
    'text',
    [
        '',
        '[]',
        '{}',
        json.dumps(INSTANCE | {'state': 'dead'}),
        json.dumps(INSTANCE | {'address': 'host:1'}),
    ],
)
def test_malformed_instances(text):
    with pytest.raises(PlatformError):
        parse_instance(PlatformValue('entry-1', 1, text))
