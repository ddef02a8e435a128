"""Extension points of request handling.

Capabilities register functions here with decorators. The code that handles
requests runs every registered function and imports none of them.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Final, Generic, TypeAlias, TypeVar, final

from chervilstep.calls import Attempt, Call, Outcome, Ticket
from chervilstep.gauges import GaugeValue
from chervilstep.messages import Message
from chervilstep.node import Node
from chervilstep.refusals import Refusal
from chervilstep.registry import Registry, new_registry
from chervilstep.replica import StoredItem
from chervilstep.services import Service, Upstream
from chervilstep.types import Instant

Function = TypeVar('Function')


@final
class HookList(Generic[Function]):
    """Functions that run one after another, in ascending order of rank."""

    __slots__ = ('_functions', '_ranked')

    def __init__(self) -> None:
        """Creates an empty list."""
        self._ranked: list[tuple[int, Function]] = []
        self._functions: tuple[Function, ...] = ()

    def __iter__(self) -> Iterator[Function]:
        """Iterates over the functions, lowest rank first."""
        return iter(self._functions)

    def register(self, rank: int) -> Callable[[Function], Function]:
        """Returns a decorator that adds its target with ``rank``."""

        def decorate(target: Function) -> Function:
            self._add(rank, target)
            return target

        return decorate

    def _add(self, rank: int, function: Function) -> None:
        self._ranked.append((rank, function))
        self._ranked.sort(key=_rank_of)
        self._functions = tuple(ranked[1] for ranked in self._ranked)


@final
class Tick:
    """A command that runs periodically."""

    __slots__ = ('_command', '_period_seconds')

    def __init__(
        self, period_seconds: float, command: Callable[[Node, Instant], None]
    ) -> None:
        """Creates a tick that runs ``command`` every ``period_seconds``."""
        self._period_seconds = period_seconds
        self._command = command

    @property
    def period_seconds(self) -> float:
        """The time between two runs of the command."""
        return self._period_seconds

    @property
    def command(self) -> Callable[[Node, Instant], None]:
        """The command that runs periodically."""
        return self._command


#: Commands that need nothing but the node and the current time.
Command: TypeAlias = Callable[[Node, Instant], None]
#: Queries that may refuse a ticket before it is queued or sent.
Check: TypeAlias = Callable[[Node, Ticket, Instant], Refusal | None]
#: Commands that charge a ticket after every check has passed.
Charge: TypeAlias = Callable[[Node, Ticket, Instant], None]
#: Commands that run when a call is refused before it could run.
RefusalHook: TypeAlias = Callable[[Node, Call, Refusal, Instant], None]
#: Commands that run when an attempt starts.
AttemptStartHook: TypeAlias = Callable[[Node, Attempt], None]
#: Commands that run when an attempt ends.
AttemptEndHook: TypeAlias = Callable[[Node, Attempt, Outcome], None]
#: Commands that run when a stream to a peer was opened; the string is the name
#: of the peer.
PeerConnectHook: TypeAlias = Callable[[Node, str, Instant], None]
#: Commands that handle a message; the string is the name of the peer.
Handler: TypeAlias = Callable[[Node, str, Message, Instant], None]
#: Queries that choose one of the usable upstreams of a service, or None.
Policy: TypeAlias = Callable[
    [Node, Service, tuple[Upstream, ...], Instant], Upstream | None
]
#: Queries that return one entry of the status answer, as JSON values.
StatusQuery: TypeAlias = Callable[[Node, Instant], object]
#: Queries that return the current values of one gauge.
Gauge: TypeAlias = Callable[[Node, Instant], Iterable[GaugeValue]]
#: Commands that apply an item of the platform's store; they raise
#: ``ItemError`` if the item is invalid or outdated.
ItemReader: TypeAlias = Callable[[Node, StoredItem, Instant], None]
#: Queries that compare a known and a received item of a key by their contents:
#: whether the received one was written later, or None if the contents do not tell.
#: Either may be a deletion.
ItemOrder: TypeAlias = Callable[[StoredItem, StoredItem], bool | None]

CHECKS: Final[HookList[Check]] = HookList()
CHARGES: Final[HookList[Charge]] = HookList()
REFUSAL_HOOKS: Final[HookList[RefusalHook]] = HookList()
ATTEMPT_START_HOOKS: Final[HookList[AttemptStartHook]] = HookList()
ATTEMPT_END_HOOKS: Final[HookList[AttemptEndHook]] = HookList()
PEER_CONNECT_HOOKS: Final[HookList[PeerConnectHook]] = HookList()
#: Message handlers by the kind of message.
HANDLERS: Final[Registry[Handler]] = new_registry('message handler')
#: Message classes by kind, for the codec.
MESSAGES: Final[Registry[type[Message]]] = new_registry('message')
#: Periodic commands by name.
TICKS: Final[Registry[Tick]] = new_registry('tick')
#: Commands that hand over the state of this instance when it stops.
SHUTDOWN_HOOKS: Final[HookList[Command]] = HookList()
#: Queries for the entries of the status answer, by name.
STATUS_ENTRIES: Final[Registry[StatusQuery]] = new_registry('status entry')
#: Gauges of the metrics page, by name.
GAUGES: Final[Registry[Gauge]] = new_registry('gauge')
POLICIES: Final[Registry[Policy]] = new_registry('policy')
#: Commands that read an item of the platform's store, by the first segment of
#: its key.
ITEM_READERS: Final[Registry[ItemReader]] = new_registry('item reader')
#: Queries that compare items of the platform's store across its epochs, by the
#: first segment of their keys.
ITEM_ORDERS: Final[Registry[ItemOrder]] = new_registry('item order')
#: Commands that apply changes of the replica of the platform's store.
PUBLISHERS: Final[HookList[Command]] = HookList()


def every(period_seconds: float, name: str) -> Callable[[Command], Command]:
    """Returns a decorator that registers its target as a periodic command."""

    def decorate(target: Command) -> Command:
        TICKS.register(name)(Tick(period_seconds, target))
        return target

    return decorate


def _rank_of(ranked: tuple[int, object]) -> int:
    return ranked[0]
