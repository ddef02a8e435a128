"""Reads one HTTP answer of an upstream and tells whether it is whole."""

import re
from typing import Final, final

from tornado import httputil

from chervilstep.calls import Answer, Headers
from chervilstep.queries.headers import answer_headers

#: Statuses whose answers have no body and so no length.
_TIMEOUT: Final = re.compile(r'timeout=(\d+)')
_STATUSES_WITHOUT_BODY: Final = frozenset((204, 304))


@final
class AnswerReader(httputil.HTTPMessageDelegate):
    """Collects one answer and tells whether it is whole.

    A body without a stated length ends with its connection; whoever reads it
    has to check that the connection was closed and not reset.
    """

    __slots__ = (
        '_body_limit_bytes',
        '_chunks',
        '_headers',
        '_is_finished',
        '_is_head',
        '_is_reusable',
        '_start_line',
    )

    def __init__(self, method: str, body_limit_bytes: int) -> None:
        """Starts before the first byte of the answer to ``method``."""
        self._is_head = method == 'HEAD'
        self._body_limit_bytes = body_limit_bytes
        self._chunks: list[bytes] = []
        self._headers = httputil.HTTPHeaders()
        self._start_line: httputil.ResponseStartLine | None = None
        self._is_finished = False
        self._is_reusable = True

    @property
    def header_map(self) -> httputil.HTTPHeaders:
        """The headers by name, without regard to case."""
        return self._headers

    @property
    def kept_seconds(self) -> float | None:
        """How long the upstream keeps the connection, if it says so."""
        found = _TIMEOUT.search(self._headers.get('Keep-Alive', ''))
        return float(found.group(1)) if found else None

    @property
    def has_head(self) -> bool:
        """Whether the status line and the headers have arrived."""
        return self._start_line is not None

    @property
    def is_too_large(self) -> bool:
        """Whether the stated length of the body is over the limit."""
        length = self._headers.get('Content-Length', '')
        return length.isdigit() and int(length) > self._body_limit_bytes

    @property
    def keeps_alive(self) -> bool:
        """Whether the connection can carry another request."""
        connection = self._headers.get('Connection', '').lower()
        start = self._start_line
        if start is None or not self._is_reusable or not self.has_length:
            return False
        return start.version == 'HTTP/1.1' and connection != 'close'

    @property
    def has_length(self) -> bool:
        """Whether the body ends before the connection does."""
        if self._is_head:
            return True
        if self._start_line and self._start_line.code in _STATUSES_WITHOUT_BODY:
            return True
        return (
            'Content-Length' in self._headers
            or 'Transfer-Encoding' in self._headers
        )

    @property
    def answer(self) -> Answer | None:
        """The whole answer, or None while anything is missing."""
        start = self._start_line
        if start is None or not self._is_finished:
            return None
        return Answer(
            start.code,
            start.reason,
            self._end_to_end_headers(),
            b''.join(self._chunks),
        )

    def forbid_reuse(self) -> None:
        """Notes that the connection must carry no other request."""
        self._is_reusable = False

    def has_header(self, name: str) -> bool:
        """Whether the answer carries the header ``name``."""
        return name in self._headers

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Takes the head; one of an interim answer is replaced later."""
        if isinstance(start_line, httputil.ResponseStartLine):
            self._start_line = start_line
            self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Takes a part of the body."""
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Notes that the body ended as its framing said."""
        self._is_finished = True

    def _end_to_end_headers(self) -> Headers:
        headers = answer_headers(self._headers.get_all())
        # The length in an answer to HEAD tells of a body that is not sent.
        if self._is_head and 'Content-Length' in self._headers:
            return (
                *headers,
                ('Content-Length', self._headers['Content-Length']),
            )
        return headers
