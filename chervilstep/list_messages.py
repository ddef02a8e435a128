"""Messages that pass the list of instances on to one that has none."""

from collections.abc import Sequence
from typing import TypeAlias, final

from chervilstep.fields import checked, checked_length
from chervilstep.hooks import MESSAGES
from chervilstep.messages import Message

#: Name, zone, address, peer address and state of an instance.
InstanceEntry: TypeAlias = tuple[str, str, str, str, str]


@final
@MESSAGES.register('instances-request')
class InstancesRequest(Message):
    """Asks a peer for the list of instances."""

    __slots__ = ()

    kind = 'instances-request'


@final
@MESSAGES.register('instances-list')
class InstancesList(Message):
    """The platform's list of instances as the sender has it."""

    __slots__ = ('_entries', '_revision')

    kind = 'instances-list'
    fields = ('revision', 'entries')

    def __init__(self, revision: int, entries: Sequence[InstanceEntry]) -> None:
        """Creates the list at a revision of the platform."""
        self._revision = checked(revision, int)
        self._entries = tuple(
            tuple(checked(field, str) for field in entry)
            for entry in checked_length(entries)
        )

    @property
    def revision(self) -> int:
        """The platform's revision of the list."""
        return self._revision

    @property
    def entries(self) -> tuple[tuple[str, ...], ...]:
        """The instances."""
        return self._entries
