"""Reads request bodies and rejects ambiguous framing."""

import re
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias, final

from tornado import httputil

from chervilstep.adapters.callerinput import CallerInput
from chervilstep.adapters.turnstile import Turnstile
from chervilstep.calls import Body
from chervilstep.exceptions import RequestError

#: The longest chunk-size line, including chunk extensions.
MAX_CHUNK_LINE_BYTES: Final = 256
MAX_TRAILER_BYTES: Final = 8192
#: Bodies up to this size are read at once.
SMALL_BODY_BYTES: Final = 64 * 1024
#: A turn of the event loop reads about so much of a body.
PIECE_BYTES: Final = 64 * 1024
#: A body may have so many chunks before it waits for its turns.
FREE_CHUNKS: Final = 32
#: A turn of the event loop reads at most so many chunks of all bodies together,
#: which takes about a millisecond.
CHUNKS_PER_TURN: Final = 512
#: Reserves bytes before they are read; raises ``OverloadError`` without room.
Reserve: TypeAlias = Callable[[int], Awaitable[None]]

_LENGTH_PATTERN: Final = re.compile(r'[0-9]{1,18}')
_CHUNK_LINE_PATTERN: Final = re.compile(
    rb'[ \t]*([0-9a-fA-F]{1,15})[ \t]*(?:;.*?)?\r\n', re.DOTALL
)
_LINE_END: Final = b'\r\n'


@final
class Framing:
    """The delimitation of a message body: a length or chunks."""

    __slots__ = ('_is_chunked', '_length')

    def __init__(self, length: int, *, is_chunked: bool) -> None:
        """Creates the framing of a body of ``length`` bytes or of chunks."""
        self._length = length
        self._is_chunked = is_chunked

    @property
    def length(self) -> int:
        """The content length in bytes; zero for a chunked body."""
        return self._length

    @property
    def is_chunked(self) -> bool:
        """Whether the body uses the chunked transfer coding."""
        return self._is_chunked

    @property
    def has_body(self) -> bool:
        """Whether a body follows the head."""
        return self._is_chunked or self._length > 0


def parse_framing(headers: httputil.HTTPHeaders, limit_bytes: int) -> Framing:
    """Returns the framing of a request body (RFC 9112, section 6).

    Raises:
        RequestError: The length is ambiguous or above ``limit_bytes``.
    """
    lengths = headers.get_list('Content-Length')
    encoding = headers.get('Transfer-Encoding')
    if encoding is not None:
        if lengths:
            raise RequestError(400, 'A body has a length or comes in chunks.')
        if encoding.strip().lower() != 'chunked':
            raise RequestError(400, 'This encoding of a body is not known.')
        return Framing(0, is_chunked=True)
    length = _parse_content_length(lengths)
    if length > limit_bytes:
        raise RequestError(413, 'The body is too large.')
    return Framing(length, is_chunked=False)


async def read_body(
    caller_input: CallerInput,
    framing: Framing,
    limit_bytes: int,
    reserve: Reserve,
    turnstile: Turnstile,
) -> Body:
    """Reads a complete body.

    The bytes of chunks are reserved before they are read; those of a body with
    a length must be reserved already. Long bodies take turns at ``turnstile``.

    Raises:
        RequestError: A chunk is malformed, or the body is above the limit.
        OverloadError: There is no room for a chunk.
        StreamClosedError: The caller closed the connection.
    """
    if framing.is_chunked:
        reader = ChunkReader(caller_input, limit_bytes, reserve, turnstile)
        return await reader.read()
    buffered = caller_input.take_some(framing.length)
    if len(buffered) == framing.length:
        return buffered
    body = bytearray(buffered)
    await _append_pieces(caller_input, body, framing.length, turnstile)
    return body


def _parse_content_length(lengths: list[str]) -> int:
    if not lengths:
        return 0
    if len(set(lengths)) != 1 or not _LENGTH_PATTERN.fullmatch(lengths[0]):
        raise RequestError(400, 'The length of the body is not a number.')
    return int(lengths[0])


async def _append_pieces(
    caller_input: CallerInput, body: bytearray, end: int, turnstile: Turnstile
) -> None:
    """Reads until ``body`` has ``end`` bytes, a piece in each turn.

    The memory of the body grows with it: what the kernel holds of a body and
    what was read of it never take more than was reserved.
    """
    missing = end - len(body)
    turn_bytes = PIECE_BYTES
    while missing:
        piece = await caller_input.read_some(missing)
        body += piece
        missing -= len(piece)
        turn_bytes -= len(piece)
        if turn_bytes <= 0:
            # A read that finds its bytes at once does not yield to the loop.
            await turnstile.wait()
            turn_bytes = PIECE_BYTES


