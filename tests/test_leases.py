"""Tests of the leases: quorums, ballots, lists, restarts and take-overs."""

import pytest

from chervilstep.commands.leases import keep_leases, take_lease_answer
from chervilstep.commands.voting import take_lease_request, take_listing
from chervilstep.lease_messages import ListingNotice
from chervilstep.leases import LEASE_SECONDS, SHARDS, VOTERS_MAX, Listing
from chervilstep.queries.leases import live_shards
from chervilstep.types import Deadline
from lab.virtual_fleet import a_fleet, a_virtual_listing
from tests.builders import a_listing, a_snapshot
from tests.rate_builders import NAMES, a_lease_request, a_voter, an_answer

NOW = 100.0


def ask(voter, request, sender='entry-2', now=NOW):
    voter.outbox.clear()
    take_lease_request(voter, sender, request, now)
    return voter.outbox.letters[-1].message


def a_holder(shards=(0,), revision=1):
    """An instance that has just asked for shards."""
    holder = a_voter()
    holder.members.replace(revision, a_listing(len(NAMES)))
    for shard in range(SHARDS):
        due = NOW if shard in shards else NOW + 1000
        holder.leases.plan(shard, Deadline(due))
    keep_leases(holder, NOW)
    return holder


def answer_all(holder, names, now=NOW, **changes):
    for name in names:
        answer = an_answer(holder, granted=(0,), **changes)
        take_lease_answer(holder, name, answer, now)


@pytest.mark.parametrize('size', range(1, 30))
def test_quorums_meet(size):
    listing = Listing(1, [f'e{number}' for number in range(size)])
    voters = min(size, VOTERS_MAX)
    assert listing.quorum + listing.renewal_quorum > voters
    assert 2 * listing.quorum > voters
    assert listing.recovery_quorum + listing.quorum > voters


def test_voter_grants_a_shard_to_one_holder_at_a_time():
    voter = a_voter()
    assert ask(voter, a_lease_request()).granted == (0,)
    later = NOW + LEASE_SECONDS - 0.01
    assert not ask(voter, a_lease_request(), 'entry-3', later).granted
    ended = NOW + LEASE_SECONDS
    answer = ask(voter, a_lease_request(2), 'entry-3', ended)
    assert answer.granted == (0,)


def test_voter_frees_what_a_holder_asks_for_no_more():
    voter = a_voter()
    ask(voter, a_lease_request(1))
    ask(voter, a_lease_request(2, shards=()))
    assert ask(voter, a_lease_request(), 'entry-3').granted == (0,)


def test_voter_ignores_a_request_that_was_overtaken():
    voter = a_voter()
    ask(voter, a_lease_request(2))
    assert not ask(voter, a_lease_request(1, shards=())).granted
    assert not ask(voter, a_lease_request(), 'entry-3').granted


def test_voter_refuses_a_holder_that_lacks_a_newer_list():
    voter = a_voter()
    take_listing(voter, 'entry-3', ListingNotice(2, NAMES, 0), NOW)
    answer = ask(voter, a_lease_request())
    assert not answer.granted
    assert answer.revisions == (1, 2)
    assert ask(voter, a_lease_request(2, revisions=(1, 2))).granted == (0,)


def test_holder_needs_a_quorum():
    holder = a_holder()
    answer_all(holder, ('entry-2', 'entry-3'))
    assert not live_shards(holder, NOW)
    answer_all(holder, ('entry-4',))
    assert set(live_shards(holder, NOW)) == {0}


def test_lease_is_counted_from_the_request():
    holder = a_holder()
    answer_all(holder, NAMES[1:], now=NOW + 2)
    assert set(live_shards(holder, NOW + 2)) == {0}
    assert not live_shards(holder, NOW + LEASE_SECONDS)


def test_late_answers_extend_nothing():
    holder = a_holder()
    answer_all(holder, NAMES[1:], now=NOW + LEASE_SECONDS)
    assert not live_shards(holder, NOW + LEASE_SECONDS)


def test_answers_to_an_older_round_count_for_nothing():
    holder = a_holder()
    answer_all(holder, NAMES[1:], round_number=holder.leases.round.number - 1)
    assert not live_shards(holder, NOW)


