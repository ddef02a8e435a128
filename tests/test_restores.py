"""Tests of what instances believe of a store that returned from a copy."""

import pytest

from chervilstep.commands.replica import (
    POSTPONE_SECONDS,
    UNCERTAIN_SECONDS,
    apply_items,
    apply_listing,
    apply_postponed,
    handle_replica_query,
    record_store_answer,
)
from chervilstep.queries.restores import Later, later_value
from chervilstep.revisions import Revision
from tests.platform_builders import (
    a_configuration,
    a_rule,
    a_server_entry,
    a_stored_item,
)
from tests.replica_builders import a_query, a_replica_node, ask, lose_store

CONFIGURATION_KEY = 'op/config'
SERVER_KEY = 'servers/i-1'
ZONE_KEY = 'op/evacuate/akl'
#: The revisions before and after the copy from which the store returned.
COPIED = 10
LOST = 20
#: The store removes an entry after three heartbeats of silence.
EXPIRY_SECONDS = 4.5


def an_entry(sequence, born=1700, **status):
    return a_server_entry(
        born=born,
        status={
            'state': 'ready',
            'seqNo': sequence,
            'coldLeftS': 0,
            **status,
        },
    )


def an_informed_node(**lost):
    """Returns an instance that has read all up to the lost changes.

    The copy has version 7, a server and no withdrawn zone.
    """
    node = a_replica_node()
    apply_listing(node, copied_items(epoch=1), Revision(COPIED, epoch=1), 0)
    keys = {
        'config': CONFIGURATION_KEY,
        'server': SERVER_KEY,
        'zone': ZONE_KEY,
        'other': 'servers/i-2',
    }
    items = [
        a_stored_item(keys[name], table, LOST + index, epoch=1)
        for index, (name, table) in enumerate(lost.items())
    ]
    apply_items(node, items, Revision(LOST + len(items), epoch=1), 1)
    return node


def copied_items(epoch):
    return [
        a_stored_item(CONFIGURATION_KEY, a_configuration(version=7), 2, epoch),
        a_stored_item(SERVER_KEY, an_entry(4), 3, epoch),
    ]


def restore(node, *items, now=2, as_of=COPIED):
    """Lets an instance list the store for the first time after its return."""
    listed = items or copied_items(epoch=2)
    apply_listing(node, listed, Revision(as_of, epoch=2), now)


def upstreams(node):
    service = node.snapshot.services['huvo11a']
    return {each.identity: each for each in service.upstreams}


def test_older_configuration_of_the_copy_is_not_taken():
    node = an_informed_node(config=a_configuration(version=9))
    restore(node)
    assert node.snapshot.version == 9
    assert not node.counters.total('store_items_refused')


def test_newer_configuration_under_a_lower_revision_is_in_force():
    """Guards against an instance that went on by an older configuration."""
    node = an_informed_node(config=a_configuration(version=9))
    restore(node)
    newer = a_configuration(version=12, rules=[a_rule(name='moved')])
    item = a_stored_item(CONFIGURATION_KEY, newer, COPIED + 1, epoch=2)
    apply_items(node, [item], Revision(COPIED + 1, epoch=2), 3)
    assert node.snapshot.version == 12


def test_newer_configuration_in_the_first_listing_is_in_force():
    node = an_informed_node(config=a_configuration(version=9))
    newer = a_configuration(version=12)
    restore(node, a_stored_item(CONFIGURATION_KEY, newer, COPIED, epoch=2))
    assert node.snapshot.version == 12


def test_configuration_that_the_copy_lacks_stays_in_force():
    node = an_informed_node(config=a_configuration(version=9))
    restore(node, a_stored_item(SERVER_KEY, an_entry(4), 3, epoch=2))
    apply_postponed(node, 2 + UNCERTAIN_SECONDS)
    assert node.snapshot.version == 9


def test_leaving_upstream_stays_leaving_until_it_writes_again():
    node = an_informed_node(server=an_entry(8, state='draining'))
    restore(node)
    assert upstreams(node)['i-1'].is_leaving
    again = an_entry(9, state='draining')
    item = a_stored_item(SERVER_KEY, again, COPIED + 1, epoch=2)
    apply_items(node, [item], Revision(COPIED + 1, epoch=2), 3)
    assert upstreams(node)['i-1'].is_leaving


