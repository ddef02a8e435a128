"""Grants leases to other instances, and learns the lists in use."""

from collections.abc import Iterable
from typing import Final

from chervilstep.hooks import HANDLERS
from chervilstep.lease_messages import (
    Homes,
    HomesRequest,
    LeaseAnswer,
    LeaseRequest,
    ListingNotice,
)
from chervilstep.leases import (
    LEASE_SECONDS,
    Ballot,
    Holder,
    Home,
    Listing,
)
from chervilstep.messages import Message
from chervilstep.node import Node
from chervilstep.queries import leases as queries
from chervilstep.types import Instant, new_deadline

#: How long a shard counts as held after its holder said so.
HOME_SECONDS: Final = 6


@HANDLERS.register(LeaseRequest.kind)
def take_lease_request(
    node: Node, sender: str, message: Message, now: Instant
) -> None:
    """Grants what no other holder has, and answers."""
    if not isinstance(message, LeaseRequest):
        return
    vote(node, Holder(sender, message.incarnation), message, now)
    see_homes(node, sender, message.held, now)
    send_listings(node, sender, message)
    node.outbox.put(sender, queries.answer_to(node, sender, message))


@HANDLERS.register(ListingNotice.kind)
def take_listing(
    node: Node, _sender: str, message: Message, _now: Instant
) -> None:
    """Puts a list in use that another instance uses."""
    if isinstance(message, ListingNotice):
        voting = node.leases.voting
        voting.add_listing(Listing(message.revision, message.names))
        raise_floor(node, message.floor)


@HANDLERS.register(HomesRequest.kind)
def take_homes_request(
    node: Node, sender: str, _message: Message, now: Instant
) -> None:
    """Tells another instance who holds the shards."""
    node.outbox.put(sender, Homes(queries.holders(node, now)))


def vote(
    node: Node, holder: Holder, request: LeaseRequest, now: Instant
) -> None:
    """Replaces the ballot of ``holder`` by what can be granted."""
    voting = node.leases.voting
    voting.expire(now)
    raise_floor(node, request.floor)
    if not voting.is_voting or queries.missing_listings(node, request):
        return
    ballot = voting.ballots.get(holder)
    if ballot is not None and ballot.round_number >= request.round_number:
        return
    taken = frozenset().union(
        *(
            other.shards
            for owner, other in voting.ballots.items()
            if owner != holder
        )
    )
    granted = frozenset(request.shards) - taken
    deadline = new_deadline(now, LEASE_SECONDS)
    voting.grant(holder, Ballot(request.round_number, granted, deadline))


def see_homes(
    node: Node, name: str, shards: Iterable[int], now: Instant
) -> None:
    """Notes that another instance holds ``shards``."""
    live = queries.live_shards(node, now)
    deadline = new_deadline(now, HOME_SECONDS)
    for shard in shards:
        if shard not in live and name != node.settings.name:
            node.leases.see_home(shard, Home(name, deadline))


def send_listings(
    node: Node, recipient: str, message: LeaseRequest | LeaseAnswer
) -> None:
    """Sends the lists that the sender of ``message`` lacks.

    A process that has just started may still drop its lists, so it sends
    none.
    """
    if not node.leases.voting.is_voting:
        return
    for listing in queries.missing_listings(node, message):
        names = tuple(sorted(listing.names))
        floor = node.leases.voting.floor
        node.outbox.put(
            recipient, ListingNotice(listing.revision, names, floor)
        )


def raise_floor(node: Node, floor: int) -> None:
    """Takes lists out of use once a newer one is known."""
    voting = node.leases.voting
    if any(revision >= floor for revision in voting.revisions):
        voting.raise_floor(floor)