def test_lease_that_lapsed_is_not_renewed_by_few():
    holder = a_holder()
    holder.leases.hold(0, Deadline(NOW + 1))
    few = NAMES[1 : holder.leases.voting.listings[0].renewal_quorum]
    answer_all(holder, few, now=NOW + 1)
    assert not live_shards(holder, NOW + 1)


def test_lease_in_force_is_renewed_by_few():
    holder = a_holder()
    holder.leases.hold(0, Deadline(NOW + 1))
    few = NAMES[1 : holder.leases.voting.listings[0].renewal_quorum]
    answer_all(holder, few, now=NOW + 0.9)
    assert set(live_shards(holder, NOW + 1)) == {0}


def test_old_list_stays_in_use_until_its_leases_have_ended():
    holder = a_holder()
    holder.leases.voting.add_listing(Listing(2, NAMES))
    holder.leases.plan(1, Deadline(NOW))
    later = NOW + 2
    keep_leases(holder, later)
    answer_all(holder, NAMES[1:], now=later, revisions=(1, 2))
    keep_leases(holder, later + LEASE_SECONDS - 0.1)
    assert holder.leases.voting.revisions == (1, 2)
    keep_leases(holder, later + LEASE_SECONDS)
    assert holder.leases.voting.revisions == (2,)


def test_restarted_voter_waits_and_recovers_before_it_votes():
    fleet = a_fleet(5, a_snapshot())
    fleet.run(12)
    fleet.start('e1', fleet.listing(fleet.nodes))
    fleet.run(LEASE_SECONDS - 1)
    assert not fleet.votes('e1')
    fleet.network.cut = {'e1': 1}
    fleet.run(20)
    assert not fleet.votes('e1')
    fleet.network.cut = {}
    fleet.run(4)
    assert fleet.votes('e1')


def test_instances_that_start_together_need_all_that_are_listed():
    fleet = a_fleet(3, a_snapshot())
    fleet.kill('e3')
    fleet.run(20)
    assert not fleet.votes('e1')
    fleet.set_list(2, ('e1', 'e2'))
    fleet.run(4)
    assert fleet.votes('e1')


def test_shards_of_a_crashed_holder_are_taken_over():
    fleet = a_fleet(5, a_snapshot())
    fleet.run(20)
    fleet.kill('e2')
    fleet.run(25)
    assert held_shards(fleet) == list(range(SHARDS))


def test_minority_of_a_third_keeps_its_shards_while_cut_off():
    fleet = a_fleet(6, a_snapshot())
    fleet.run(20)
    before = held_shards(fleet, ('e1', 'e2'))
    fleet.network.cut = {'e1': 1, 'e2': 1}
    fleet.run(3600)
    assert before
    assert held_shards(fleet, ('e1', 'e2')) == before


def test_planned_stop_hands_the_shards_over():
    fleet = a_fleet(5, a_snapshot())
    fleet.run(20)
    fleet.nodes['e2'].members.leave()
    fleet.run(20)
    assert not held_shards(fleet, ('e2',))
    assert held_shards(fleet) == list(range(SHARDS))


def test_list_replaced_in_full_keeps_every_shard_held():
    fleet = a_fleet(5, a_snapshot())
    fleet.run(20)
    listing = (2, a_virtual_listing([f'e{number}' for number in range(3, 9)]))
    for name in ('e6', 'e7', 'e8'):
        fleet.start(name, listing)
    fleet.set_list(2, [f'e{number}' for number in range(3, 9)])
    fleet.run(30)
    assert held_shards(fleet) == list(range(SHARDS))
    fleet.kill('e1')
    fleet.kill('e2')
    fleet.run(30)
    assert held_shards(fleet) == list(range(SHARDS))
    assert fleet.nodes['e8'].leases.voting.revisions == (2,)


def test_holder_that_slept_past_its_leases_holds_nothing():
    fleet = a_fleet(3, a_snapshot())
    fleet.run(20)
    held = held_shards(fleet, ('e1',))
    fleet.pause('e1')
    fleet.run(LEASE_SECONDS)
    assert held
    assert not held_shards(fleet, ('e1',))
    assert not fleet.nodes['e1'].shares.bucket('fletcher').level(fleet.now)


def held_shards(fleet, names=None):
    return sorted(
        shard
        for name in names or fleet.nodes
        for shard in live_shards(fleet.nodes[name], fleet.now)
    )
