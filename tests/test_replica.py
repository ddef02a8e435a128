"""Tests of the replica of the platform's store and its configuration."""

import pytest

from chervilstep.commands.replica import (
    MAX_POSTPONE_SECONDS,
    POSTPONE_SECONDS,
    ReplicaItems,
    apply_items,
    apply_listing,
    apply_postponed,
    handle_replica_items,
    handle_replica_query,
    query_peer,
    record_store_answer,
    record_store_failure,
)
from chervilstep.exceptions import PeerError
from chervilstep.queries.replica import store_age
from chervilstep.queries.soonest import SOONEST
from chervilstep.revisions import Revision
from tests.platform_builders import (
    a_changed_entry,
    a_configuration,
    a_rule,
    a_server_entry,
    a_stored_item,
)
from tests.replica_builders import a_query, a_replica_node, ask, lose_store

CONFIGURATION_KEY = 'op/config'
SERVER_KEY = 'servers/i-1'
EVACUATION_KEY = 'op/evacuate/akl'


def a_configured_node():
    node = a_replica_node()
    items = [
        a_stored_item(CONFIGURATION_KEY, a_configuration(), 2),
        a_stored_item(SERVER_KEY, a_server_entry(), 3),
    ]
    apply_listing(node, items, Revision(3), 0)
    return node


def upstream_names(node):
    return [each.identity for each in the_service(node).upstreams]


def the_service(node):
    return node.snapshot.services['huvo11a']


def test_listing_is_applied_to_the_configuration():
    node = a_configured_node()
    assert upstream_names(node) == ['i-1']
    assert the_service(node).policy == SOONEST
    assert node.snapshot.version == 7


def test_no_routes_exist_before_the_first_configuration():
    node = a_replica_node()
    apply_items(
        node, [a_stored_item(SERVER_KEY, a_server_entry())], Revision(1), 0
    )
    assert not node.snapshot.routes


def test_older_configuration_version_is_refused():
    node = a_configured_node()
    older = a_configuration(version=6, rules=[a_rule(name='old')])
    apply_items(
        node, [a_stored_item(CONFIGURATION_KEY, older, 9)], Revision(9), 0
    )
    assert node.snapshot.version == 7
    assert node.snapshot.routes[0].name == 'r-1'
    assert node.counters.total('store_items_refused') == 1


def test_older_revision_is_ignored():
    node = a_configured_node()
    apply_items(node, [a_stored_item(SERVER_KEY, None, 2)], Revision(4), 0)
    assert upstream_names(node) == ['i-1']


def test_draining_and_deleted_servers():
    node = a_configured_node()
    apply_items(
        node,
        [a_stored_item(SERVER_KEY, a_server_entry(state='draining'), 4)],
        Revision(4),
        0,
    )
    assert the_service(node).upstreams[0].is_leaving
    apply_items(node, [a_stored_item(SERVER_KEY, None, 5)], Revision(5), 0)
    assert not upstream_names(node)


def test_keys_missing_from_a_listing_are_deleted():
    node = a_configured_node()
    kept = [a_stored_item(CONFIGURATION_KEY, a_configuration(), 2)]
    apply_listing(node, kept, Revision(8), 0)
    assert not upstream_names(node)
    # An older revision from a delayed watch does not restore the server.
    apply_items(
        node, [a_stored_item(SERVER_KEY, a_server_entry(), 7)], Revision(8), 0
    )
    assert not upstream_names(node)


def test_invalid_item_does_not_affect_other_items():
    node = a_configured_node()
    items = [
        a_stored_item('servers/i-2', a_server_entry(state='dancing'), 4),
        a_stored_item('servers/i-3', a_server_entry(port=8081), 5),
        a_stored_item('else/where', {}, 6),
    ]
    apply_items(node, items, Revision(6), 0)
    assert upstream_names(node) == ['i-1', 'i-3']


def test_restored_zone_starts_cold():
    node = a_configured_node()
    apply_items(node, [a_stored_item(EVACUATION_KEY, {}, 4)], Revision(4), 10)
    assert node.snapshot.is_withdrawn('akl')
    apply_items(node, [a_stored_item(EVACUATION_KEY, None, 5)], Revision(5), 20)
    assert not node.snapshot.is_withdrawn('akl')
    health = node.health.by_upstream['i-1']
    assert health.is_cold(20 + 2.9)
    assert not health.is_cold(20 + 3.1)


