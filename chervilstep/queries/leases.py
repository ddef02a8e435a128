"""Counts votes for leases and decides which shards to ask for."""

import math

from chervilstep.lease_messages import LeaseAnswer, LeaseRequest
from chervilstep.leases import (
    SHARDS,
    Holder,
    Listing,
    Round,
    digest_of_name,
)
from chervilstep.node import Node
from chervilstep.types import Deadline, Instant


def is_round_needed(node: Node, before: Round) -> bool:
    """Whether the voters must be told or asked anything.

    Shards asked for in vain in the round ``before`` must be set free.
    """
    leases = node.leases
    if before.shards or leases.round.shards or node.members.is_leaving:
        return True
    return not leases.voting.is_voting


def other_voters(node: Node) -> frozenset[str]:
    """Every other voter of the lists in use."""
    listings = node.leases.voting.listings
    voters = frozenset().union(*(listing.voters for listing in listings))
    return voters - {node.settings.name}


def live_shards(node: Node, now: Instant) -> dict[int, Deadline]:
    """The shards whose lease this instance holds at ``now``."""
    return {
        shard: deadline
        for shard, deadline in node.leases.held.items()
        if not deadline.has_passed(now)
    }


def asked_shards(node: Node, now: Instant) -> frozenset[int]:
    """The shards held, and the next ones whose turn to be asked for came.

    Asking for no more than an equal part at once lets everyone get one.
    """
    due = sorted(
        (attempt.at, shard)
        for shard, attempt in node.leases.attempts.items()
        if attempt.has_passed(now)
    )
    part = math.ceil(SHARDS / max(1, len(node.members.listed)))
    chosen = {shard for _, shard in due[:part]}
    return frozenset(chosen.union(live_shards(node, now)))


def contested_shards(node: Node, now: Instant) -> frozenset[int]:
    """The shards that this voter has granted to other instances."""
    leases = node.leases
    return frozenset().union(
        *(
            ballot.shards
            for holder, ballot in leases.voting.ballots.items()
            if holder != leases.holder and not ballot.deadline.has_passed(now)
        )
    )


def has_failed(node: Node, now: Instant) -> bool:
    """Whether the last round left out a shard that it asked for."""
    round_ = node.leases.round
    return bool(round_.shards - set(live_shards(node, now)))


def has_news(node: Node, now: Instant) -> bool:
    """Whether a shard is to be asked for that the last round left out."""
    return bool(asked_shards(node, now) - node.leases.round.shards)


def free_shards(node: Node, now: Instant) -> tuple[int, ...]:
    """The shards that no instance was lately seen to hold."""
    homes = node.leases.homes
    return tuple(
        shard
        for shard in range(SHARDS)
        if shard not in homes or homes[shard].deadline.has_passed(now)
    )


def rank_for(node: Node, shard: int) -> int:
    """The place of this instance among those that may ask for ``shard``.

    The shards of one customer prefer different availability zones, so that
    a zone that is cut off takes only its part of the limits along.
    """
    listed = node.members.listed
    zones = sorted({instance.zone for instance in listed.values()})
    preferred = zones[shard % len(zones)]
    ranked = sorted(
        listed.values(),
        key=lambda instance: (
            instance.is_leaving,
            instance.zone != preferred,
            digest_of_name(f'{shard} {instance.name}'),
        ),
    )
    return [instance.name for instance in ranked].index(node.settings.name)


def is_granted(round_: Round, shard: int, *, is_held: bool) -> bool:
    """Whether enough voters of every list granted ``shard``."""
    grantors = {
        name for name, granted in round_.answers.items() if shard in granted
    }
    for listing in round_.listings:
        needed = listing.renewal_quorum if is_held else listing.quorum
        if len(grantors & listing.voters) < needed:
            return False
    return bool(round_.listings)


def can_retire(round_: Round) -> bool:
    """Whether a quorum of every older list knows the newest one."""
    return len(round_.listings) > 1 and all(
        len(round_.informed & listing.voters) >= listing.quorum
        for listing in round_.listings[:-1]
    )


def can_begin(node: Node, now: Instant) -> bool:
    """Whether this process may vote.

    Ballots that an earlier process of this name may have granted have ended,
    and what it knew of lists is known again: from enough voters of every
    list, or because nobody listed is voting, so that all start together.
    """
    leases = node.leases
    listings = leases.voting.listings
    if not listings:
        return False
    if listings[-1].names != {node.settings.name}:
        if leases.wait_until is None or not leases.wait_until.has_passed(now):
            return False
    if leases.voting.is_admitted or is_first(node):
        return True
    return all(_is_recovered(node, listing) for listing in listings)


def is_first(node: Node) -> bool:
    """Whether every voter of the newest list has just started."""
    sightings = node.leases.voting.sightings
    newest = node.leases.voting.listings[-1]
    others = newest.voters - {node.settings.name}
    return all(
        name in sightings and not sightings[name].is_voting for name in others
    )


def beginners(node: Node) -> dict[str, int]:
    """The incarnations of the others that start together with this one."""
    if not is_first(node):
        return {}
    return {
        name: seen.incarnation
        for name, seen in node.leases.voting.sightings.items()
    }


def missing_listings(
    node: Node, request: LeaseRequest | LeaseAnswer
) -> tuple[Listing, ...]:
    """The lists in use here that the sender of ``request`` lacks."""
    return tuple(
        listing
        for listing in node.leases.voting.listings
        if listing.revision >= request.floor
        and listing.revision not in request.revisions
    )


def knows_lists_of(node: Node, answer: LeaseAnswer) -> bool:
    """Whether every list in use at the sender of ``answer`` is known here."""
    voting = node.leases.voting
    return all(
        revision < voting.floor or revision in voting.revisions
        for revision in answer.revisions
    )


def answer_to(node: Node, sender: str, request: LeaseRequest) -> LeaseAnswer:
    """The answer of this voter to a request that it has voted on."""
    voting = node.leases.voting
    ballot = voting.ballots.get(Holder(sender, request.incarnation))
    granted: tuple[int, ...] = ()
    if ballot is not None and ballot.round_number == request.round_number:
        granted = tuple(sorted(ballot.shards))
    return LeaseAnswer(
        request.round_number,
        node.leases.holder.incarnation,
        voting.revisions,
        voting.floor,
        granted,
        voting.is_voting,
        voting.admitted.get(sender) == request.incarnation,
    )


def holders(node: Node, now: Instant) -> dict[str, tuple[int, ...]]:
    """The shards that were lately seen to be held, by their holder."""
    found: dict[str, tuple[int, ...]] = {}
    for shard, home in sorted(node.leases.homes.items()):
        if not home.deadline.has_passed(now):
            found[home.name] = (*found.get(home.name, ()), shard)
    return found


def _is_recovered(node: Node, listing: Listing) -> bool:
    sightings = node.leases.voting.sightings
    voting = {name for name, seen in sightings.items() if seen.is_voting} - {
        node.settings.name
    }
    return len(voting & listing.voters) >= listing.recovery_quorum
