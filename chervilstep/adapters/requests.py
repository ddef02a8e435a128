"""HTTP/1.1 requests and responses, and their wire format."""

from http import HTTPStatus
from typing import Final, final

from tornado import httputil

from chervilstep.calls import Headers
from chervilstep.exceptions import RequestError

_STATUSES_WITHOUT_BODY: Final = frozenset((204, 304))


@final
class Request:
    """A complete request."""

    __slots__ = ('_body', '_headers', '_method', '_target')

    def __init__(
        self,
        method: str,
        target: str,
        headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> None:
        """Creates a request from its parsed parts."""
        self._method = method
        self._target = target
        self._headers = headers
        self._body = body

    @property
    def method(self) -> str:
        """The request method."""
        return self._method

    @property
    def target(self) -> str:
        """The request target: the path and the query string."""
        return self._target

    @property
    def headers(self) -> httputil.HTTPHeaders:
        """The headers as received."""
        return self._headers

    @property
    def body(self) -> bytes:
        """The decoded body."""
        return self._body


@final
class Response:
    """A complete response."""

    __slots__ = ('_body', '_headers', '_reason', '_status')

    def __init__(
        self, status: int, headers: Headers, body: bytes, reason: str = ''
    ) -> None:
        """Creates a response; ``encode`` adds the framing headers."""
        self._status = status
        self._headers = headers
        self._body = body
        self._reason = reason or _reason_phrase(status)

    def encode(self, *, is_head: bool, closes: bool) -> bytes:
        """Returns the response as bytes, without a body for HEAD."""
        lines = [f'HTTP/1.1 {self._status} {self._reason}']
        lines.extend(f'{name}: {text}' for name, text in self._headers)
        has_body = self._status not in _STATUSES_WITHOUT_BODY and not is_head
        if has_body:
            lines.append(f'Content-Length: {len(self._body)}')
        if closes:
            lines.append('Connection: close')
        head = '\r\n'.join((*lines, '', '')).encode('latin-1')
        return b''.join((head, self._body if has_body else b''))


def parse_head(
    head: bytes,
) -> tuple[httputil.RequestStartLine, httputil.HTTPHeaders]:
    """Parses the request line and the headers of a request.

    Raises:
        RequestError: The request line or the headers are malformed.
    """
    text = head.decode('latin-1').lstrip('\r\n')
    line, _, rest = text.partition('\n')
    start, headers = _parse_lines(line.rstrip('\r'), rest)
    if len(headers.get_list('Host')) != 1 and start.version != 'HTTP/1.0':
        raise RequestError(400, 'There must be one host.')
    if not start.path.startswith('/'):
        raise RequestError(400, 'The target must be a path.')
    return start, headers


def _parse_lines(
    line: str, rest: str
) -> tuple[httputil.RequestStartLine, httputil.HTTPHeaders]:
    try:
        return (
            httputil.parse_request_start_line(line),
            httputil.HTTPHeaders.parse(rest),
        )
    except (httputil.HTTPInputError, ValueError) as error:
        raise RequestError(400, str(error)) from error


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'
