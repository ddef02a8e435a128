"""The HTTP front end that receives the requests of callers."""

import json
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, final
from urllib.parse import parse_qs

from chervilstep.adapters.requests import Request, Response
from chervilstep.calls import Answer, Call, Reply
from chervilstep.exceptions import OverloadError, RequestError
from chervilstep.node import Node
from chervilstep.queries import headers as header_rules
from chervilstep.queries.locator import entry_addresses
from chervilstep.refusals import (
    BAD_REQUEST,
    BODY_TOO_LARGE,
    HEADERS_TOO_LARGE,
    INTERNAL_ERROR,
    KEY_IN_QUERY,
    MEMORY_FULL,
    Refusal,
)
from chervilstep.types import MS_PER_SECOND, Deadline, Instant, new_deadline

#: The path at which callers look up the addresses of entry instances.
LOCATOR_PATH: Final = '/chervilstep/addresses'

_JSON: Final = ('Content-Type', 'application/json')
#: The refusals of requests that were not read, by status.
_UNREAD_REFUSALS: Final = {
    refusal.status: refusal
    for refusal in (BODY_TOO_LARGE, HEADERS_TOO_LARGE, MEMORY_FULL)
}


@final
class EntryFrontEnd:
    """Converts HTTP requests to calls and replies to HTTP responses."""

    __slots__ = ('_clock', '_handle', '_node')

    def __init__(
        self,
        node: Node,
        handle: Callable[[Call], Awaitable[Reply]],
        clock: Callable[[], Instant],
    ) -> None:
        """Creates a front end that passes each call to ``handle``."""
        self._node = node
        self._handle = handle
        self._clock = clock

    @property
    def node(self) -> Node:
        """The node that the front end serves."""
        return self._node

    async def serve(self, request: Request) -> Response:
        """Answers one request."""
        path, _, query = request.target.partition('?')
        if path == LOCATOR_PATH:
            return self._locate(query)
        if header_rules.has_key_in_query(request.target):
            return self._refuse(KEY_IN_QUERY)
        try:
            reply = await self._handle(self._new_call(request))
        except Exception as fault:
            # The caller receives a verdict even after an unexpected error.
            self._node.counters.add('internal_errors')
            self._node.events.add('internal_error', fault=repr(fault))
            reply = INTERNAL_ERROR
        if isinstance(reply, Refusal):
            reply = refusal_answer(reply)
        return _response(reply)

    async def refuse_unread(self, error: RequestError) -> Response:
        """Returns the response to a request that was not read."""
        response = self._refuse(_UNREAD_REFUSALS.get(error.status, BAD_REQUEST))
        if not isinstance(error, OverloadError):
            return response
        headers = (*response.headers, error.retry_header)
        return Response(error.status, headers, response.body)

    def _refuse(self, refusal: Refusal) -> Response:
        self._node.counters.add('refusals', reason=refusal.reason)
        return _response(refusal_answer(refusal))

    def _locate(self, query: str) -> Response:
        """Returns the addresses of the entry instances for a caller."""
        zone = parse_qs(query).get('zone')
        entries = entry_addresses(
            self._node, self._clock(), zone[0] if zone else None
        )
        self._node.counters.add('locator_answers')
        answer = {
            'addresses': entries.addresses,
            'keep_ms': int(entries.ttl_seconds * MS_PER_SECOND),
        }
        return Response(
            HTTPStatus.OK,
            (_JSON, ('Cache-Control', 'no-store')),
            json.dumps(answer).encode(),
        )

    def _new_call(self, request: Request) -> Call:
        headers = request.headers
        key = header_rules.bearer_key(headers.get(header_rules.KEY_HEADER))
        return Call(
            request.method,
            request.target,
            header_rules.request_headers(headers.get_all()),
            request.body,
            key_digest=header_rules.digest_key(key) if key else None,
            deadline=self._parse_deadline(
                headers.get(header_rules.DEADLINE_HEADER)
            ),
            attempt=header_rules.parse_milliseconds(
                headers.get(header_rules.ATTEMPT_HEADER)
            )
            or 1,
        )

    def _parse_deadline(self, text: str | None) -> Deadline | None:
        milliseconds = header_rules.parse_milliseconds(text)
        if milliseconds is None:
            return None
        return new_deadline(self._clock(), milliseconds / MS_PER_SECOND)


def refusal_answer(refusal: Refusal) -> Answer:
    """Returns the HTTP answer that carries a refusal."""
    verdict = refusal.verdict.value
    body = json.dumps(
        {
            'reason': refusal.reason,
            'verdict': verdict,
            'message': refusal.message,
        }
    )
    return Answer(
        refusal.status,
        HTTPStatus(refusal.status).phrase,
        (
            _JSON,
            (header_rules.VERDICT_HEADER, verdict),
            (header_rules.REASON_HEADER, refusal.reason),
        ),
        body.encode(),
    )


def _response(answer: Answer) -> Response:
    return Response(
        answer.status,
        answer.headers,
        answer.body,
        answer.reason,
        answer.holding,
    )


def new_entry_front_end(
    node: Node,
    handle: Callable[[Call], Awaitable[Reply]],
    clock: Callable[[], Instant],
) -> EntryFrontEnd:
    """Creates the HTTP front end of a node."""
    return EntryFrontEnd(node, handle, clock)
