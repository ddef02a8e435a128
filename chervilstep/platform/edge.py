"""Endpoints for the platform's clients, discovery, readiness and metrics."""

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, final
from urllib.parse import parse_qs

from chervilstep.adapters.edge import EDGES, CallHandler
from chervilstep.adapters.metricspage import MetricsPage, new_metrics_page
from chervilstep.adapters.requests import Request, Response
from chervilstep.adapters.servers import new_server
from chervilstep.adapters.streams import split_address
from chervilstep.calls import Answer, Call, Headers, Reply
from chervilstep.catalog import ClientLimits
from chervilstep.exceptions import OverloadError, RequestError
from chervilstep.node import Node
from chervilstep.platform import dialect
from chervilstep.platform.addresses import PLATFORM_ADDRESSES, PlatformAddresses
from chervilstep.queries import headers as header_rules
from chervilstep.queries.load import accepts_callers
from chervilstep.queries.locator import entry_addresses
from chervilstep.queries.partition import Address
from chervilstep.queries.refusal_details import refusal_details, view_details
from chervilstep.queries.retry_after import retry_after_seconds
from chervilstep.refusals import INTERNAL_ERROR, Refusal
from chervilstep.types import MS_PER_SECOND, Instant, Verdict, new_deadline

PLATFORM_EDGE: Final = 'platform'
RESOLVE_PATH: Final = '/api/resolve'
READY_PATH: Final = '/api/readiness'
#: Must match ``deploy/system.toml``.
METRICS_PATH: Final = '/metrics'
#: The limits until a configuration, which contains its own, is in force.
DEFAULT_LIMITS: Final = ClientLimits(16 * 1024, 1024 * 1024, 3, 15)
#: The fraction of successful requests that are logged.
LOGGED_FRACTION: Final = 0.05

#: Headers that instances set themselves and remove from client requests.
_RESERVED_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        dialect.DEADLINE_HEADER,
        dialect.EXPECTED_SERVER_HEADER,
        dialect.CUSTOMER_HEADER,
    )
)
#: Headers of servers that concern only the instances. A limit is that of all
#: instances together, so a client must not take it for its own.
_HIDDEN_HEADERS: Final = frozenset(
    (dialect.LIMIT_HEADER.lower(), dialect.LEAVING_HEADER.lower())
)
#: Statuses whose meaning is that the request has not run.
_NOT_RUN_STATUSES: Final = frozenset((400, 401, 403, 404, 413, 429, 431, 503))
#: Statuses of refusals of requests that may have run.
_MAY_HAVE_RUN_STATUSES: Final = frozenset((502, 504))
#: Statuses kept by refusals of requests that have not run; others become 503.
_PRESERVED_STATUSES: Final = _NOT_RUN_STATUSES | {504}
_JSON_CONTENT_TYPE: Final = ('Content-Type', 'application/json')


