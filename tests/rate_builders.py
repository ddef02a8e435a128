"""Builders of test data for rates and bursts."""

from chervilstep.commands.lending import retain
from chervilstep.lease_messages import LeaseAnswer, LeaseRequest
from chervilstep.leases import SHARDS, Listing
from chervilstep.loan_messages import LoanOffer, LoanRequest, new_need
from chervilstep.types import Deadline
from tests.builders import a_node

CUSTOMER = 'fletcher'
#: The incarnation of the borrower in the requests.
INCARNATION = 7
NAMES = tuple(f'entry-{number}' for number in range(1, 6))


def a_lender(tokens, lease_until=110.0, now=100.0):
    """An instance that holds every shard and some tokens of the customer."""
    node = a_node()
    for shard in range(SHARDS):
        node.leases.hold(shard, Deadline(lease_until))
    retain(node, CUSTOMER, now)
    node.shares.bucket(CUSTOMER).credit(tokens, now)
    return node


def a_borrower(sent_at=100.0):
    """An instance that waits for an offer of entry-1."""
    borrower = a_node(name='entry-2', seed=2)
    borrower.shares.account('entry-1', CUSTOMER).request(1, 1, sent_at)
    return borrower


def a_request(sequence=1, **changes):
    values = {
        'returned': 0,
        'wanted': 1,
        'spare': 0,
        'room': 0,
        'demand': 0,
        **changes,
    }
    is_return = values.pop('is_return', False)
    need = new_need(values.pop('rate', 0), values.pop('burst', 0), **values)
    return LoanRequest(
        INCARNATION, sequence, {CUSTOMER: need.values}, is_return
    )


def an_offer(borrower, seconds=5.0):
    """The offer of one token that ``borrower`` waits for."""
    sequence = borrower.shares.account('entry-1', CUSTOMER).sequence
    return LoanOffer(sequence, seconds, {CUSTOMER: (0, 2000, 1000, 0, 0)})


def a_voter(name='entry-1', names=NAMES, revision=1):
    """An instance that votes under one list, or began to under it."""
    node = a_node(name=name, seed=int(name[-1]))
    node.leases.voting.add_listing(Listing(revision, names))
    node.leases.voting.begin({})
    return node


def a_lease_request(number=1, shards=(0,), revisions=(1,), floor=0):
    return LeaseRequest(number, INCARNATION, revisions, floor, shards, ())


def an_answer(node, granted=(), revisions=(1,), **changes):
    """The answer of a voter to the last round of ``node``."""
    values = {
        'floor': 0,
        'is_voting': True,
        'is_admitted': False,
        'round_number': node.leases.round.number,
        **changes,
    }
    return LeaseAnswer(
        values['round_number'],
        INCARNATION,
        revisions,
        values['floor'],
        granted,
        values['is_voting'],
        values['is_admitted'],
    )