@final
class ChunkScan:
    """Where the next chunks are in a buffer."""

    __slots__ = ('_ends_body', '_next_size', '_pieces', '_position')

    def __init__(self) -> None:
        """Creates the scan of a buffer at its start."""
        self._pieces: list[slice] = []
        self._position = 0
        self._next_size = 0
        self._ends_body = False

    @property
    def pieces(self) -> list[slice]:
        """The data of the complete chunks."""
        return self._pieces

    @property
    def data_bytes(self) -> int:
        """The size of the data of the complete chunks."""
        return sum(piece.stop - piece.start for piece in self._pieces)

    @property
    def position(self) -> int:
        """The end of what was scanned."""
        return self._position

    @property
    def next_size(self) -> int:
        """The size of a chunk of which only the size line was scanned, or 0."""
        return self._next_size

    @property
    def ends_body(self) -> bool:
        """Whether the last chunk was scanned."""
        return self._ends_body

    def scan(self, buffer: bytearray, max_chunks: int) -> None:
        """Scans up to ``max_chunks`` chunks.

        Raises:
            RequestError: A chunk is malformed.
        """
        for _ in range(max_chunks):
            end = self._position + MAX_CHUNK_LINE_BYTES
            line = _CHUNK_LINE_PATTERN.match(buffer, self._position, end)
            if line is None:
                _check_incomplete_line(buffer, self._position, end)
                return
            self._position = line.end()
            size = int(line.group(1), 16)
            if not size:
                self._ends_body = True
                return
            stop = self._position + size
            if len(buffer) < stop + len(_LINE_END):
                self._next_size = size
                return
            if buffer[stop : stop + len(_LINE_END)] != _LINE_END:
                raise RequestError(400, 'A chunk has no end.')
            self._pieces.append(slice(self._position, stop))
            self._position = stop + len(_LINE_END)


def _check_incomplete_line(buffer: bytearray, start: int, end: int) -> None:
    if buffer.find(_LINE_END, start, end) >= 0:
        raise RequestError(400, 'The size of a chunk is not a number.')
    if len(buffer) >= end:
        raise RequestError(431, 'The line of a chunk is too long.')


@final
class ChunkReader:
    """Reads a body in chunks."""

    __slots__ = (
        '_body',
        '_free_chunks',
        '_input',
        '_limit_bytes',
        '_reserve',
        '_turnstile',
    )

    def __init__(
        self,
        caller_input: CallerInput,
        limit_bytes: int,
        reserve: Reserve,
        turnstile: Turnstile,
    ) -> None:
        """Creates a reader of one body."""
        self._input = caller_input
        self._limit_bytes = limit_bytes
        self._reserve = reserve
        self._turnstile = turnstile
        self._body = bytearray()
        self._free_chunks = FREE_CHUNKS

    async def read(self) -> bytearray:
        """Reads the chunks and the trailers."""
        while not await self._read_some():
            if not self._free_chunks:
                await self._turnstile.wait()
        await _skip_trailers(self._input)
        return self._body

    async def _read_some(self) -> bool:
        """Reads some chunks; returns whether the last one was read."""
        max_chunks = self._free_chunks or CHUNKS_PER_TURN
        scan = ChunkScan()
        scan.scan(self._input.buffered, max_chunks)
        await self._take_pieces(scan)
        chunks = len(scan.pieces) + bool(scan.next_size)
        self._free_chunks = max(0, self._free_chunks - chunks)
        if scan.next_size:
            await self._read_chunk(scan.next_size)
        elif len(scan.pieces) < max_chunks and not scan.ends_body:
            await self._input.fill()
        return scan.ends_body

    async def _take_pieces(self, scan: ChunkScan) -> None:
        if scan.pieces:
            await self._reserve_within_limit(scan.data_bytes)
            buffer = self._input.buffered
            for piece in scan.pieces:
                self._body += buffer[piece]
        self._input.skip(scan.position)

    async def _read_chunk(self, size: int) -> None:
        """Appends a chunk that is longer than what is buffered."""
        await self._reserve_within_limit(size)
        end = len(self._body) + size
        await _append_pieces(self._input, self._body, end, self._turnstile)
        if await self._input.read_exactly(len(_LINE_END)) != _LINE_END:
            raise RequestError(400, 'A chunk has no end.')

    async def _reserve_within_limit(self, size: int) -> None:
        if size > self._limit_bytes - len(self._body):
            raise RequestError(413, 'The body is too large.')
        await self._reserve(size)


async def _skip_trailers(caller_input: CallerInput) -> None:
    remaining = MAX_TRAILER_BYTES
    line = b''
    while line != _LINE_END:
        line = await caller_input.read_line(remaining)
        remaining -= len(line)
