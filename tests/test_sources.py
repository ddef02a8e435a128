"""Tests of the configuration sources: the store over loopback, and files."""

import asyncio
import contextlib

import pytest

from chervilstep.adapters.capabilities import load_capabilities
from chervilstep.adapters.files import FileSource
from chervilstep.adapters.sources import new_source
from chervilstep.commands.configuration import apply_sections
from chervilstep.commands.replica import apply_items
from chervilstep.exceptions import SettingsError, UnknownName
from chervilstep.node import new_node
from chervilstep.replica import StoredItem
from chervilstep.revisions import Revision
from lab.commands.platform_faults import PLATFORM_FAULTS
from tests.builders import KEY, a_settings, digest_key
from tests.document_builders import (
    a_configured_node,
    customer_text,
    section_texts,
)
from tests.platform_builders import a_store

load_capabilities()


@contextlib.asynccontextmanager
async def a_store_with_a_source():
    async with a_store() as store:
        for name, text in section_texts().items():
            store.platform.put(f'sections/{name}', text)
        node = new_node(a_settings(source=f'store://{store.address}'), 1)
        task = asyncio.create_task(new_source(node).run())
        yield store.platform, node
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def wait_until(condition, seconds=10):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


def accepts_key(node, key=KEY):
    return node.snapshot.customer_by_digest(digest_key(key)) is not None


def test_store_is_listed_and_watched():
    async def scenario():
        async with a_store_with_a_source() as (platform, node):
            await wait_until(lambda: accepts_key(node))
            platform.put('sections/customers', customer_text(keys=['new']))
            await wait_until(lambda: accepts_key(node, 'new'), 2)
            assert not accepts_key(node)
            platform.put('sections/customers', None)
            await wait_until(lambda: not accepts_key(node, 'new'), 2)

    asyncio.run(scenario())


def test_store_outage_keeps_the_configuration():
    async def scenario():
        async with a_store_with_a_source() as (platform, node):
            await wait_until(lambda: accepts_key(node))
            await platform.stop_listening()
            await wait_until(
                lambda: node.counters.total_over_labels('store_failures') > 1
            )
            platform.put('sections/customers', customer_text(keys=['new']))
            assert accepts_key(node)
            platform.listen()
            await wait_until(lambda: accepts_key(node, 'new'))

    asyncio.run(scenario())


def test_unresponsive_watch_is_replaced():
    async def scenario():
        async with a_store_with_a_source() as (platform, node):
            await wait_until(lambda: accepts_key(node))
            PLATFORM_FAULTS.find('hang')(platform.store, '')
            await wait_until(
                lambda: node.counters.total_over_labels('store_failures') > 0
            )
            PLATFORM_FAULTS.find('recover')(platform.store, '')
            platform.put('sections/customers', customer_text(keys=['new']))
            await wait_until(lambda: accepts_key(node, 'new'))

    asyncio.run(scenario())


def test_changed_file_is_reloaded(tmp_path):
    async def scenario():
        path = tmp_path / 'document.toml'
        path.write_text('\n'.join(section_texts().values()))
        node = new_node(a_settings(source=f'file:{path}'), 1)
        source = new_source(node)
        task = asyncio.create_task(source.run())
        await wait_until(lambda: accepts_key(node))
        path.write_text('broken')
        await wait_until(lambda: 'document' in node.configuration.faults)
        assert accepts_key(node)
        path.write_text(customer_text(keys=['new']))
        await wait_until(lambda: accepts_key(node, 'new'))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())


def test_directory_gives_a_section_for_each_file(tmp_path):
    async def scenario():
        for name, text in section_texts().items():
            (tmp_path / f'{name}.toml').write_text(text)
        node = new_node(a_settings(source=f'file:{tmp_path}'), 1)
        source = FileSource(node, f'file:{tmp_path}')
        source.read_once(0)
        assert set(node.configuration.sections) == set(section_texts())
        (tmp_path / 'customers.toml').unlink()
        source.read_once(1)
        assert not accepts_key(node)

    asyncio.run(scenario())


def test_section_fault_and_recovery_are_logged_once():
    node = a_configured_node()
    node.events.clear()
    apply_sections(node, [('customers', Revision(2), 'broken')], 0)
    apply_sections(node, [('customers', Revision(2), 'broken')], 0)
    apply_sections(node, [('customers', Revision(3), customer_text())], 0)
    refused, accepted = node.events.pending
    assert refused.name == 'section_refused'
    assert refused.fields['section'] == 'customers'
    assert refused.fields['faults'][0].startswith('syntax: ')
    assert accepted.name == 'section_accepted'
    assert accepted.fields['revision'] == 3


def test_unreadable_files_are_logged_once(tmp_path):
    path = tmp_path / 'document.toml'
    node = new_node(a_settings(), 1)
    source = FileSource(node, f'file:{path}')
    source.read_once(0)
    source.read_once(1)
    path.write_text('')
    source.read_once(2)
    names = [event.name for event in node.events.pending]
    assert names[:2] == ['source_unreadable', 'source_regained']
    assert node.counters.total('source_failures') == 2


def test_section_that_is_not_utf8_is_ignored():
    async def scenario():
        async with a_store_with_a_source() as (platform, node):
            await wait_until(lambda: accepts_key(node))
            revision = Revision(99, epoch=1)
            item = StoredItem('sections/customers', revision, b'\xff')
            apply_items(node, [item], revision, 0)
            assert accepts_key(node)
            assert node.counters.total('store_items_refused') == 1

    asyncio.run(scenario())


def test_invalid_source_url_is_rejected():
    with pytest.raises(UnknownName):
        new_source(new_node(a_settings(source='ftp:x'), 1))
    with pytest.raises(SettingsError):
        new_source(new_node(a_settings(source='store://nowhere'), 1))
