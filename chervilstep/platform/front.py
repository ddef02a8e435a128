"""The front ends that the platform calls: clients, directory, readiness."""

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, final
from urllib.parse import parse_qs

from chervilstep.adapters.edge import EDGES, Handle
from chervilstep.adapters.http1 import PipelineServer
from chervilstep.adapters.metricspage import MetricsPage, new_metrics_page
from chervilstep.adapters.requests import Request, Response
from chervilstep.adapters.streams import split_address
from chervilstep.calls import Answer, Call, Reply
from chervilstep.catalog import ClientLimits
from chervilstep.exceptions import RequestError
from chervilstep.node import Node
from chervilstep.platform import upstreams as names
from chervilstep.platform.places import PLACES, Places
from chervilstep.queries import headers as header_rules
from chervilstep.queries.load import accepts_callers
from chervilstep.queries.locator import entry_addresses
from chervilstep.queries.refusal_details import refusal_details as explanation
from chervilstep.queries.retry_after import retry_after_seconds
from chervilstep.refusals import INTERNAL_ERROR, Refusal
from chervilstep.types import MS_PER_SECOND, Instant, Verdict, new_deadline

PLATFORM_EDGE: Final = 'platform'
RESOLVE_PATH: Final = '/api/resolve'
READY_PATH: Final = '/api/readiness'
#: As ``deploy/system.toml`` names it.
METRICS_PATH: Final = '/metrics'
#: Limits before the first configuration, which states its own.
FIRST_LIMITS: Final = ClientLimits(16 * 1024, 1024 * 1024, 3, 15)
#: The share of plain successes of which a line is written.
SAMPLED: Final = 0.05

#: What the system sets itself, whatever the client sent.
_OWN_HEADERS: Final = frozenset(
    name.lower() for name in (names.DEADLINE, names.IDENTITY, names.CUSTOMER)
)
#: Statuses that promise that nothing has run.
_PROMISES: Final = frozenset((400, 401, 403, 404, 413, 429, 431, 503))
_STATUS_UNKNOWN: Final = frozenset((502, 504))
#: Statuses that a refusal keeps when nothing has run; any other becomes 503.
_KEPT: Final = _PROMISES | {504}
_JSON: Final = ('Content-Type', 'application/json')