def test_deletions_after_an_outage_are_postponed():
    node = a_configured_node()
    lose_store(node, 10, 15)
    record_store_answer(node, 15)
    listed = [a_stored_item(CONFIGURATION_KEY, a_configuration(), 2)]
    apply_listing(node, listed, Revision(9), 15)
    assert upstream_names(node) == ['i-1']
    apply_postponed(node, 15 + POSTPONE_SECONDS - 0.1)
    assert upstream_names(node) == ['i-1']
    apply_postponed(node, 15 + POSTPONE_SECONDS)
    assert not upstream_names(node)


def test_server_registered_again_in_time_is_kept():
    node = a_configured_node()
    lose_store(node, 10, 15)
    record_store_answer(node, 15)
    apply_listing(
        node,
        [a_stored_item(CONFIGURATION_KEY, a_configuration(), 2)],
        Revision(9),
        15,
    )
    apply_items(
        node,
        [a_stored_item(SERVER_KEY, a_server_entry(), 10)],
        Revision(10),
        16,
    )
    apply_postponed(node, 20)
    assert upstream_names(node) == ['i-1']


def test_short_outage_postpones_nothing():
    node = a_configured_node()
    lose_store(node, 10, 10.3)
    record_store_answer(node, 10.3)
    apply_items(node, [a_stored_item(SERVER_KEY, None, 9)], Revision(9), 10.4)
    assert not upstream_names(node)


def test_peer_provides_items_while_the_store_is_unavailable():
    provider, requester = a_replica_node(), a_replica_node()
    for each in (provider, requester):
        apply_listing(each, [], Revision(1), 0)
    items = [
        a_stored_item(CONFIGURATION_KEY, a_configuration(), 2),
        a_stored_item(SERVER_KEY, a_server_entry(), 3),
    ]
    apply_items(provider, items, Revision(3), 0)
    lose_store(requester, 0, 1)
    requester.members.get_or_create_peer('entry-2').record_connect()
    query_peer(requester, 1)
    (query,) = requester.outbox.envelopes
    handle_replica_query(provider, 'entry-1', query.message, 1)
    (reply,) = provider.outbox.envelopes
    handle_replica_items(requester, 'entry-2', reply.message, 1)
    assert upstream_names(requester) == ['i-1']
    assert requester.replica.as_of == provider.replica.as_of
    provider.outbox.clear()
    handle_replica_query(provider, 'entry-1', a_query(requester), 2)
    assert not provider.outbox.envelopes


def test_no_peer_is_queried_while_the_store_is_available():
    node = a_configured_node()
    node.members.get_or_create_peer('entry-2').record_connect()
    query_peer(node, 1)
    assert not node.outbox.envelopes


@pytest.mark.parametrize(
    'entry',
    [
        (),
        ('a', (1, 0)),
        (1, (1, 0), b''),
        ('a', 'b', b''),
        ('a', 1, b''),
        ('a', (1,), b''),
        ('a', (1, 0, 0), b''),
        ('a', ('b', 0), b''),
        ('a', (1, 'b'), b''),
        ('a', (1, 0), 'text'),
    ],
)
def test_malformed_entry_is_a_peer_error(entry):
    with pytest.raises(PeerError):
        handle_replica_items(
            a_replica_node(),
            'entry-2',
            ReplicaItems([entry], (0, 0), (5, 0), (5, 0)),
            0,
        )


def test_repeated_refusals_of_a_key_are_logged_once_in_a_while():
    node = a_configured_node()
    for revision in range(4, 104):
        odd = a_stored_item('servers/i-2', {}, revision)
        apply_items(node, [odd], Revision(revision), revision / 100)
    assert node.counters.total('store_items_refused') == 100
    names = [event.name for event in node.events.pending]
    assert names.count('item_refused') == 1


def test_odd_entry_of_a_listed_server_removes_it_until_the_next_one():
    node = a_configured_node()
    odd = a_changed_entry('info.slots', '1000000000')
    apply_items(node, [a_stored_item(SERVER_KEY, odd, 4)], Revision(4), 0)
    assert not upstream_names(node)
    apply_items(
        node, [a_stored_item(SERVER_KEY, a_server_entry(), 5)], Revision(5), 0
    )
    assert upstream_names(node) == ['i-1']


