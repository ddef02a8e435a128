"""Reads request bodies and rejects ambiguous framing."""

import asyncio
import itertools
import re
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias, cast, final

from tornado import httputil, iostream

from chervilstep.calls import Body
from chervilstep.exceptions import RequestError

#: The longest chunk-size line, including chunk extensions.
MAX_CHUNK_LINE_BYTES: Final = 256
MAX_TRAILER_BYTES: Final = 8192
#: Long bodies are read in pieces of this size.
PIECE_BYTES: Final = 64 * 1024
#: A turn of the event loop reads at most so many chunks of one body, which takes
#: less than a millisecond.
CHUNKS_PER_TURN: Final = 32
#: Reserves bytes before they are read; raises ``OverloadError`` without room.
Reserve: TypeAlias = Callable[[int], Awaitable[None]]

_LENGTH_PATTERN: Final = re.compile(r'[0-9]{1,18}')
_CHUNK_SIZE_PATTERN: Final = re.compile(rb'[0-9a-fA-F]{1,15}')
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
    stream: iostream.IOStream,
    framing: Framing,
    limit_bytes: int,
    reserve: Reserve,
) -> Body:
    """Reads a complete body.

    The bytes of chunks are reserved before they are read; those of a body with
    a length must be reserved already.

    Raises:
        RequestError: A chunk is malformed, or the body is above the limit.
        OverloadError: There is no room for a chunk.
        StreamClosedError: The caller closed the connection.
    """
    if framing.is_chunked:
        return await _read_chunks(stream, limit_bytes, reserve)
    if not framing.length:
        return b''
    if framing.length <= PIECE_BYTES:
        return await stream.read_bytes(framing.length)
    return await _read_in_place(stream, framing.length)


async def _read_in_place(stream: iostream.IOStream, length: int) -> bytearray:
    """Reads a long body without a second copy of it."""
    body = bytearray(length)
    for start in range(0, length, PIECE_BYTES):
        end = min(start + PIECE_BYTES, length)
        # Tornado accepts any writable buffer.
        piece = cast(bytearray, memoryview(body)[start:end])
        await stream.read_into(piece)
        # A read that finds its bytes at once does not yield to the loop.
        await asyncio.sleep(0)
    return body


def _parse_content_length(lengths: list[str]) -> int:
    if not lengths:
        return 0
    if len(set(lengths)) != 1 or not _LENGTH_PATTERN.fullmatch(lengths[0]):
        raise RequestError(400, 'The length of the body is not a number.')
    return int(lengths[0])


async def _read_chunks(
    stream: iostream.IOStream, limit_bytes: int, reserve: Reserve
) -> bytearray:
    body = bytearray()
    for number in itertools.count():
        if not number % CHUNKS_PER_TURN:
            # Reads that find their bytes at once do not yield to the loop.
            await asyncio.sleep(0)
        size = await _read_chunk_size(stream)
        if not size:
            break
        if size > limit_bytes - len(body):
            raise RequestError(413, 'The body is too large.')
        await reserve(size)
        await _read_chunk(stream, size, body)
    await _skip_trailers(stream)
    return body


async def _read_chunk(
    stream: iostream.IOStream, size: int, body: bytearray
) -> None:
    """Appends a chunk to ``body``, piece by piece."""
    remaining = size
    while remaining:
        piece = await stream.read_bytes(
            min(remaining, PIECE_BYTES), partial=True
        )
        body += piece
        remaining -= len(piece)
    if await stream.read_bytes(len(_LINE_END)) != _LINE_END:
        raise RequestError(400, 'A chunk has no end.')


async def _read_chunk_size(stream: iostream.IOStream) -> int:
    line = await stream.read_until(_LINE_END, max_bytes=MAX_CHUNK_LINE_BYTES)
    size = line[: -len(_LINE_END)].partition(b';')[0].strip(b' \t')
    if not _CHUNK_SIZE_PATTERN.fullmatch(size):
        raise RequestError(400, 'The size of a chunk is not a number.')
    return int(size, 16)


async def _skip_trailers(stream: iostream.IOStream) -> None:
    remaining = MAX_TRAILER_BYTES
    line = b''
    while line != _LINE_END:
        line = await stream.read_until(_LINE_END, max_bytes=remaining)
        remaining -= len(line)
