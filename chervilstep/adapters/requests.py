"""HTTP/1.1 requests and responses, and their wire format."""

from http import HTTPStatus
from typing import Final, TypeAlias, final

from tornado import httputil

from chervilstep.calls import Body, Headers
from chervilstep.exceptions import RequestError
from chervilstep.memory import Holding

#: Bytes that a stream can write without a copy.
Part: TypeAlias = bytes | memoryview
#: Longer bodies are written apart from their head.
MAX_COPIED_BYTES: Final = 64 * 1024
_STATUSES_WITHOUT_BODY: Final = frozenset((204, 304))


@final
class Request:
    """A complete request."""

    __slots__ = ('_body', '_headers', '_holding', '_method', '_target')

    def __init__(
        self,
        method: str,
        target: str,
        headers: httputil.HTTPHeaders,
        body: Body,
        holding: Holding | None = None,
    ) -> None:
        """Creates a request from its parsed parts.

        ``holding`` has the bytes of the body, if these are in the budget.
        """
        self._holding = holding
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
    def body(self) -> Body:
        """The decoded body."""
        return self._body

    @property
    def holding(self) -> Holding | None:
        """The bytes of the body in the budget."""
        return self._holding


@final
class Response:
    """A complete response."""

    __slots__ = ('_body', '_headers', '_holding', '_reason', '_status')

    def __init__(
        self,
        status: int,
        headers: Headers,
        body: Body,
        reason: str = '',
        holding: Holding | None = None,
    ) -> None:
        """Creates a response; ``encode`` adds the framing headers.

        ``holding`` has the bytes of the body, if these are in the budget.
        """
        self._holding = holding
        self._status = status
        self._headers = headers
        self._body = body
        self._reason = reason or _reason_phrase(status)

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._status

    @property
    def headers(self) -> Headers:
        """The headers without those that delimit the body."""
        return self._headers

    @property
    def body(self) -> Body:
        """The complete body."""
        return self._body

    @property
    def holding(self) -> Holding | None:
        """The bytes of the body in the budget."""
        return self._holding

    def encode(self, *, is_head: bool, closes: bool) -> tuple[Part, ...]:
        """Returns the parts to write, without a body for HEAD.

        A long body is a part of its own, so that it is not copied.
        """
        lines = [f'HTTP/1.1 {self._status} {self._reason}']
        lines.extend(f'{name}: {text}' for name, text in self._headers)
        has_body = self._status not in _STATUSES_WITHOUT_BODY and not is_head
        if has_body:
            lines.append(f'Content-Length: {len(self._body)}')
        if closes:
            lines.append('Connection: close')
        head = '\r\n'.join((*lines, '', '')).encode('latin-1')
        if not has_body or not self._body:
            return (head,)
        if len(self._body) > MAX_COPIED_BYTES:
            return head, memoryview(self._body)
        return (b''.join((head, self._body)),)


def parse_head(
    head: bytes, *, requires_host: bool = True
) -> tuple[httputil.RequestStartLine, httputil.HTTPHeaders]:
    """Parses the request line and the headers of a request.

    Raises:
        RequestError: The request line or the headers are malformed.
    """
    text = head.decode('latin-1').lstrip('\r\n')
    line, _, rest = text.partition('\n')
    start, headers = _parse_lines(line.rstrip('\r'), rest)
    hosts = len(headers.get_list('Host'))
    if hosts > 1 or (
        not hosts and requires_host and start.version != 'HTTP/1.0'
    ):
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
