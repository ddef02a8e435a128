"""Builders of member records and of the updates that carry them."""

from chervilstep.commands.gossip import (
    MemberUpdates,
    handle_member_updates,
    join,
)
from chervilstep.members import MemberState
from tests.builders import a_node


def a_joined_node():
    node = a_node()
    join(node, 0)
    return node


def a_member_entry(name='entry-2', incarnation=1, state=MemberState.ALIVE):
    address = f'{name}:1', f'{name}:2'
    return (name, 'akl', *address, incarnation, int(state), 60)


def deliver_entries(node, *entries, now=0):
    handle_member_updates(node, 'entry-9', MemberUpdates(entries), now)
