"""The requests of a server connection and their responses."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, Protocol, TypeAlias, final

import structlog

from chervilstep.adapters.admission import Admission, new_unlimited_admission
from chervilstep.adapters.requests import Request, Response
from chervilstep.adapters.streams import ignore_exception
from chervilstep.calls import Headers
from chervilstep.exceptions import OverloadError, RequestError
from chervilstep.memory import Holding

_log: Final = structlog.get_logger()


class RequestLimits(Protocol):
    """The limits on requests and idle connections."""

    @property
    def head_bytes(self) -> int:
        """The largest accepted size of a request head, in bytes."""

    @property
    def body_bytes(self) -> int:
        """The largest accepted size of a request body, in bytes."""

    @property
    def head_seconds(self) -> float:
        """The timeout of a head, from its first byte."""

    @property
    def idle_seconds(self) -> float:
        """The timeout of idle connections and of incomplete bodies."""


#: Returns the response to a request that was not read.
Refuse: TypeAlias = Callable[[RequestError], Awaitable[Response]]
#: Handles one request; cancelled when the caller disconnects.
Handler: TypeAlias = Callable[[Request], Awaitable[Response]]


class RequestReservation(Protocol):
    """Reserves the bytes of the body of one request."""

    @property
    def holding(self) -> Holding:
        """The reserved bytes."""

    @property
    def is_wanted(self) -> bool:
        """Whether others have found no room lately."""

    async def extend(self, size: int) -> None:
        """Reserves more bytes; raises ``OverloadError`` without room."""

    def refusal(self) -> OverloadError:
        """Returns the refusal of a request without room."""


@final
class Exchange:
    """A request in progress and the task that produces its response."""

    __slots__ = ('_is_head', '_task')

    def __init__(
        self, task: 'asyncio.Task[Response]', *, is_head: bool
    ) -> None:
        """Creates an exchange for a running task."""
        self._task = task
        self._is_head = is_head

    @property
    def task(self) -> 'asyncio.Task[Response]':
        """The task that produces the response."""
        return self._task

    @property
    def is_head(self) -> bool:
        """Whether the method is HEAD, whose responses have no body."""
        return self._is_head


def response_of(task: 'asyncio.Task[Response]') -> Response:
    """Returns the response of a finished task; a failed one also gets one.

    Without it, the caller would take the next response for this one.
    """
    fault = task.exception()
    if fault is None:
        return task.result()
    _log.error('request_failed', fault=repr(fault))
    return Response(HTTPStatus.INTERNAL_SERVER_ERROR, (), b'')


async def refusal_response(error: RequestError) -> Response:
    """Returns the response to a request that was not read."""
    headers: Headers = ()
    if isinstance(error, OverloadError):
        headers = (error.retry_header,)
    return Response(error.status, headers, f'{error}\n'.encode())


def drop_written(response: Response, written: 'asyncio.Future[None]') -> None:
    """Ends the last reference to a response that was written or lost."""
    ignore_exception(written)


@final
class ServerOptions:
    """What differs between the servers of an instance."""

    __slots__ = ('_admission', '_is_leaving', '_refuse', '_requires_host')

    def __init__(
        self,
        admission: Admission | None = None,
        *,
        refuse: Refuse = refusal_response,
        is_leaving: Callable[[], bool] = bool,
        requires_host: bool = True,
    ) -> None:
        """Creates options; by default, connections have no limits."""
        self._admission = admission or new_unlimited_admission()
        self._refuse = refuse
        self._is_leaving = is_leaving
        self._requires_host = requires_host

    @property
    def admission(self) -> Admission:
        """The limits of the connections."""
        return self._admission

    @property
    def refuse(self) -> Refuse:
        """Returns the response to a request that was not read."""
        return self._refuse

    @property
    def is_leaving(self) -> Callable[[], bool]:
        """Whether responses announce that their connection is closed."""
        return self._is_leaving

    @property
    def requires_host(self) -> bool:
        """Whether requests need a host, as RFC 9112 requires."""
        return self._requires_host