@final
@EDGES.register(PLATFORM_EDGE)
class PlatformEdge:
    """Serves the platform's clients, and answers the platform itself."""

    __slots__ = (
        '_clock',
        '_handle',
        '_metrics',
        '_node',
        '_places',
        '_servers',
    )

    def __init__(
        self, node: Node, handle: Handle, clock: Callable[[], Instant]
    ) -> None:
        """Builds the servers; nothing listens yet."""
        self._node = node
        self._handle = handle
        self._clock = clock
        self._places: Places = PLACES.of(node.settings.name)
        self._servers = [
            PipelineServer(handler, self._limits, self._note_refusal)
            for handler in (
                self.serve,
                self.resolve,
                self.tell_readiness,
                self.tell_metrics,
            )
        ]
        self._metrics: MetricsPage | None = None

    @property
    def in_flight(self) -> int:
        """How many connections of clients are open."""
        return self._servers[0].open_connections

    def listen(self) -> None:
        """Takes connections at every address."""
        addresses = (
            self._node.settings.entry_address,
            self._places.directory_address,
            self._places.ready_address,
            self._places.metrics_address,
        )
        for server, address in zip(self._servers, addresses, strict=True):
            host, port = split_address(address)
            server.listen(port, host)

    def leave(self) -> None:
        """Has every answer to a client end its connection."""
        self._servers[0].leave()

    def stop(self) -> None:
        """Takes no new connections of clients."""
        self._servers[0].stop()

    def retire(self) -> None:
        """Closes the connections of clients that are idle."""
        self._servers[0].close_idle()

    async def close(self) -> None:
        """Closes every connection."""
        for server in self._servers:
            server.stop()
            server.close_all()

    async def serve(self, request: Request) -> Response:
        """Answers one request of a client."""
        call = self._call(request)
        started_at = self._clock()
        try:
            reply = await self._handle(call)
        except Exception as fault:
            # The client gets an answer that promises nothing.
            self._node.counters.add('internal_errors')
            self._node.events.add(
                'internal_error', request=call.request_id, fault=repr(fault)
            )
            reply = INTERNAL_ERROR
        self._log(call, reply, started_at)
        if isinstance(reply, Answer):
            return Response(
                reply.status, reply.headers, reply.body, reply.reason
            )
        return self._refusal(call, reply)

    async def resolve(self, request: Request) -> Response:
        """Answers which addresses a client should use."""
        path, _, query = request.target.partition('?')
        if path != RESOLVE_PATH:
            return _empty(HTTPStatus.NOT_FOUND)
        zone = parse_qs(query).get('zone')
        found = entry_addresses(
            self._node, self._clock(), zone[0] if zone else None
        )
        if not found.addresses:
            return _empty(HTTPStatus.SERVICE_UNAVAILABLE)
        answer = {
            'addresses': list(found.addresses),
            # How long the client may keep the answer.
            'ttlS': found.keep_seconds,
        }
        return Response(HTTPStatus.OK, (_JSON,), json.dumps(answer).encode())

    async def tell_readiness(self, request: Request) -> Response:
        """Answers whether clients may be sent here."""
        if request.target.partition('?')[0] != READY_PATH:
            return _empty(HTTPStatus.NOT_FOUND)
        if accepts_callers(self._node, self._clock()):
            return _empty(HTTPStatus.OK)
        return _empty(HTTPStatus.SERVICE_UNAVAILABLE)

    async def tell_metrics(self, request: Request) -> Response:
        """Answers the counters and gauges in the Prometheus text format."""
        if request.target.partition('?')[0] != METRICS_PATH:
            return _empty(HTTPStatus.NOT_FOUND)
        if self._metrics is None:
            self._metrics = new_metrics_page(self._node, self._clock)
        content_type = ('Content-Type', self._metrics.content_type)
        return Response(
            HTTPStatus.OK, (content_type,), self._metrics.exposition()
        )

    def _call(self, request: Request) -> Call:
        headers = request.headers
        key = header_rules.bearer_key(headers.get(header_rules.KEY_HEADER))
        left_ms = header_rules.parse_milliseconds(headers.get(names.DEADLINE))
        deadline = None
        if left_ms is not None:
            deadline = new_deadline(self._clock(), left_ms / MS_PER_SECOND)
        passed_on = tuple(
            (name, text)
            for name, text in header_rules.request_headers(headers.get_all())
            if name.lower() not in _OWN_HEADERS
        )
        return Call(
            request.method,
            request.target,
            passed_on,
            request.body,
            key_digest=header_rules.digest_key(key) if key else None,
            deadline=deadline,
            host=headers.get('Host', '').partition(':')[0].lower(),
            request_id=headers.get(names.REQUEST_ID, ''),
        )

    def _refusal(self, call: Call, refusal: Refusal) -> Response:
        status = _status_of(refusal)
        headers = [(names.REQUEST_ID, call.request_id)]
        pause = retry_after_seconds(self._node, call, refusal, self._clock())
        if pause is not None and status in _PROMISES:
            headers.append(('Retry-After', f'{pause:.3f}'))
        body = f'{refusal.reason}: {refusal.message}\n'
        return Response(status, tuple(headers), body.encode())

    def _log(self, call: Call, reply: Reply, started_at: Instant) -> None:
        seconds = self._clock() - started_at
        if isinstance(reply, Refusal):
            self._node.events.add(
                'request_refused',
                request=call.request_id,
                reason=reply.reason,
                decided_by=explanation(self._node, call, reply, self._clock()),
                status=_status_of(reply),
                seconds=round(seconds, 4),
                configuration=self._node.snapshot.version,
            )
        elif reply.status >= HTTPStatus.BAD_REQUEST or (
            self._node.rng.random() < SAMPLED
        ):
            self._node.events.add(
                'request_answered',
                request=call.request_id,
                status=reply.status,
                seconds=round(seconds, 4),
                configuration=self._node.snapshot.version,
            )

    def _limits(self) -> ClientLimits:
        terms = self._node.configuration.catalog.config
        return FIRST_LIMITS if terms is None else terms.limits

    def _note_refusal(self, fault: RequestError) -> None:
        self._node.counters.add('requests_malformed', status=str(fault.status))
        self._node.events.add('request_malformed', fault=str(fault))


def _status_of(refusal: Refusal) -> int:
    """The status on the wire, which says whether the request may have run."""
    if refusal.verdict is not Verdict.NOT_RUN:
        status = refusal.status
        return status if status in _STATUS_UNKNOWN else HTTPStatus.BAD_GATEWAY
    if refusal.status in _KEPT:
        return refusal.status
    return HTTPStatus.SERVICE_UNAVAILABLE


def _empty(status: int) -> Response:
    return Response(status, (), b'')
