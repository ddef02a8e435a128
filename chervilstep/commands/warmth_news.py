"""Commands that share what instances believe of upstreams."""

from typing import Final

from chervilstep.hooks import HANDLERS, every
from chervilstep.messages import EVERY_PEER, Message
from chervilstep.node import Node
from chervilstep.queries.warmth_news import (
    NEWS_BYTES_PER_SECOND,
    accepts,
    all_beliefs,
    belief_of,
    homes_to_tell,
    may_send_news,
    peer_count,
)
from chervilstep.types import Instant, new_deadline
from chervilstep.warmth import BELIEF_SECONDS, Warmth
from chervilstep.warmth_messages import Belief, WarmthAsk, WarmthNews, new_news

#: What a belief takes up on the wire, with its share of the frame.
BELIEF_BYTES: Final = 40
#: The longest time for which a peer's word closes an upstream.
MAX_CLOSED_SECONDS: Final = 30
#: How often news that did not fit the budget is tried again.
FLUSH_PERIOD_SECONDS: Final = 0.1


@every(FLUSH_PERIOD_SECONDS, 'flush-news')
def flush_news(node: Node, now: Instant) -> None:
    """Sends the news that the budget allows, the oldest first."""
    table = node.warmth
    for name in table.changed:
        if not may_send_news(node, now):
            return
        table.told(name)
        _send(node, belief_of(name, table.record(name), now), now)


def spend_news(node: Node, size_bytes: int, now: Instant) -> None:
    """Takes a message of this size to every peer from the budget of news."""
    total_bytes = size_bytes * peer_count(node, now)
    node.warmth.spend(total_bytes / NEWS_BYTES_PER_SECOND, now)


@HANDLERS.register(WarmthAsk.kind)
def hear_ask(node: Node, peer: str, message: Message, now: Instant) -> None:
    """Answers what this instance believes of a service's upstreams."""
    if not isinstance(message, WarmthAsk):
        return
    service = node.snapshot.services.get(message.service)
    if service is not None:
        beliefs = all_beliefs(node, service, now)
        if beliefs:
            node.outbox.put(peer, new_news(beliefs))


@HANDLERS.register(WarmthNews.kind)
def hear_news(node: Node, peer: str, message: Message, now: Instant) -> None:
    """Takes over the beliefs that are newer than the own ones."""
    if isinstance(message, WarmthNews):
        for belief in message.beliefs:
            if accepts(node, belief, now):
                _adopt(node, belief, now)


def _send(node: Node, belief: Belief, now: Instant) -> None:
    homes = homes_to_tell(node, belief, now)
    news = new_news([belief])
    if homes is None:
        homes = (EVERY_PEER,) if peer_count(node, now) else ()
        spend_news(node, BELIEF_BYTES, now)
    for home in homes:
        node.outbox.put(home, news)


def _adopt(node: Node, belief: Belief, now: Instant) -> None:
    name = belief.upstream
    seconds = min(MAX_CLOSED_SECONDS, belief.closed_seconds)
    node.loads.upstream_load(name).move_to_back(node.loads.attempts_started)
    node.warmth.put(
        name,
        Warmth(
            belief.epoch,
            belief.level,
            new_deadline(now, seconds),
            new_deadline(now, BELIEF_SECONDS),
            belief.ejections,
            _since(node, belief, now),
        ),
    )


def _since(node: Node, belief: Belief, now: Instant) -> Instant:
    own = node.warmth.records.get(belief.upstream)
    if own is not None and own.epoch == belief.epoch:
        return own.since
    return now
