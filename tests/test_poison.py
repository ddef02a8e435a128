"""Tests of requests that crash every upstream that runs them."""

import msgpack
import pytest

from chervilstep import refusals
from chervilstep.adapters import codec
from chervilstep.calls import Answer, Ending
from chervilstep.commands.poison import (
    Crash,
    expire_suspects,
    handle_crash,
    update_suspects,
)
from chervilstep.commands.poison_updates import (
    SuspectUpdate,
    handle_suspect_update,
    send_known_suspects,
)
from chervilstep.exceptions import PeerError
from chervilstep.hooks import MESSAGES
from chervilstep.quarantine import MAX_SUSPECTS_PER_CUSTOMER
from chervilstep.queries.poison import (
    BASE_QUARANTINE_SECONDS,
    MAX_QUARANTINED,
    SUSPECT_TTL_SECONDS,
    fingerprint,
    is_quarantined,
)
from lab.virtual_loop import run_virtually
from tests.builders import (
    a_call,
    a_customer,
    a_ticket,
    an_attempt,
    an_unlimited_node,
    an_upstream,
)
from tests.dispatch_builders import (
    FakePool,
    Step,
    a_dispatcher,
    a_slotted_node,
    an_outcome_of,
)

POISON_CALL = a_call('POST', body=b'poison')


def a_poison_ticket(customer='fletcher', body=b'poison'):
    return a_ticket(a_call('POST', body=body), customer=a_customer(customer))


def lose_upstream(node, ticket, upstream, now=0):
    attempt = an_attempt(ticket, an_upstream(upstream))
    update_suspects(node, attempt, an_outcome_of(Ending.LOST, now))


def deliver_crashes(sender, receivers, now=0):
    """Delivers the crash messages of ``sender`` to ``receivers``."""
    for envelope in sender.outbox.envelopes:
        for node in receivers:
            handle_crash(node, 'peer', envelope.message, now)
    sender.outbox.clear()


def test_poison_sent_to_other_instances_crashes_two_upstreams():
    nodes = [a_slotted_node(8, name=f'entry-{index}') for index in range(4)]

    async def send_to(loop, node):
        pool = FakePool(loop, default=Step(Ending.LOST))
        reply = await a_dispatcher(loop, pool, node).handle(POISON_CALL)
        deliver_crashes(node, [other for other in nodes if other is not node])
        for attempt in pool.sent:
            # A crashed upstream takes no further requests.
            for other in nodes:
                other.loads.upstream_load(attempt.upstream.name).start_attempt(
                    attempt, 0
                )
        return reply

    async def run(loop):
        return [await send_to(loop, node) for node in nodes]

    assert run_virtually(run) == [
        refusals.UPSTREAM_LOST,
        refusals.UPSTREAM_LOST,
        refusals.QUARANTINED,
        refusals.QUARANTINED,
    ]


def test_idempotent_poison_is_not_retried_a_second_time():
    node = an_unlimited_node()

    async def run(loop):
        pool = FakePool(loop, default=Step(Ending.LOST))
        dispatcher = a_dispatcher(loop, pool, node)
        first = await dispatcher.handle(a_call(body=b'poison'))
        second = await dispatcher.handle(a_call(body=b'poison'))
        return first, second, pool

    first, second, pool = run_virtually(run)
    assert first is refusals.UPSTREAM_LOST
    assert second is refusals.QUARANTINED
    assert len(pool.sent) == 2


def test_other_requests_are_not_quarantined():
    node = an_unlimited_node()
    ticket = a_poison_ticket()
    lose_upstream(node, ticket, 'strike-1')
    lose_upstream(node, ticket, 'strike-2')
    assert is_quarantined(node, ticket, 0)
    assert not is_quarantined(node, a_poison_ticket(body=b'other'), 0)
    assert not is_quarantined(node, a_poison_ticket('cement'), 0)

    async def run(loop):
        return await a_dispatcher(loop, node=node).handle(a_call('POST'))

    assert isinstance(run_virtually(run), Answer)


def test_one_lost_upstream_quarantines_no_request():
    node = an_unlimited_node()
    tickets = [a_poison_ticket(body=bytes([index])) for index in range(9)]
    for ticket in tickets:
        lose_upstream(node, ticket, 'strike-1')
        lose_upstream(node, ticket, 'strike-1')
    assert not any(is_quarantined(node, ticket, 0) for ticket in tickets)


def test_number_of_quarantined_requests_is_bounded():
    node = an_unlimited_node()
    tickets = [a_poison_ticket(body=bytes([index])) for index in range(40)]
    for upstream in ('strike-1', 'strike-2', 'strike-3'):
        for ticket in tickets:
            lose_upstream(node, ticket, upstream)
    refused = sum(is_quarantined(node, ticket, 0) for ticket in tickets)
    assert refused == MAX_QUARANTINED


def test_answer_removes_the_suspect():
    node = an_unlimited_node()
    ticket = a_poison_ticket()
    lose_upstream(node, ticket, 'strike-1')
    attempt = an_attempt(ticket, an_upstream('strike-3'))
    update_suspects(node, attempt, an_outcome_of())
    lose_upstream(node, ticket, 'strike-2')
    assert not is_quarantined(node, ticket, 0)


