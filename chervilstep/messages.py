"""The base class of messages between instances, and their outbox."""

from collections.abc import Callable
from typing import Final, final

#: The recipient of a message to all connected peers.
EVERY_PEER: Final = '*'


class Message:
    """The base class of the messages that instances send each other.

    A subclass has slots, an ``__init__`` that takes the values of ``fields``
    in order, and properties of the same names. Values are numbers, strings,
    bytes, None, and tuples or dictionaries of these. A deadline is sent as
    the remaining seconds and restored on receipt.
    """

    __slots__ = ()

    #: The message's name on the wire.
    kind: str = ''
    #: The properties that are sent, in the order of ``__init__``.
    fields: tuple[str, ...] = ()

    def __repr__(self) -> str:
        """Returns the class name and the fields."""
        field_texts = ', '.join(
            f'{name}={getattr(self, name)!r}' for name in self.fields
        )
        return f'{type(self).__name__}({field_texts})'

    def __eq__(self, other: object) -> bool:
        """Whether both messages have the same kind and equal fields."""
        if not isinstance(other, Message) or other.kind != self.kind:
            return False
        return all(
            getattr(self, name) == getattr(other, name) for name in self.fields
        )

    def __hash__(self) -> int:
        """Returns a hash of the kind, since fields may be unhashable."""
        return hash(self.kind)


@final
class Envelope:
    """A message with its recipient."""

    __slots__ = ('_message', '_recipient')

    def __init__(self, recipient: str, message: Message) -> None:
        """Creates an envelope for one instance or ``EVERY_PEER``."""
        self._recipient = recipient
        self._message = message

    @property
    def recipient(self) -> str:
        """The name of the instance, or ``EVERY_PEER``."""
        return self._recipient

    @property
    def message(self) -> Message:
        """The message to send."""
        return self._message


@final
class Outbox:
    """The queue of messages that commands send through an adapter."""

    __slots__ = ('_envelopes', '_listener')

    def __init__(self) -> None:
        """Creates an empty outbox without a listener."""
        self._envelopes: list[Envelope] = []
        self._listener: Callable[[], None] | None = None

    @property
    def envelopes(self) -> tuple[Envelope, ...]:
        """The queued messages, the oldest first."""
        return tuple(self._envelopes)

    def put(self, recipient: str, message: Message) -> None:
        """Queues a message to one instance or to ``EVERY_PEER``."""
        self._envelopes.append(Envelope(recipient, message))
        if self._listener is not None:
            self._listener()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Sets the callback that runs after each queued message."""
        self._listener = listener

    def clear(self) -> None:
        """Removes the queued messages after an adapter has read them."""
        self._envelopes.clear()
