"""Acquires and renews the leases of this instance in rounds."""

from typing import Final

from chervilstep.commands.lending import retain
from chervilstep.commands.voting import (
    raise_floor,
    see_homes,
    send_listings,
    vote,
)
from chervilstep.hooks import HANDLERS, every
from chervilstep.lease_messages import (
    Homes,
    HomesRequest,
    LeaseAnswer,
    LeaseRequest,
)
from chervilstep.leases import (
    LEASE_SECONDS,
    Listing,
    Round,
    Sighting,
)
from chervilstep.messages import Message
from chervilstep.node import Node
from chervilstep.queries import leases as queries
from chervilstep.types import Deadline, Instant, new_deadline

TICK_SECONDS: Final = 0.5
ROUND_SECONDS: Final = 2
#: The time between rounds of a process that does not vote yet.
START_ROUND_SECONDS: Final = 1
#: Rounds are earlier by up to this part, so that they do not coincide.
JITTER_PART: Final = 0.25
#: The delay between instances that may ask for the same free shard.
RANK_SECONDS: Final = 0.5
#: The extra delay of an instance for each lease that it holds already.
LOAD_SECONDS: Final = 1
#: The longest extra pause after a round in which a shard was not granted.
RETRY_SECONDS: Final = 2


@every(TICK_SECONDS, 'leases')
def keep_leases(node: Node, now: Instant) -> None:
    """Starts a round when it is due, and drops the leases that ended."""
    leases = node.leases
    if leases.wait_until is None:
        leases.wait(new_deadline(now, LEASE_SECONDS))
    _take_platform_list(node)
    _finish_retirement(node, now)
    _drop_ended(node, now)
    if leases.next_round.has_passed(now) or queries.has_failed(node, now):
        _start_round(node, now)
    _plan_attempts(node, now)
    if queries.has_news(node, now):
        _start_round(node, now)


@HANDLERS.register(LeaseAnswer.kind)
def take_lease_answer(
    node: Node, sender: str, message: Message, now: Instant
) -> None:
    """Counts the answer of a voter."""
    if not isinstance(message, LeaseAnswer):
        return
    raise_floor(node, message.floor)
    send_listings(node, sender, message)
    round_ = node.leases.round
    if message.round_number != round_.number:
        return
    if not queries.knows_lists_of(node, message):
        return
    _note_sighting(node, sender, message)
    newest = round_.listings[-1].revision
    is_informed = newest in message.revisions or message.floor >= newest
    round_.answer(
        sender,
        message.granted,
        is_informed=is_informed and message.is_voting,
    )
    _count_votes(node, now)


@HANDLERS.register(Homes.kind)
def take_homes(
    node: Node, _sender: str, message: Message, now: Instant
) -> None:
    """Learns from a voter who holds the shards."""
    if isinstance(message, Homes):
        for name, shards in message.shards.items():
            see_homes(node, name, shards, now)


def release_leases(node: Node, now: Instant) -> None:
    """Gives up every lease, so that others need not wait for its end."""
    for shard in tuple(node.leases.held):
        node.leases.drop(shard)
    _start_round(node, now)


def _take_platform_list(node: Node) -> None:
    members = node.members
    voting = node.leases.voting
    newest = voting.listings[-1] if voting.listings else None
    if not members.listed or members.revision <= voting.floor:
        return
    if newest is not None and (
        members.revision <= newest.revision
        or newest.names == frozenset(members.listed)
    ):
        return
    if not voting.is_voting:
        voting.forget_listings()
    voting.add_listing(Listing(members.revision, members.listed))


def _finish_retirement(node: Node, now: Instant) -> None:
    retirement = node.leases.retirement
    if retirement is not None and retirement.deadline.has_passed(now):
        raise_floor(node, retirement.floor)
        node.leases.finish_retirement()


def _drop_ended(node: Node, now: Instant) -> None:
    for shard in set(node.leases.held) - set(queries.live_shards(node, now)):
        node.leases.drop(shard)
        node.counters.add('share_leases_lost')


