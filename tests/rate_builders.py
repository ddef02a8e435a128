"""Builders of test data for rates and bursts."""

from chervilstep.commands.lending import retain
from chervilstep.leases import SHARDS
from chervilstep.loan_messages import LoanOffer, LoanRequest, new_need
from chervilstep.types import Deadline
from tests.builders import a_node

CUSTOMER = 'fletcher'
#: The incarnation of the borrower in the requests.
INCARNATION = 7


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