def test_second_quarantine_lasts_longer():
    node = an_unlimited_node()
    ticket = a_poison_ticket()
    lose_upstream(node, ticket, 'strike-1')
    lose_upstream(node, ticket, 'strike-2')
    later = BASE_QUARANTINE_SECONDS
    assert not is_quarantined(node, ticket, later)
    lose_upstream(node, ticket, 'strike-1', later)
    assert is_quarantined(node, ticket, later + 2 * BASE_QUARANTINE_SECONDS - 1)
    assert not is_quarantined(node, ticket, later + 2 * BASE_QUARANTINE_SECONDS)


def test_suspect_expires():
    node = an_unlimited_node()
    ticket = a_poison_ticket()
    lose_upstream(node, ticket, 'strike-1')
    expire_suspects(node, SUSPECT_TTL_SECONDS - 1)
    assert node.quarantine.by_customer
    expire_suspects(node, SUSPECT_TTL_SECONDS)
    assert not node.quarantine.by_customer


def test_suspects_of_a_customer_are_bounded():
    node = an_unlimited_node()
    for index in range(3 * MAX_SUSPECTS_PER_CUSTOMER):
        ticket = a_poison_ticket(body=index.to_bytes(2))
        lose_upstream(node, ticket, 'strike-1', now=index)
    assert (
        len(node.quarantine.by_customer['fletcher'])
        == MAX_SUSPECTS_PER_CUSTOMER
    )


@pytest.mark.parametrize(
    'crash',
    [
        Crash('nobody', bytes(16), 'strike-1'),
        Crash('fletcher', bytes(15), 'strike-1'),
        Crash('fletcher', bytes(16), 'x' * 1000),
    ],
)
def test_invalid_crash_message_is_ignored(crash):
    node = an_unlimited_node()
    handle_crash(node, 'entry-2', crash, 0)
    assert not node.quarantine.by_customer


def test_fingerprint_is_the_same_on_every_instance():
    assert MESSAGES.find('crash') is Crash
    ticket = a_poison_ticket()
    one = fingerprint(an_unlimited_node(name='entry-1'), ticket)
    assert one == fingerprint(an_unlimited_node(name='entry-2', seed=2), ticket)
    assert one != fingerprint(
        an_unlimited_node(), a_poison_ticket(body=b'other')
    )


def tell_suspects(sender, receiver, now):
    """Delivers what ``sender`` sends when ``receiver`` connects."""
    send_known_suspects(sender, receiver.settings.name, now)
    for envelope in sender.outbox.envelopes:
        decoded = codec.decode(
            msgpack.unpackb(
                codec.encode(envelope.message)[codec.LENGTH_PREFIX_BYTES :]
            )
        )
        handle_suspect_update(receiver, sender.settings.name, decoded, now)
    sender.outbox.clear()


def test_restarted_instance_learns_of_requests_in_quarantine():
    known, restarted = an_unlimited_node(), an_unlimited_node()
    ticket = a_poison_ticket()
    lose_upstream(known, ticket, 'strike-1')
    lose_upstream(known, ticket, 'strike-2', now=1)
    known.outbox.clear()
    for _ in range(3):
        tell_suspects(known, restarted, 2)
    assert is_quarantined(restarted, ticket, 2)
    end = 1 + BASE_QUARANTINE_SECONDS
    assert not is_quarantined(restarted, ticket, end + 0.1)
    (suspect,) = restarted.quarantine.by_customer['fletcher'].values()
    assert suspect.loss_count == 2
    expire_suspects(restarted, end + SUSPECT_TTL_SECONDS + 0.1)
    assert not restarted.quarantine.by_customer


def test_restarted_instance_learns_of_the_first_loss():
    known, restarted = an_unlimited_node(), an_unlimited_node()
    ticket = a_poison_ticket()
    lose_upstream(known, ticket, 'strike-1')
    known.outbox.clear()
    tell_suspects(known, restarted, 1)
    assert not is_quarantined(restarted, ticket, 1)
    lose_upstream(restarted, ticket, 'strike-2', now=2)
    assert is_quarantined(restarted, ticket, 2)


@pytest.mark.parametrize(
    'entry',
    [None, (), ('fletcher', b'1' * 16, (), 1), (1, b'1' * 16, (), 1, 1)]
    + [('fletcher', b'1', (), 1, 1), ('fletcher', b'1' * 16, 'a', 1, 1)]
    + [('fletcher', b'1' * 16, (1,), 1, 1)]
    + [('fletcher', b'1' * 16, ('a',) * 9, 1, 1)]
    + [('fletcher', b'1' * 16, ('a' * 300,), 1, 1)]
    + [
        ('fletcher', b'1' * 16, (), *seconds)
        for seconds in ((float('inf'), 1), (1, float('nan')), (-1, 1), (1, 1e9))
    ],
)
def test_malformed_suspect_of_a_peer_raises_peer_error(entry):
    node = an_unlimited_node()
    with pytest.raises(PeerError):
        handle_suspect_update(node, 'entry-2', SuspectUpdate([entry]), 0)
    assert not node.quarantine.by_customer
