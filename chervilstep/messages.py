"""The base of typed messages between instances, and the outbox for them."""

from collections.abc import Callable
from typing import Final, final

#: Addresses a message to every peer that is connected.
EVERY_PEER: Final = '*'


class Message:
    """The base of the messages that instances send each other.

    A subclass has slots, an ``__init__`` that takes the values of ``fields``
    in order, and properties of the same names. Values are numbers, strings,
    bytes, None, and tuples or dictionaries of these. Times travel as the
    seconds that remain and become deadlines on receipt.
    """

    __slots__ = ()

    #: The message's name on the wire.
    kind: str = ''
    #: The properties that travel, in the order of ``__init__``.
    fields: tuple[str, ...] = ()

    def __repr__(self) -> str:
        """Shows the kind and the fields."""
        shown = ', '.join(
            f'{name}={getattr(self, name)!r}' for name in self.fields
        )
        return f'{type(self).__name__}({shown})'

    def __eq__(self, other: object) -> bool:
        """Messages of one kind with equal fields are equal."""
        if not isinstance(other, Message) or other.kind != self.kind:
            return False
        return all(
            getattr(self, name) == getattr(other, name) for name in self.fields
        )

    def __hash__(self) -> int:
        """Hashes by the kind, since fields may be dictionaries."""
        return hash(self.kind)


@final
class Letter:
    """A message with the instance that it goes to."""

    __slots__ = ('_message', '_recipient')

    def __init__(self, recipient: str, message: Message) -> None:
        """Addresses ``message`` to one instance or to ``EVERY_PEER``."""
        self._recipient = recipient
        self._message = message

    @property
    def recipient(self) -> str:
        """The name of the instance, or ``EVERY_PEER``."""
        return self._recipient

    @property
    def message(self) -> Message:
        """What is sent."""
        return self._message


@final
class Outbox:
    """Messages that commands want sent, until an adapter takes them."""

    __slots__ = ('_letters', '_listener')

    def __init__(self) -> None:
        """Starts empty."""
        self._letters: list[Letter] = []
        self._listener: Callable[[], None] | None = None

    @property
    def letters(self) -> tuple[Letter, ...]:
        """The messages in the order in which they were put."""
        return tuple(self._letters)

    def put(self, recipient: str, message: Message) -> None:
        """Adds a message for one instance or for ``EVERY_PEER``."""
        self._letters.append(Letter(recipient, message))
        if self._listener is not None:
            self._listener()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Has ``listener`` called after each message that is put."""
        self._listener = listener

    def clear(self) -> None:
        """Forgets the messages, once they were taken."""
        self._letters.clear()
