"""An event loop with a virtual clock, whose timers take no real time."""

import asyncio
import selectors
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, TypeVar, final

Result = TypeVar('Result')


@final
class VirtualSelector(selectors.BaseSelector):
    """A selector that advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        """Creates a selector with the time zero."""
        self.now = float(0)
        self._selector = selectors.DefaultSelector()

    def register(
        self, fileobj: Any, events: int, data: Any = None
    ) -> selectors.SelectorKey:
        """Registers a file with the real selector."""
        return self._selector.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Unregisters a file."""
        return self._selector.unregister(fileobj)

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advances the clock by ``timeout`` and returns the ready events."""
        if timeout is None:
            raise RuntimeError('deadlock: nothing is ready and no timer is set')
        self.now += max(0, timeout)
        return self._selector.select(0)

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """Returns the map of registered files."""
        return self._selector.get_map()

    def close(self) -> None:
        """Closes the real selector."""
        self._selector.close()


@final
class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs coroutines in virtual time, which starts at zero."""

    def __init__(self) -> None:
        """Creates a loop with a virtual selector."""
        self._virtual = VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual.now

    def run_ready(self) -> None:
        """Runs one iteration of the loop, without waiting."""
        self.call_soon(self.stop)
        self.run_forever()

    def advance(self, seconds: float) -> None:
        """Advances the clock without running timers, as if paused by SIGSTOP."""
        self._virtual.now += seconds


def run_virtually(
    start: Callable[[VirtualLoop], Coroutine[Any, Any, Result]],
) -> Result:
    """Runs ``start(loop)`` and returns its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(start(loop))
    finally:
        loop.close()
