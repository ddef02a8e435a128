"""Faults of an upstream stand-in, by name."""

from collections.abc import Callable
from typing import Final, TypeAlias

from chervilstep.registry import Registry, new_registry
from chervilstep.types import Instant
from lab.servers import Server

#: Commands that bring a fault about; the text is their one argument.
Fault: TypeAlias = Callable[[Server, str, Instant], None]

FAULTS: Final[Registry[Fault]] = new_registry('fault')

DEFAULT_SLOWDOWN: Final = 10
DEFAULT_DOWN_SECONDS: Final = 1


@FAULTS.register('straggle')
def straggle(server: Server, argument: str, now: Instant) -> None:
    """Multiplies service times by the argument."""
    server.slow_down(float(argument or DEFAULT_SLOWDOWN))


@FAULTS.register('cold')
def turn_cold(server: Server, argument: str, now: Instant) -> None:
    """Starts a cold start of as many seconds as the argument says."""
    seconds = float(argument or server.traits.cold_seconds)
    server.chill(now + seconds)


@FAULTS.register('drain')
def drain(server: Server, argument: str, now: Instant) -> None:
    """Sheds new requests and finishes present ones."""
    server.drain(is_draining=True)


@FAULTS.register('fail-fast')
def fail_fast(server: Server, argument: str, now: Instant) -> None:
    """Answers every request at once with status 500."""
    server.fail(is_failing=True)


@FAULTS.register('silence')
def silence(server: Server, argument: str, now: Instant) -> None:
    """Makes the open connections swallow everything; new ones work."""
    server.silence(now)


@FAULTS.register('crash')
def crash(server: Server, argument: str, now: Instant) -> None:
    """Breaks all connections, listens again after a time, and is cold."""
    down_until = now + float(argument or DEFAULT_DOWN_SECONDS)
    server.count('crashes')
    server.go_down(down_until)
    server.chill(down_until + server.traits.cold_seconds)


@FAULTS.register('crash-on')
def crash_on(server: Server, argument: str, now: Instant) -> None:
    """Crashes on each request whose target contains the argument."""
    server.crash_on(argument)


@FAULTS.register('recover')
def recover(server: Server, argument: str, now: Instant) -> None:
    """Ends every fault that lasts."""
    server.slow_down(1)
    server.drain(is_draining=False)
    server.fail(is_failing=False)
    server.crash_on('')