@final
@EDGES.register(PLATFORM_EDGE)
class PlatformEdge:
    """Serves client requests, discovery, readiness checks and metrics."""

    __slots__ = (
        '_addresses',
        '_clock',
        '_handle',
        '_metrics_page',
        '_node',
        '_servers',
    )

    def __init__(
        self, node: Node, handle: CallHandler, clock: Callable[[], Instant]
    ) -> None:
        """Creates the servers; none of them listens yet."""
        self._node = node
        self._handle = handle
        self._clock = clock
        self._addresses: PlatformAddresses = PLATFORM_ADDRESSES.get(
            node.settings.name
        )
        self._servers = [
            new_server(
                node,
                address,
                clock,
                handler,
                self._client_limits,
                self._record_malformed,
            )
            for address, handler in (
                (Address.CALLERS, self.serve),
                (Address.LOCATOR, self.resolve),
                (Address.READINESS, self.serve_readiness),
                (Address.METRICS, self.serve_metrics),
            )
        ]
        self._metrics_page: MetricsPage | None = None

    @property
    def in_flight(self) -> int:
        """The number of open client connections."""
        return self._servers[0].open_connections

    def listen(self) -> None:
        """Listens at every address."""
        addresses = (
            self._node.settings.entry_address,
            self._addresses.directory_address,
            self._addresses.ready_address,
            self._addresses.metrics_address,
        )
        for server, address in zip(self._servers, addresses, strict=True):
            host, port = split_address(address)
            server.listen(port, host)

    def enter_lame_duck(self) -> None:
        """Makes every further answer to a client close its connection."""
        self._servers[0].enter_lame_duck()

    def stop_accepting(self) -> None:
        """Stops accepting client connections."""
        self._servers[0].stop()

    def close_idle(self) -> None:
        """Closes idle client connections."""
        self._servers[0].close_idle()

    async def close(self) -> None:
        """Stops listening and closes every connection."""
        for server in self._servers:
            server.stop()
            server.close_all()

    async def serve(self, request: Request) -> Response:
        """Answers one client request."""
        call = self._build_call(request)
        started_at = self._clock()
        try:
            reply = await self._handle(call)
        except Exception as fault:
            # The status of this refusal means that the request may have run.
            self._node.counters.add('internal_errors')
            self._node.events.add(
                'internal_error', request=call.request_id, fault=repr(fault)
            )
            reply = INTERNAL_ERROR
        self._log_reply(call, reply, started_at)
        if isinstance(reply, Answer):
            headers = _forwarded_headers(reply)
            return Response(
                reply.status, headers, reply.body, reply.reason, reply.holding
            )
        return self._refusal_response(call, reply)

    async def resolve(self, request: Request) -> Response:
        """Answers with the entry addresses that a client should use."""
        path, _, query = request.target.partition('?')
        if path != RESOLVE_PATH:
            return _empty_response(HTTPStatus.NOT_FOUND)
        zone = parse_qs(query).get('zone')
        entries = entry_addresses(
            self._node, self._clock(), zone[0] if zone else None
        )
        if not entries.addresses:
            return _empty_response(HTTPStatus.SERVICE_UNAVAILABLE)
        answer = {
            'addresses': list(entries.addresses),
            # The number of seconds for which the client may cache the answer.
            'ttlS': entries.ttl_seconds,
        }
        return Response(
            HTTPStatus.OK, (_JSON_CONTENT_TYPE,), json.dumps(answer).encode()
        )

    async def serve_readiness(self, request: Request) -> Response:
        """Answers whether this instance accepts client requests."""
        if request.target.partition('?')[0] != READY_PATH:
            return _empty_response(HTTPStatus.NOT_FOUND)
        if accepts_callers(self._node, self._clock()):
            return _empty_response(HTTPStatus.OK)
        return _empty_response(HTTPStatus.SERVICE_UNAVAILABLE)

    async def serve_metrics(self, request: Request) -> Response:
        """Answers with counters and gauges in the Prometheus text format."""
        if request.target.partition('?')[0] != METRICS_PATH:
            return _empty_response(HTTPStatus.NOT_FOUND)
        if self._metrics_page is None:
            self._metrics_page = new_metrics_page(self._node, self._clock)
        content_type = ('Content-Type', self._metrics_page.content_type)
        return Response(
            HTTPStatus.OK, (content_type,), self._metrics_page.exposition()
        )

    def _build_call(self, request: Request) -> Call:
        headers = request.headers
        key = header_rules.bearer_key(headers.get(header_rules.KEY_HEADER))
        remaining_ms = header_rules.parse_milliseconds(
            headers.get(dialect.DEADLINE_HEADER)
        )
        deadline = None
        if remaining_ms is not None:
            deadline = new_deadline(self._clock(), remaining_ms / MS_PER_SECOND)
        forwarded = tuple(
            (name, text)
            for name, text in header_rules.request_headers(headers.get_all())
            if name.lower() not in _RESERVED_HEADERS
        )
        return Call(
            request.method,
            request.target,
            forwarded,
            request.body,
            key_digest=header_rules.digest_key(key) if key else None,
            deadline=deadline,
            host=headers.get('Host', '').partition(':')[0].lower(),
            request_id=headers.get(dialect.REQUEST_ID_HEADER, ''),
        )

    def _refusal_response(self, call: Call, refusal: Refusal) -> Response:
        status = _wire_status(refusal)
        headers = [(dialect.REQUEST_ID_HEADER, call.request_id)]
        retry_after = retry_after_seconds(
            self._node, call, refusal, self._clock()
        )
        if retry_after is not None and status in _NOT_RUN_STATUSES:
            headers.append(('Retry-After', f'{retry_after:.3f}'))
        body = f'{refusal.reason}: {refusal.message}\n'
        return Response(status, tuple(headers), body.encode())

    def _log_reply(self, call: Call, reply: Reply, started_at: Instant) -> None:
        seconds = self._clock() - started_at
        if isinstance(reply, Refusal):
            self._node.events.add(
                'request_refused',
                request=call.request_id,
                reason=reply.reason,
                decided_by=refusal_details(
                    self._node, call, reply, self._clock()
                ),
                status=_wire_status(reply),
                seconds=round(seconds, 4),
                **view_details(self._node, self._clock()),
            )
        elif reply.status >= HTTPStatus.BAD_REQUEST or (
            self._node.rng.random() < LOGGED_FRACTION
        ):
            self._node.events.add(
                'request_answered',
                request=call.request_id,
                status=reply.status,
                seconds=round(seconds, 4),
                **view_details(self._node, self._clock()),
            )

    def _client_limits(self) -> ClientLimits:
        config = self._node.configuration.catalog.config
        return DEFAULT_LIMITS if config is None else config.limits

    def _record_malformed(self, fault: RequestError) -> None:
        if isinstance(fault, OverloadError):
            # A proper request, which is counted where there was no room.
            return
        self._node.counters.add('requests_malformed', status=str(fault.status))
        self._node.events.add('request_malformed', fault=str(fault))


def _forwarded_headers(answer: Answer) -> Headers:
    hidden = _HIDDEN_HEADERS
    if answer.status == dialect.STATUS_UNAVAILABLE:
        # The pause of one server for this instance; others may serve the client.
        hidden |= {header_rules.PAUSE_HEADER.lower()}
    return tuple(
        (name, text)
        for name, text in answer.headers
        if name.lower() not in hidden
    )


def _wire_status(refusal: Refusal) -> int:
    """Returns the status to send, by whether the request may have run."""
    if refusal.verdict is not Verdict.NOT_RUN:
        status = refusal.status
        return (
            status
            if status in _MAY_HAVE_RUN_STATUSES
            else HTTPStatus.BAD_GATEWAY
        )
    if refusal.status in _PRESERVED_STATUSES:
        return refusal.status
    return HTTPStatus.SERVICE_UNAVAILABLE


def _empty_response(status: int) -> Response:
    return Response(status, (), b'')
