"""Tests of the copy of the platform's store and of what it puts in force."""

import pytest

from chervilstep.commands.replica import (
    RETURN_SECONDS,
    ReplicaAsk,
    ReplicaItems,
    answer_peer,
    apply_postponed,
    ask_peer,
    lose_store,
    regain_store,
    take_items,
    take_listing,
    take_peer_items,
)
from chervilstep.exceptions import PeerError
from chervilstep.node import new_node
from chervilstep.queries.soonest import SOONEST
from tests.builders import a_settings
from tests.platform_builders import (
    a_configuration,
    a_rule,
    an_entry,
    an_item,
)

CONFIGURATION = 'op/config'
SERVER = 'servers/i-1'
WITHDRAWAL = 'op/evacuate/akl'


def a_following_node():
    node = new_node(a_settings(), 1)
    node.replica.follow()
    return node


def a_served_node():
    node = a_following_node()
    items = [
        an_item(CONFIGURATION, a_configuration(), 2),
        an_item(SERVER, an_entry(), 3),
    ]
    take_listing(node, items, 3, 0)
    return node


def upstreams(node):
    return [each.identity for each in the_service(node).upstreams]


def the_service(node):
    return node.snapshot.services['huvo11a']


def test_listing_is_put_in_force():
    node = a_served_node()
    assert upstreams(node) == ['i-1']
    assert the_service(node).policy == SOONEST
    assert node.snapshot.version == 7


def test_nothing_is_served_before_the_first_configuration():
    node = a_following_node()
    take_items(node, [an_item(SERVER, an_entry())], 1, 0)
    assert not node.snapshot.routes


def test_older_version_never_replaces_a_newer():
    node = a_served_node()
    older = a_configuration(version=6, rules=[a_rule(name='old')])
    take_items(node, [an_item(CONFIGURATION, older, 9)], 9, 0)
    assert node.snapshot.version == 7
    assert node.snapshot.routes[0].name == 'r-1'
    assert node.counters.total('store_items_refused') == 1


def test_older_revision_is_left():
    node = a_served_node()
    take_items(node, [an_item(SERVER, None, 2)], 4, 0)
    assert upstreams(node) == ['i-1']


def test_leaving_and_gone_servers():
    node = a_served_node()
    take_items(node, [an_item(SERVER, an_entry(state='draining'), 4)], 4, 0)
    assert the_service(node).upstreams[0].is_leaving
    take_items(node, [an_item(SERVER, None, 5)], 5, 0)
    assert not upstreams(node)


def test_what_a_listing_lacks_was_deleted():
    node = a_served_node()
    kept = [an_item(CONFIGURATION, a_configuration(), 2)]
    take_listing(node, kept, 8, 0)
    assert not upstreams(node)
    # A watch that was behind the listing brings nothing back.
    take_items(node, [an_item(SERVER, an_entry(), 7)], 8, 0)
    assert not upstreams(node)


def test_bad_entry_names_no_server_and_the_others_hold():
    node = a_served_node()
    items = [
        an_item('servers/i-2', an_entry(state='dancing'), 4),
        an_item('servers/i-3', an_entry(port=8081), 5),
        an_item('else/where', {}, 6),
    ]
    take_items(node, items, 6, 0)
    assert upstreams(node) == ['i-1', 'i-3']


def test_withdrawn_zone_returns_cold():
    node = a_served_node()
    take_items(node, [an_item(WITHDRAWAL, {}, 4)], 4, 10)
    assert node.snapshot.is_withdrawn('akl')
    take_items(node, [an_item(WITHDRAWAL, None, 5)], 5, 20)
    assert not node.snapshot.is_withdrawn('akl')
    vitals = node.health.by_upstream['i-1']
    assert vitals.is_cold(20 + 2.9)
    assert not vitals.is_cold(20 + 3.1)


def test_lapsed_entries_have_time_to_come_back_after_an_outage():
    node = a_served_node()
    lose_store(node, 'reset', 10)
    regain_store(node, 15)
    listed = [an_item(CONFIGURATION, a_configuration(), 2)]
    take_listing(node, listed, 9, 15)
    assert upstreams(node) == ['i-1']
    apply_postponed(node, 15 + RETURN_SECONDS - 0.1)
    assert upstreams(node) == ['i-1']
    apply_postponed(node, 15 + RETURN_SECONDS)
    assert not upstreams(node)


def test_entry_that_comes_back_in_time_stays():
    node = a_served_node()
    lose_store(node, 'reset', 10)
    regain_store(node, 15)
    take_listing(node, [an_item(CONFIGURATION, a_configuration(), 2)], 9, 15)
    take_items(node, [an_item(SERVER, an_entry(), 10)], 10, 16)
    apply_postponed(node, 20)
    assert upstreams(node) == ['i-1']


def test_short_outage_postpones_nothing():
    node = a_served_node()
    lose_store(node, 'reset', 10)
    regain_store(node, 10.3)
    take_items(node, [an_item(SERVER, None, 9)], 9, 10.4)
    assert not upstreams(node)


def test_peer_passes_on_what_the_store_refuses_to_tell():
    knows = a_served_node()
    asks = a_following_node()
    lose_store(asks, 'status 503', 0)
    asks.members.view('entry-2').open()
    ask_peer(asks, 1)
    (letter,) = asks.outbox.letters
    answer_peer(knows, 'entry-1', letter.message, 1)
    (answer,) = knows.outbox.letters
    take_peer_items(asks, 'entry-2', answer.message, 1)
    assert upstreams(asks) == ['i-1']
    assert asks.replica.as_of == knows.replica.as_of
    knows.outbox.clear()
    answer_peer(knows, 'entry-1', ReplicaAsk(asks.replica.as_of), 2)
    assert not knows.outbox.letters


def test_nobody_is_asked_while_the_store_answers():
    node = a_served_node()
    node.members.view('entry-2').open()
    ask_peer(node, 1)
    assert not node.outbox.letters


@pytest.mark.parametrize(
    'entry', [(), ('a', 1), (1, 1, b''), ('a', 'b', b''), ('a', 1, 'text')]
)
def test_nonsense_is_a_fault_of_the_peer(entry):
    with pytest.raises(PeerError):
        take_peer_items(
            a_following_node(), 'entry-2', ReplicaItems([entry], 5), 0
        )