def _plan_attempts(node: Node, now: Instant) -> None:
    leases = node.leases
    members = node.members
    if members.is_leaving or node.settings.name not in members.listed:
        return
    if not leases.voting.is_voting:
        return
    _avoid_contests(node, now)
    load = LOAD_SECONDS * len(leases.held)
    for shard in queries.free_shards(node, now):
        if shard not in leases.attempts and shard not in leases.held:
            delay = load + RANK_SECONDS * queries.rank_for(node, shard)
            leases.plan(shard, new_deadline(now, delay))


def _avoid_contests(node: Node, now: Instant) -> None:
    """Puts off asking for shards that others are being granted."""
    leases = node.leases
    for shard in queries.contested_shards(node, now):
        if shard in leases.attempts:
            pause = node.rng.uniform(RETRY_SECONDS, 2 * RETRY_SECONDS)
            leases.plan(shard, new_deadline(now, pause))


def _start_round(node: Node, now: Instant) -> None:
    leases = node.leases
    before = leases.round
    _postpone_failures(node, now)
    shards = queries.asked_shards(node, now)
    listings = leases.voting.listings
    round_ = Round(leases.round.number + 1, now, listings, shards)
    leases.start_round(round_, _next_round(node, now))
    if not listings:
        return
    _ask_for_homes(node)
    request = LeaseRequest(
        round_.number,
        leases.holder.incarnation,
        leases.voting.revisions,
        leases.voting.floor,
        tuple(sorted(shards)),
        tuple(sorted(leases.held)),
    )
    if queries.is_round_needed(node, before):
        leases.voting.clear_sightings()
        for name in sorted(queries.other_voters(node)):
            node.outbox.put(name, request)
    _vote_oneself(node, request, now)


def _next_round(node: Node, now: Instant) -> Deadline:
    is_voting = node.leases.voting.is_voting
    pause = ROUND_SECONDS if is_voting else START_ROUND_SECONDS
    jitter = node.rng.uniform(1 - JITTER_PART, 1)
    return new_deadline(now, pause * jitter)


def _postpone_failures(node: Node, now: Instant) -> None:
    leases = node.leases
    for shard in leases.round.shards - set(leases.held):
        if shard in leases.attempts:
            pause = node.rng.uniform(TICK_SECONDS, RETRY_SECONDS)
            leases.plan(shard, new_deadline(now, pause))


def _vote_oneself(node: Node, request: LeaseRequest, now: Instant) -> None:
    name = node.settings.name
    vote(node, node.leases.holder, request, now)
    answer = queries.answer_to(node, name, request)
    take_lease_answer(node, name, answer, now)


def _ask_for_homes(node: Node) -> None:
    """Asks a voter who holds the shards; voters are told by the holders."""
    round_ = node.leases.round
    voters = round_.listings[-1].voters
    if node.settings.name not in voters:
        name = node.rng.choice(sorted(voters))
        node.outbox.put(name, HomesRequest())


def _note_sighting(node: Node, sender: str, answer: LeaseAnswer) -> None:
    if sender == node.settings.name:
        return
    sighting = Sighting(answer.incarnation, is_voting=answer.is_voting)
    voting = node.leases.voting
    voting.see(sender, sighting)
    if answer.is_admitted:
        voting.admit()


def _count_votes(node: Node, now: Instant) -> None:
    leases = node.leases
    round_ = leases.round
    if not leases.voting.is_voting and queries.can_begin(node, now):
        leases.voting.begin(queries.beginners(node))
    if queries.can_retire(round_) and leases.retirement is None:
        floor = round_.listings[-1].revision
        leases.retire(floor, new_deadline(now, LEASE_SECONDS))
    if round_.deadline.has_passed(now):
        return
    live = queries.live_shards(node, now)
    for shard in round_.shards:
        if queries.is_granted(round_, shard, is_held=shard in live):
            leases.hold(shard, round_.deadline)
    if set(leases.held) - set(live):
        for customer in node.snapshot.customers:
            retain(node, customer, now)