def test_upstream_that_left_stays_removed_until_its_entry_expires():
    node = an_informed_node(server=None)
    restore(node)
    apply_postponed(node, 2 + EXPIRY_SECONDS)
    assert not upstreams(node)
    expired = a_stored_item(SERVER_KEY, None, COPIED + 1, epoch=2)
    apply_items(
        node, [expired], Revision(COPIED + 1, epoch=2), 2 + EXPIRY_SECONDS
    )
    apply_postponed(node, 2 + 10 * UNCERTAIN_SECONDS)
    assert not upstreams(node)


def test_upstream_whose_entry_does_not_expire_is_used_again():
    """Guards against an upstream that was taken for gone for good."""
    node = an_informed_node(server=None)
    restore(node)
    apply_postponed(node, 2 + UNCERTAIN_SECONDS)
    assert set(upstreams(node)) == {'i-1'}


def test_second_restore_in_a_row_prolongs_the_wait_of_deletions():
    """Guards against an upstream that was dropped before it registered again."""
    node = an_informed_node(other=an_entry(1))
    lose_store(node, 1, 3)
    record_store_answer(node, 3)
    restore(node, now=3)
    record_store_answer(node, 4)
    apply_listing(node, copied_items(epoch=3), Revision(COPIED, epoch=3), 4)
    apply_postponed(node, 4 + POSTPONE_SECONDS - 0.1)
    assert set(upstreams(node)) == {'i-1', 'i-2'}
    apply_postponed(node, 4 + POSTPONE_SECONDS)
    assert set(upstreams(node)) == {'i-1'}


LATER_ENTRIES = [an_entry(1, born=1800), an_entry(9), an_entry(9, born=1800)]


@pytest.mark.parametrize('entry', LATER_ENTRIES)
def test_upstream_that_registered_again_is_used_at_once(entry):
    node = an_informed_node(server=None)
    item = a_stored_item(SERVER_KEY, entry, LOST, epoch=2)
    restore(node, item, as_of=LOST)
    assert 'i-1' in upstreams(node)


@pytest.mark.parametrize('entry', LATER_ENTRIES)
def test_upstream_that_may_have_left_again_waits_for_its_writer(entry):
    """Guards against an entry that was written and removed unseen."""
    node = an_informed_node(server=None)
    restore(node, a_stored_item(SERVER_KEY, entry, COPIED, epoch=2))
    assert not upstreams(node)
    apply_postponed(node, 2 + UNCERTAIN_SECONDS)
    assert 'i-1' in upstreams(node)


def test_uncertain_entry_that_the_next_listing_lacks_is_never_used():
    """Guards against an upstream that left and was used after a wait."""
    node = an_informed_node()
    uncertain = a_stored_item('servers/i-2', an_entry(1), 5, epoch=2)
    restore(node, *copied_items(epoch=2), uncertain)
    apply_listing(node, copied_items(epoch=2), Revision(COPIED + 1, epoch=2), 3)
    apply_postponed(node, 2 + 2 * UNCERTAIN_SECONDS)
    assert set(upstreams(node)) == {'i-1'}


def test_upstream_that_the_copy_lacks_is_kept_as_after_an_outage():
    node = an_informed_node(other=an_entry(1))
    restore(node)
    apply_postponed(node, 2 + POSTPONE_SECONDS - 0.1)
    assert set(upstreams(node)) == {'i-1', 'i-2'}
    apply_postponed(node, 2 + POSTPONE_SECONDS)
    assert set(upstreams(node)) == {'i-1'}


def test_removal_after_the_return_is_heard():
    """Guards against an upstream that left and was used for good."""
    node = an_informed_node()
    restore(node)
    removal = a_stored_item(SERVER_KEY, None, COPIED + 1, epoch=2)
    apply_items(node, [removal], Revision(COPIED + 1, epoch=2), 2.5)
    apply_postponed(node, 2 + POSTPONE_SECONDS)
    assert not upstreams(node)


@pytest.mark.parametrize('as_of', [COPIED, LOST + 5])
def test_zone_that_was_withdrawn_after_the_copy_stays_withdrawn(as_of):
    node = an_informed_node(zone={})
    restore(node, as_of=as_of)
    apply_postponed(node, 2 + POSTPONE_SECONDS)
    assert node.snapshot.is_withdrawn('akl')
    again = a_stored_item(ZONE_KEY, {}, as_of + 1, epoch=2)
    apply_items(node, [again], Revision(as_of + 1, epoch=2), 5)
    apply_postponed(node, 2 + 2 * UNCERTAIN_SECONDS)
    assert node.snapshot.is_withdrawn('akl')


