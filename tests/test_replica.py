"""Tests of the replica of the platform's store and its configuration."""

import pytest

from chervilstep.commands.replica import (
    POSTPONE_SECONDS,
    ReplicaItems,
    ReplicaQuery,
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
from chervilstep.node import new_node
from chervilstep.queries.soonest import SOONEST
from tests.builders import a_settings
from tests.platform_builders import (
    a_changed_entry,
    a_configuration,
    a_rule,
    a_server_entry,
    a_stored_item,
)

CONFIGURATION_KEY = 'op/config'
SERVER_KEY = 'servers/i-1'
EVACUATION_KEY = 'op/evacuate/akl'


def a_replica_node():
    node = new_node(a_settings(), 1)
    node.replica.enable()
    return node


def a_configured_node():
    node = a_replica_node()
    items = [
        a_stored_item(CONFIGURATION_KEY, a_configuration(), 2),
        a_stored_item(SERVER_KEY, a_server_entry(), 3),
    ]
    apply_listing(node, items, 3, 0)
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
    apply_items(node, [a_stored_item(SERVER_KEY, a_server_entry())], 1, 0)
    assert not node.snapshot.routes


def test_older_configuration_version_is_refused():
    node = a_configured_node()
    older = a_configuration(version=6, rules=[a_rule(name='old')])
    apply_items(node, [a_stored_item(CONFIGURATION_KEY, older, 9)], 9, 0)
    assert node.snapshot.version == 7
    assert node.snapshot.routes[0].name == 'r-1'
    assert node.counters.total('store_items_refused') == 1


def test_older_revision_is_ignored():
    node = a_configured_node()
    apply_items(node, [a_stored_item(SERVER_KEY, None, 2)], 4, 0)
    assert upstream_names(node) == ['i-1']


def test_draining_and_deleted_servers():
    node = a_configured_node()
    apply_items(
        node,
        [a_stored_item(SERVER_KEY, a_server_entry(state='draining'), 4)],
        4,
        0,
    )
    assert the_service(node).upstreams[0].is_leaving
    apply_items(node, [a_stored_item(SERVER_KEY, None, 5)], 5, 0)
    assert not upstream_names(node)


def test_keys_missing_from_a_listing_are_deleted():
    node = a_configured_node()
    kept = [a_stored_item(CONFIGURATION_KEY, a_configuration(), 2)]
    apply_listing(node, kept, 8, 0)
    assert not upstream_names(node)
    # An older revision from a delayed watch does not restore the server.
    apply_items(node, [a_stored_item(SERVER_KEY, a_server_entry(), 7)], 8, 0)
    assert not upstream_names(node)


def test_invalid_item_does_not_affect_other_items():
    node = a_configured_node()
    items = [
        a_stored_item('servers/i-2', a_server_entry(state='dancing'), 4),
        a_stored_item('servers/i-3', a_server_entry(port=8081), 5),
        a_stored_item('else/where', {}, 6),
    ]
    apply_items(node, items, 6, 0)
    assert upstream_names(node) == ['i-1', 'i-3']


def test_restored_zone_starts_cold():
    node = a_configured_node()
    apply_items(node, [a_stored_item(EVACUATION_KEY, {}, 4)], 4, 10)
    assert node.snapshot.is_withdrawn('akl')
    apply_items(node, [a_stored_item(EVACUATION_KEY, None, 5)], 5, 20)
    assert not node.snapshot.is_withdrawn('akl')
    health = node.health.by_upstream['i-1']
    assert health.is_cold(20 + 2.9)
    assert not health.is_cold(20 + 3.1)


def test_deletions_after_an_outage_are_postponed():
    node = a_configured_node()
    record_store_failure(node, 'reset', 10)
    record_store_answer(node, 15)
    listed = [a_stored_item(CONFIGURATION_KEY, a_configuration(), 2)]
    apply_listing(node, listed, 9, 15)
    assert upstream_names(node) == ['i-1']
    apply_postponed(node, 15 + POSTPONE_SECONDS - 0.1)
    assert upstream_names(node) == ['i-1']
    apply_postponed(node, 15 + POSTPONE_SECONDS)
    assert not upstream_names(node)


def test_server_registered_again_in_time_is_kept():
    node = a_configured_node()
    record_store_failure(node, 'reset', 10)
    record_store_answer(node, 15)
    apply_listing(
        node, [a_stored_item(CONFIGURATION_KEY, a_configuration(), 2)], 9, 15
    )
    apply_items(node, [a_stored_item(SERVER_KEY, a_server_entry(), 10)], 10, 16)
    apply_postponed(node, 20)
    assert upstream_names(node) == ['i-1']


def test_short_outage_postpones_nothing():
    node = a_configured_node()
    record_store_failure(node, 'reset', 10)
    record_store_answer(node, 10.3)
    apply_items(node, [a_stored_item(SERVER_KEY, None, 9)], 9, 10.4)
    assert not upstream_names(node)


def test_peer_provides_items_while_the_store_is_unavailable():
    provider = a_configured_node()
    requester = a_replica_node()
    record_store_failure(requester, 'status 503', 0)
    requester.members.get_or_create_peer('entry-2').record_connect()
    query_peer(requester, 1)
    (query,) = requester.outbox.envelopes
    handle_replica_query(provider, 'entry-1', query.message, 1)
    (reply,) = provider.outbox.envelopes
    handle_replica_items(requester, 'entry-2', reply.message, 1)
    assert upstream_names(requester) == ['i-1']
    assert requester.replica.as_of == provider.replica.as_of
    provider.outbox.clear()
    handle_replica_query(
        provider, 'entry-1', ReplicaQuery(requester.replica.as_of), 2
    )
    assert not provider.outbox.envelopes


def test_no_peer_is_queried_while_the_store_is_available():
    node = a_configured_node()
    node.members.get_or_create_peer('entry-2').record_connect()
    query_peer(node, 1)
    assert not node.outbox.envelopes


@pytest.mark.parametrize(
    'entry', [(), ('a', 1), (1, 1, b''), ('a', 'b', b''), ('a', 1, 'text')]
)
def test_malformed_entry_is_a_peer_error(entry):
    with pytest.raises(PeerError):
        handle_replica_items(
            a_replica_node(), 'entry-2', ReplicaItems([entry], 5), 0
        )


def test_repeated_refusals_of_a_key_are_logged_once_in_a_while():
    node = a_configured_node()
    for revision in range(4, 104):
        odd = a_stored_item('servers/i-2', {}, revision)
        apply_items(node, [odd], revision, revision / 100)
    assert node.counters.total('store_items_refused') == 100
    names = [event.name for event in node.events.pending]
    assert names.count('item_refused') == 1


def test_odd_entry_of_a_listed_server_removes_it_until_the_next_one():
    node = a_configured_node()
    odd = a_changed_entry('info.slots', '1000000000')
    apply_items(node, [a_stored_item(SERVER_KEY, odd, 4)], 4, 0)
    assert not upstream_names(node)
    apply_items(node, [a_stored_item(SERVER_KEY, a_server_entry(), 5)], 5, 0)
    assert upstream_names(node) == ['i-1']
