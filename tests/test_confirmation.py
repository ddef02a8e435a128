"""Tests of what confirms the configuration, and from when it counts."""

import pytest

from chervilstep.commands.platform import take_sections
from chervilstep.commands.relaying import inquire
from chervilstep.hooks import HANDLERS
from chervilstep.queries.relaying import Duty, duty_of, remaining_of
from chervilstep.relay import HOLD_SECONDS, INTRODUCTION_SECONDS
from chervilstep.sync_messages import ConfigSummary
from tests.document_builders import (
    a_configured_node,
    a_listed_node,
    a_platform_answer,
    sections,
)

PEER = 'entry-2'


def ask(node, now):
    inquire(node, now)
    node.relay.ask(PEER, now)
    return node.relay.last_number


def answer(node, now, number, **changes):
    fields = {
        'fingerprint': node.configuration.fingerprint,
        'remaining': HOLD_SECONDS,
        'platform_remaining': 0,
        'is_introduced': True,
        'seen_revision': 1,
        'vouchers': (),
    }
    summary = ConfigSummary(number, **{**fields, **changes})
    HANDLERS.find(summary.kind)(node, PEER, summary, now)


def test_confirmation_counts_from_the_inquiry():
    node = a_listed_node(PEER)
    number = ask(node, 0)
    answer(node, 1, number)
    assert remaining_of(node, 1) == HOLD_SECONDS - 1


def test_answer_that_waited_through_a_pause_confirms_nothing():
    node = a_listed_node(PEER)
    number = ask(node, 0)
    answer(node, 100, number)
    assert not remaining_of(node, 100)


def test_answer_to_an_older_inquiry_confirms_nothing():
    node = a_listed_node(PEER)
    number = ask(node, 0)
    ask(node, 1)
    answer(node, 1, number)
    assert not remaining_of(node, 1)


def test_peer_with_other_sections_confirms_nothing():
    node = a_listed_node(PEER)
    answer(node, 0, ask(node, 0), fingerprint=b'other')
    assert not remaining_of(node, 0)


def test_peer_cannot_stretch_the_hold():
    node = a_listed_node(PEER)
    answer(node, 0, ask(node, 0), remaining=10**6, vouchers=(('x', 10**6),))
    assert remaining_of(node, 0) == HOLD_SECONDS


def test_majority_confirms_without_the_platform():
    node = a_listed_node(PEER, 'entry-3')
    answer(node, 0, ask(node, 0), remaining=0)
    assert remaining_of(node, 0) == HOLD_SECONDS


@pytest.mark.parametrize(
    ('vouchers', 'seconds'),
    [
        ((), 0),
        ((('entry-3', 5),), 5),
        ((('entry-3', 5), ('entry-4', 6)), 6),
        ((('entry-1', 5), ('stranger', 5)), 0),
    ],
)
def test_vouchers_of_a_peer_count_towards_the_majority(vouchers, seconds):
    node = a_listed_node(PEER, 'entry-3', 'entry-4', 'entry-5')
    answer(node, 0, ask(node, 0), remaining=0, vouchers=vouchers)
    assert remaining_of(node, 0) == seconds


def test_majority_does_not_hide_that_the_platform_can_be_read():
    node = a_listed_node(PEER, *(f'entry-{number}' for number in range(3, 9)))
    node.relay.introduce()
    for second in range(10):
        number = ask(node, second)
        vouchers = tuple((f'entry-{other}', 8) for other in range(3, 9))
        answer(node, second, number, remaining=0, vouchers=vouchers)
    assert remaining_of(node, 9)
    assert duty_of(node, 9) is not Duty.RELY


def test_lagging_replica_confirms_nothing():
    node = a_listed_node(PEER, revision=10)
    node.relay.introduce()
    lagging = a_platform_answer(5, sections(), is_complete=False)
    take_sections(node, lagging, 0, 0)
    assert not remaining_of(node, 0)
    take_sections(node, a_platform_answer(10, {}, is_complete=False), 1, 1)
    assert remaining_of(node, 1) == HOLD_SECONDS


def test_lagging_listing_deletes_nothing_newer():
    node = a_configured_node(revision=10)
    take_sections(node, a_platform_answer(5, {}, is_complete=True), 0, 0)
    assert node.configuration.sections['customers'].text
    take_sections(node, a_platform_answer(11, {}, is_complete=True), 0, 0)
    assert node.configuration.sections['customers'].text is None


def test_new_instance_waits_for_its_peers():
    node = a_listed_node(PEER)
    number = ask(node, 0)
    take_sections(node, a_platform_answer(9, sections()), 0, 0)
    assert not remaining_of(node, 0)
    answer(node, 1, number)
    assert remaining_of(node, 1)


def test_new_instance_that_meets_nobody_starts_late():
    node = a_listed_node(PEER, 'entry-3')
    ask(node, 0)
    late = INTRODUCTION_SECONDS
    take_sections(node, a_platform_answer(9, sections()), late - 1, late - 1)
    assert not remaining_of(node, late - 1)
    take_sections(node, a_platform_answer(9, sections()), late, late)
    assert remaining_of(node, late)


def test_lone_instance_confirms_itself_while_the_platform_is_down():
    node = a_listed_node()
    inquire(node, 50)
    assert remaining_of(node, 50) == HOLD_SECONDS