def test_removal_from_before_a_listing_is_heard_from_the_store():
    """Guards against a restarted peer that hid a removal it never saw."""
    node = a_configured_node()
    restarted = a_replica_node()
    listed = [a_stored_item(CONFIGURATION_KEY, a_configuration(), 2)]
    apply_listing(restarted, listed, Revision(9), 0)
    lose_store(node, 10, 15)
    ask(node, restarted, 15)
    assert node.replica.as_of == Revision(3)
    record_store_answer(node, 15)
    apply_items(node, [a_stored_item(SERVER_KEY, None, 8)], Revision(9), 15)
    apply_postponed(node, 18)
    assert not upstream_names(node)


def test_removal_that_a_peer_has_postponed_is_not_hidden():
    """Guards against a peer whose answer left out what it had postponed."""
    node, postponing = a_configured_node(), a_configured_node()
    for each in (node, postponing):
        lose_store(each, 10, 15)
    record_store_answer(postponing, 15)
    news = [
        a_stored_item(SERVER_KEY, None, 4),
        a_stored_item('servers/i-2', a_server_entry(port=8081), 5),
    ]
    apply_items(postponing, news, Revision(5), 15)
    ask(node, postponing, 15.5)
    assert upstream_names(node) == ['i-1', 'i-2']
    assert node.replica.as_of == Revision(3)
    apply_postponed(postponing, 18)
    ask(node, postponing, 18)
    assert upstream_names(node) == ['i-2']
    assert node.replica.as_of == Revision(5)


def test_incomplete_items_are_not_passed_on_as_complete():
    first, second = a_configured_node(), a_configured_node()
    restarted = a_replica_node()
    listed = [
        a_stored_item(CONFIGURATION_KEY, a_configuration(version=8), 7),
        a_stored_item('servers/i-2', a_server_entry(port=8081), 8),
    ]
    apply_listing(restarted, listed, Revision(9), 0)
    for each in (first, second):
        lose_store(each, 10, 15)
    ask(first, restarted, 15)
    ask(second, first, 15)
    for each in (first, second):
        assert each.snapshot.version == 8
        assert upstream_names(each) == ['i-1', 'i-2']
        assert each.replica.as_of == Revision(3)


def test_items_received_once_are_not_sent_again():
    node, restarted = a_configured_node(), a_replica_node()
    listed = [a_stored_item('servers/i-2', a_server_entry(port=8081), 8)]
    apply_listing(restarted, listed, Revision(9), 0)
    lose_store(node, 10, 15)
    assert ask(node, restarted, 15)
    assert not ask(node, restarted, 16)


def test_deletions_wait_no_longer_than_the_store_can_have_been_back():
    """Guards against an upstream that left and was used 3 s after a cut."""
    node = a_configured_node()
    record_store_failure(node, 'TimeoutError', 10, 11)
    record_store_failure(node, 'TimeoutError', 13.5, 15)
    record_store_answer(node, 15)
    listed = [a_stored_item(CONFIGURATION_KEY, a_configuration(), 2)]
    apply_listing(node, listed, Revision(9), 15)
    apply_postponed(node, 16.1)
    assert upstream_names(node) == ['i-1']
    apply_postponed(node, 13.5 + MAX_POSTPONE_SECONDS)
    assert not upstream_names(node)


@pytest.mark.parametrize('revision', [-1, 2**63, 1.5, '4', True])
def test_revisions_of_peers_are_bounded(revision):
    sound = (1, 1)
    for odd in ((revision, 1), (1, revision), revision):
        for pairs in (
            (odd, sound, sound),
            (sound, odd, sound),
            (sound, sound, odd),
        ):
            with pytest.raises(PeerError):
                ReplicaItems([], *pairs)


def test_items_with_outdated_revisions_are_counted_and_logged_once():
    node = a_configured_node()
    node.events.clear()
    for now in (1, 2):
        older = a_stored_item(SERVER_KEY, a_server_entry(port=8081), 2)
        apply_items(node, [older], Revision(3), now)
    assert node.counters.total('store_items_outdated') == 2
    (event,) = node.events.pending
    assert event.name == 'items_outdated'
    assert event.fields['revision'] == 2
    assert event.fields['known_revision'] == 3


def test_items_that_are_listed_again_are_not_outdated():
    node = a_configured_node()
    apply_listing(
        node,
        [a_stored_item(CONFIGURATION_KEY, a_configuration(), 2)],
        Revision(3),
        0,
    )
    assert not node.counters.total('store_items_outdated')


def test_age_of_the_stores_last_answer():
    node = a_replica_node()
    assert store_age(node, 5) is None
    record_store_answer(node, 6)
    assert store_age(node, 8.5) == 2.5
