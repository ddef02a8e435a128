"""Tests of the commands and queries of the store stand-in."""

from lab.commands.platform_faults import PLATFORM_FAULTS
from lab.queries.values import changed_values, visible_revision, visible_values
from tests.lab_builders import a_store


def test_watch_returns_last_change_of_each_key():
    store = a_store('config/a', 'config/b', 'config/a', 'instances/x')
    changed = changed_values(store, 'config/', 2)
    assert sorted(value.revision for value in changed) == [3, 4]


def test_deleted_key_is_watched_but_not_listed():
    store = a_store('config/a')
    store.put('config/a', None)
    assert not visible_values(store, 'config/')
    assert [value.text for value in changed_values(store, 'config/', 1)] == [
        None
    ]


def test_stale_store_serves_old_revision():
    store = a_store('config/a')
    PLATFORM_FAULTS.find('stale')(store, '')
    store.put('config/a', 'newer')
    assert visible_revision(store) == 2
    PLATFORM_FAULTS.find('recover')(store, '')
    assert visible_values(store, 'config/')[0].text == 'newer'


def test_restored_store_gives_out_revisions_again():
    store = a_store('config/a', 'config/b')
    PLATFORM_FAULTS.find('restore')(store, '2')
    assert store.epoch == 2
    assert [value.key for value in visible_values(store, '')] == ['config/a']
    store.put('config/c', 'new')
    assert store.newest_revision == 3
