"""An event loop whose clock is virtual: waiting takes no real time."""

import asyncio
import selectors


class VirtualSelector(selectors.BaseSelector):
    """Advances the loop's clock in place of waiting."""

    def __init__(self):
        self.now = float(0)
        self._selector = selectors.DefaultSelector()

    def register(self, fileobj, events, data=None):
        return self._selector.register(fileobj, events, data)

    def unregister(self, fileobj):
        return self._selector.unregister(fileobj)

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('everything waits and no timer is set')
        if timeout > 0:
            self.now += timeout
        return self._selector.select(0)

    def get_map(self):
        return self._selector.get_map()

    def close(self):
        self._selector.close()


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs coroutines in virtual time, which starts at zero."""

    def __init__(self):
        self._virtual = VirtualSelector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.now

    def turn(self):
        """Runs what is ready, once."""
        self.call_soon(self.stop)
        self.run_forever()

    def jump(self, seconds):
        """Moves the clock as a pause of the process would."""
        self._virtual.now += seconds


def run_virtually(start):
    """Runs ``start(loop)``, a coroutine function, and returns its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(start(loop))
    finally:
        loop.close()
