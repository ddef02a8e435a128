"""Commands that inject a fault into an upstream stand-in."""

from collections.abc import Callable
from typing import Final, TypeAlias

from chervilstep.registry import Registry, new_registry
from chervilstep.types import Instant
from lab.servers import Server

#: Takes the upstream, the argument of the fault (may be empty) and the time.
Fault: TypeAlias = Callable[[Server, str, Instant], None]

FAULTS: Final[Registry[Fault]] = new_registry('fault')

DEFAULT_SLOWDOWN: Final = 10
DEFAULT_DOWN_SECONDS: Final = 1


@FAULTS.register('straggle')
def slow_down_requests(server: Server, argument: str, now: Instant) -> None:
    """Multiplies service times by the argument."""
    server.set_slowdown(float(argument or DEFAULT_SLOWDOWN))


@FAULTS.register('cold')
def start_cold(server: Server, argument: str, now: Instant) -> None:
    """Begins a cold start; the argument is its length in seconds."""
    seconds = float(argument or server.traits.cold_seconds)
    server.mark_cold(now + seconds)


@FAULTS.register('drain')
def start_draining(server: Server, argument: str, now: Instant) -> None:
    """Sheds new requests and finishes running ones."""
    server.set_draining(is_draining=True)


@FAULTS.register('fail-fast')
def fail_fast(server: Server, argument: str, now: Instant) -> None:
    """Answers every request at once with status 500."""
    server.set_failing(is_failing=True)


@FAULTS.register('silence')
def silence_connections(server: Server, argument: str, now: Instant) -> None:
    """Leaves requests on open connections unanswered; new ones work."""
    server.silence_connections(now)


@FAULTS.register('crash')
def crash(server: Server, argument: str, now: Instant) -> None:
    """Closes the port and all connections, then begins a cold start.

    The argument is the time in seconds until the port opens again.
    """
    down_until = now + float(argument or DEFAULT_DOWN_SECONDS)
    server.count('crashes')
    server.mark_down(down_until)
    server.mark_cold(down_until + server.traits.cold_seconds)


@FAULTS.register('crash-on')
def crash_on_marker(server: Server, argument: str, now: Instant) -> None:
    """Crashes on each request whose target contains the argument."""
    server.set_crash_marker(argument)


@FAULTS.register('limit')
def state_limit(server: Server, argument: str, now: Instant) -> None:
    """States the argument as the limit in answers; without one, none."""
    server.set_call_limit(float(argument) if argument else None)


@FAULTS.register('recover')
def recover(server: Server, argument: str, now: Instant) -> None:
    """Clears slowdown, draining, fast failures and the crash marker.

    Crashes and cold starts end after their time, and silenced connections
    stay silent. A stated limit stays too.
    """
    server.set_slowdown(1)
    server.set_draining(is_draining=False)
    server.set_failing(is_failing=False)
    server.set_crash_marker('')