def test_zone_that_nobody_withdraws_again_is_restored():
    node = an_informed_node(zone={})
    restore(node)
    apply_postponed(node, 2 + UNCERTAIN_SECONDS)
    assert not node.snapshot.is_withdrawn('akl')


def test_zone_that_was_restored_after_the_copy_stays_in_service():
    withdrawn = a_stored_item(ZONE_KEY, {}, COPIED, epoch=1)
    node = an_informed_node()
    apply_items(node, [withdrawn], Revision(LOST, epoch=1), 1)
    restored = a_stored_item(ZONE_KEY, None, LOST + 1, epoch=1)
    apply_items(node, [restored], Revision(LOST + 1, epoch=1), 1)
    copied = a_stored_item(ZONE_KEY, {}, COPIED, epoch=2)
    restore(node, *copied_items(epoch=2), copied)
    assert not node.snapshot.is_withdrawn('akl')


def test_withdrawal_that_is_not_known_holds_at_once():
    node = an_informed_node()
    withdrawn = a_stored_item(ZONE_KEY, {}, COPIED, epoch=2)
    restore(node, *copied_items(epoch=2), withdrawn)
    assert node.snapshot.is_withdrawn('akl')


def test_item_without_an_order_waits_for_its_writer():
    node = an_informed_node()
    known = a_stored_item('other/x', {'text': 'new'}, LOST, epoch=1)
    apply_items(node, [known], Revision(LOST, epoch=1), 1)
    older = a_stored_item('other/x', {'text': 'old'}, 5, epoch=2)
    restore(node, *copied_items(epoch=2), older)
    assert node.replica.items['other/x'].value == known.value
    apply_postponed(node, 2 + UNCERTAIN_SECONDS)
    assert node.replica.items['other/x'].value == older.value


def test_undecodable_entry_of_the_copy_waits_for_its_writer():
    node = an_informed_node(server=an_entry(8))
    odd = a_stored_item(SERVER_KEY, {'status': 'odd'}, 3, epoch=2)
    assert later_value(node, odd) is Later.UNCERTAIN


def test_peer_of_the_old_epoch_changes_nothing_in_the_new_one():
    node = an_informed_node()
    restore(node)
    behind = an_informed_node(
        config=a_configuration(version=9), other=an_entry(1)
    )
    lose_store(node, 3, 5)
    ask(node, behind, 5)
    assert node.snapshot.version == 7
    assert set(upstreams(node)) == {'i-1'}
    assert node.replica.as_of == Revision(COPIED, epoch=2)


def test_peer_of_the_new_epoch_tells_what_is_new():
    provider = an_informed_node()
    restore(provider)
    item = a_stored_item(
        CONFIGURATION_KEY, a_configuration(version=12), COPIED + 1, epoch=2
    )
    apply_items(provider, [item], Revision(COPIED + 1, epoch=2), 3)
    node = an_informed_node(server=None)
    lose_store(node, 3, 5)
    ask(node, provider, 5)
    assert node.snapshot.version == 12
    assert not upstreams(node)
    # What the store has deleted since the copy, only a listing tells.
    assert node.replica.as_of.epoch == 1


def test_peer_of_the_old_epoch_gets_no_claim_to_be_complete():
    provider = an_informed_node()
    restore(provider)
    node = an_informed_node()
    handle_replica_query(provider, 'entry-1', a_query(node), 3)
    (envelope,) = provider.outbox.envelopes
    complete_from = Revision(*envelope.message.complete_from)
    assert complete_from > node.replica.as_of


def test_restore_is_logged_with_both_epochs():
    node = an_informed_node()
    node.events.clear()
    restore(node)
    (event,) = node.events.pending
    assert event.name == 'store_restored'
    assert event.fields['store_epoch'] == 2
    assert event.fields['previous_epoch'] == 1


def test_first_listing_after_items_of_peers_is_no_restore():
    """Guards against a restart that was taken for a restore of the store."""
    provider = an_informed_node()
    node = a_replica_node()
    lose_store(node, 0, 2)
    ask(node, provider, 2)
    assert node.snapshot.version == 7
    apply_listing(node, copied_items(epoch=1), Revision(COPIED, epoch=1), 3)
    assert not node.counters.total('store_restores')


def test_starting_instance_knows_the_old_epoch_from_peers():
    provider = an_informed_node(config=a_configuration(version=9))
    node = a_replica_node()
    lose_store(node, 0, 2)
    ask(node, provider, 2)
    restore(node)
    assert node.snapshot.version == 9
    assert node.counters.total('store_restores') == 1
