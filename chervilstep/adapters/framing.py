"""Reads the bodies of requests, and refuses ambiguous lengths."""

import re
from typing import Final, final

from tornado import httputil, iostream

from chervilstep.exceptions import RequestError

#: The longest line with the size of a chunk, extensions included.
MAX_CHUNK_LINE_BYTES: Final = 256
MAX_TRAILER_BYTES: Final = 8192

_DIGITS: Final = re.compile(r'[0-9]{1,18}')
_HEX: Final = re.compile(rb'[0-9a-fA-F]{1,15}')
_LINE_END: Final = b'\r\n'


@final
class Framing:
    """How the end of a body is found."""

    __slots__ = ('_is_chunked', '_length')

    def __init__(self, length: int, *, is_chunked: bool) -> None:
        """Creates the framing of a body of ``length``, or of chunks."""
        self._length = length
        self._is_chunked = is_chunked

    @property
    def length(self) -> int:
        """The stated length in bytes; zero for chunks."""
        return self._length

    @property
    def is_chunked(self) -> bool:
        """Whether the body comes in chunks."""
        return self._is_chunked

    @property
    def has_body(self) -> bool:
        """Whether anything follows the head."""
        return self._is_chunked or self._length > 0


def framing_of(headers: httputil.HTTPHeaders, limit: int) -> Framing:
    """Returns how the body of a request ends (RFC 9112, section 6).

    Raises:
        RequestError: The length is ambiguous, or above ``limit`` bytes.
    """
    lengths = headers.get_list('Content-Length')
    encoding = headers.get('Transfer-Encoding')
    if encoding is not None:
        if lengths:
            raise RequestError(400, 'A body has a length or comes in chunks.')
        if encoding.strip().lower() != 'chunked':
            raise RequestError(400, 'This encoding of a body is not known.')
        return Framing(0, is_chunked=True)
    length = _stated_length(lengths)
    if length > limit:
        raise RequestError(413, 'The body is too large.')
    return Framing(length, is_chunked=False)


async def read_body(
    stream: iostream.IOStream, framing: Framing, limit: int
) -> bytes:
    """Reads a whole body.

    Raises:
        RequestError: A chunk is not well formed, or all are too large.
        StreamClosedError: The caller has left.
    """
    if framing.is_chunked:
        return await _read_chunks(stream, limit)
    if not framing.length:
        return b''
    return await stream.read_bytes(framing.length)


def _stated_length(lengths: list[str]) -> int:
    if not lengths:
        return 0
    if len(set(lengths)) != 1 or not _DIGITS.fullmatch(lengths[0]):
        raise RequestError(400, 'The length of the body is not a number.')
    return int(lengths[0])


async def _read_chunks(stream: iostream.IOStream, limit: int) -> bytes:
    chunks: list[bytes] = []
    left = limit
    size = await _chunk_size(stream)
    while size:
        if size > left:
            raise RequestError(413, 'The body is too large.')
        left -= size
        chunk = await stream.read_bytes(size + len(_LINE_END))
        if chunk[size:] != _LINE_END:
            raise RequestError(400, 'A chunk has no end.')
        chunks.append(chunk[:size])
        size = await _chunk_size(stream)
    await _skip_trailers(stream)
    return b''.join(chunks)


async def _chunk_size(stream: iostream.IOStream) -> int:
    line = await stream.read_until(_LINE_END, max_bytes=MAX_CHUNK_LINE_BYTES)
    size = line[: -len(_LINE_END)].partition(b';')[0].strip(b' \t')
    if not _HEX.fullmatch(size):
        raise RequestError(400, 'The size of a chunk is not a number.')
    return int(size, 16)


async def _skip_trailers(stream: iostream.IOStream) -> None:
    left = MAX_TRAILER_BYTES
    line = b''
    while line != _LINE_END:
        line = await stream.read_until(_LINE_END, max_bytes=left)
        left -= len(line)
