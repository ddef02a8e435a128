"""Tests of servers that find no descriptor for a new connection."""

import asyncio
import contextlib
import errno
import socket

import pytest

from chervilstep.adapters.backlog import Acceptor


class FailingSocket(socket.socket):
    """A listening socket with a connection that cannot be accepted."""

    def __init__(self, fault):
        super().__init__()
        self.fault = fault
        self.accepts = 0
        self.bind(('127.0.0.1', 0))
        self.listen()
        self.caller = socket.create_connection(self.getsockname())

    def accept(self):
        self.accepts += 1
        raise OSError(self.fault, 'no room')

    def close(self):
        self.caller.close()
        super().close()


@pytest.mark.parametrize('fault', [errno.EMFILE, errno.ENFILE, errno.ENOMEM])
def test_lack_of_descriptors_does_not_spin(fault):
    """Guards against a loop that accepted in vain, and logged each time."""
    shortages = []

    async def scenario():
        with contextlib.closing(FailingSocket(fault)) as listening:
            acceptor = Acceptor(
                listening,
                lambda *_: None,
                lambda: shortages.append(fault),
                lambda: True,
            )
            acceptor.start()
            for _ in range(200):
                await asyncio.sleep(0)
            acceptor.stop()
            return listening.accepts

    assert asyncio.run(scenario()) == 1
    assert shortages == [fault]
