"""The input of one connection of a caller, which counts what it buffers."""

import asyncio
import re
from collections.abc import AsyncIterator, Callable
from typing import Final, cast, final

from tornado import iostream

from chervilstep.adapters.streams import has_pending_input
from chervilstep.exceptions import RequestError

#: How many bytes are read at once into the buffer of a connection.
READ_BYTES: Final = 16 * 1024
#: Heads of up to this many times the limit are read and answered with 431;
#: larger ones close the connection.
HEAD_READ_FACTOR: Final = 2

_HEAD_END: Final = re.compile(rb'\r?\n\r?\n')
#: The end of a head may be split between two reads.
_HEAD_END_OVERLAP: Final = 3
_LINE_END: Final = b'\r\n'


@final
class CallerInput:
    """Buffers input that belongs to no body yet.

    The methods that read raise ``StreamClosedError`` when the caller has closed
    the connection.
    """

    __slots__ = ('_buffer', '_on_input', '_pending', '_stream', '_waiter')

    def __init__(
        self, stream: iostream.IOStream, on_input: Callable[[int], None]
    ) -> None:
        """Creates the input of a stream.

        ``on_input`` is called with the number of buffered bytes after each
        change of it and after each read.
        """
        self._stream = stream
        self._on_input = on_input
        self._buffer = bytearray()
        self._pending: asyncio.Future[bytes] | None = None
        self._waiter: asyncio.Future[None] | None = None

    @property
    def buffered(self) -> bytearray:
        """The buffered bytes; ``skip`` removes them."""
        return self._buffer

    @property
    def buffered_bytes(self) -> int:
        """The number of buffered bytes."""
        return len(self._buffer)

    @property
    def is_waiting(self) -> bool:
        """Whether a read waits for the caller."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def has_pending(self) -> bool:
        """Whether the kernel holds bytes, the end of the stream or an error."""
        return not self._stream.closed() and has_pending_input(
            self._stream.socket
        )

    @property
    def has_received(self) -> bool:
        """Whether a read has ended whose bytes were not taken yet."""
        return self._pending is not None and self._pending.done()

    def interrupt(self, error: Exception) -> None:
        """Raises ``error`` in a read that waits for the caller."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)

    def skip(self, size: int) -> None:
        """Removes bytes from the start of the buffer."""
        if size:
            del self._buffer[:size]
            self._on_input(self.buffered_bytes)

    async def fill(self) -> None:
        """Waits for more input and adds it to the buffer."""
        self._buffer += await self._receive()
        self._on_input(self.buffered_bytes)

    async def read_head(self, max_bytes: int) -> bytes:
        """Reads to the first empty line.

        Raises:
            RequestError: The head is longer than ``max_bytes``.
            StreamClosedError: It is so long that it is not read to its end.
        """
        searched = 0
        found = _HEAD_END.search(self._buffer)
        while found is None:
            if self.buffered_bytes > HEAD_READ_FACTOR * max_bytes:
                raise iostream.StreamClosedError()
            searched = max(0, self.buffered_bytes - _HEAD_END_OVERLAP)
            await self.fill()
            found = _HEAD_END.search(self._buffer, searched)
        if found.end() > max_bytes:
            raise RequestError(431, 'The head is too large.')
        return self._take(found.end())

    async def read_line(self, max_bytes: int) -> bytes:
        """Reads to the next line end, which is included.

        Raises:
            RequestError: The line is longer than ``max_bytes``.
        """
        end = self._buffer.find(_LINE_END, 0, max_bytes)
        while end < 0:
            if len(self._buffer) >= max_bytes:
                raise RequestError(431, 'A line of the body is too long.')
            await self.fill()
            end = self._buffer.find(_LINE_END, 0, max_bytes)
        return self._take(end + len(_LINE_END))

    async def read_exactly(self, size: int) -> bytes:
        """Reads a few bytes, which must fit into the buffer."""
        while len(self._buffer) < size:
            await self.fill()
        return self._take(size)

    async def read_some(self, max_bytes: int) -> bytes:
        """Reads what is there, but some bytes at least."""
        if self._buffer or max_bytes < READ_BYTES:
            if not self._buffer:
                await self.fill()
            return self.take_some(max_bytes)
        # What certainly belongs to the body needs no place in the buffer.
        piece = await self._receive()
        self._on_input(0)
        return piece

    def take_some(self, max_bytes: int) -> bytes:
        """Returns and removes what is buffered, without waiting."""
        return self._take(min(max_bytes, self.buffered_bytes))

    async def discard(self) -> AsyncIterator[None]:
        """Reads and drops all further input; yields after each piece."""
        while True:
            self.skip(self.buffered_bytes)
            await self._receive()
            yield

    def _take(self, size: int) -> bytes:
        taken = bytes(self._buffer[:size])
        self.skip(size)
        return taken

    async def _receive(self) -> bytes:
        """Waits for a read, or for the one that was interrupted before."""
        if self._pending is None:
            self._pending = cast(
                'asyncio.Future[bytes]',
                self._stream.read_bytes(READ_BYTES, partial=True),
            )
        if not self._pending.done():
            await self._wait_for(self._pending)
        received = self._pending
        self._pending = None
        return received.result()

    async def _wait_for(self, pending: 'asyncio.Future[bytes]') -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        pending.add_done_callback(self._wake)
        await self._waiter

    def _wake(self, pending: 'asyncio.Future[bytes]') -> None:
        if not pending.cancelled():
            # A read that was interrupted may fail unnoticed.
            pending.exception()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
