"""A caller that finds instances through the locator and sends requests."""

import asyncio
import json
import random
import time
from typing import Any, Final, final

import xxhash

from chervilstep.types import Instant
from lab import headers as names
from lab.client import BrokenAnswer, Client, NoAnswer, NotSent, Response
from lab.documents import customer_key

#: The seconds for which a caller waits for an answer beyond its deadline.
DEADLINE_GRACE_SECONDS: Final = 2
LOCATOR_TIMEOUT_SECONDS: Final = 1
#: The fraction of the TTL of a locator answer after which it is refreshed.
REFRESH_FRACTION: Final = 0.8
#: The most seed addresses that one refresh queries.
MAX_SEED_QUERIES: Final = 3
LOCATOR_PATH: Final = '/chervilstep/addresses'
_MS: Final = 1000


@final
class Request:
    """One request of a customer."""

    __slots__ = ('_body', '_customer', '_method', '_request_id', '_target')

    def __init__(
        self,
        request_id: str,
        customer: str,
        method: str,
        target: str,
        body: bytes = b'',
    ) -> None:
        """Creates a request; ``request_id`` must be unique."""
        self._request_id = request_id
        self._customer = customer
        self._method = method
        self._target = target
        self._body = body

    @property
    def request_id(self) -> str:
        """The id by which the runs of the request are counted."""
        return self._request_id

    @property
    def customer(self) -> str:
        """The name of the customer that sends the request."""
        return self._customer

    @property
    def method(self) -> str:
        """The HTTP method."""
        return self._method

    @property
    def target(self) -> str:
        """The path with its query string."""
        return self._target

    @property
    def body(self) -> bytes:
        """The body."""
        return self._body


@final
class CallOutcome:
    """The outcome of a request: an answer, a refusal or a failure."""

    __slots__ = ('_reason', '_status', '_upstream', '_verdict')

    def __init__(
        self, status: int, *, reason: str, verdict: str, upstream: str
    ) -> None:
        """Creates an outcome; a status of zero means that no answer came."""
        self._status = status
        self._reason = reason
        self._verdict = verdict
        self._upstream = upstream

    @property
    def status(self) -> int:
        """The HTTP status, or zero without an answer."""
        return self._status

    @property
    def reason(self) -> str:
        """The reason of the refusal or failure; empty for an answer."""
        return self._reason

    @property
    def verdict(self) -> str:
        """The verdict of the refusal; empty for an answer."""
        return self._verdict

    @property
    def upstream(self) -> str:
        """The name of the upstream that answered; empty without an answer."""
        return self._upstream


#: Reasons of failures that are not refusals of chervilstep.
NO_ANSWER: Final = 'no-answer'
NOT_SENT: Final = 'not-sent'
WRONG_ANSWER: Final = 'wrong-answer'


@final
class Caller:
    """One caller of one customer."""

    __slots__ = (
        '_addresses',
        '_client',
        '_refresh_at',
        '_refresh_task',
        '_rng',
        '_seeds',
        '_valid_until',
    )

    def __init__(
        self, seeds: tuple[str, ...], client: Client, rng: random.Random
    ) -> None:
        """Creates a caller; ``seeds`` are addresses of entry instances."""
        self._seeds = seeds
        self._client = client
        self._rng = rng
        self._addresses: tuple[str, ...] = ()
        self._valid_until = float('-inf')
        self._refresh_at = float('-inf')
        self._refresh_task: asyncio.Task[None] | None = None

    @property
    def addresses(self) -> tuple[str, ...]:
        """The addresses of the last locator answer, in order of preference."""
        return self._addresses

    async def refresh(self, now: Instant) -> None:
        """Queries the locator when its last answer is due for a refresh.

        Waits for the new answer only if the last one has expired.
        """
        if now < self._refresh_at:
            return
        if self._refresh_task is None or self._refresh_task.done():
            self._refresh_task = asyncio.create_task(self._query_locators(now))
        if now >= self._valid_until:
            await self._refresh_task

    async def send(
        self, request: Request, seconds: float, key: str | None = None
    ) -> CallOutcome:
        """Sends a request; tries the next address if it couldn't be sent."""
        await self.refresh(time.monotonic())
        for address in self._addresses or self._seeds[:1]:
            try:
                response = await self._send_once(address, request, seconds, key)
            except NotSent:
                continue
            except NoAnswer:
                self._move_to_back(address)
                return _failed_outcome(NO_ANSWER)
            except BrokenAnswer:
                return _failed_outcome(WRONG_ANSWER)
            return _response_outcome(request, response)
        return _failed_outcome(NOT_SENT)

    async def _send_once(
        self, address: str, request: Request, seconds: float, key: str | None
    ) -> Response:
        sent_key = customer_key(request.customer) if key is None else key
        headers = {
            names.REQUEST_ID: request.request_id,
            names.DEADLINE: str(int(seconds * _MS)),
        }
        if sent_key:
            headers['Authorization'] = f'Bearer {sent_key}'
        return await self._client.send(
            address,
            request.method,
            request.target,
            headers,
            request.body,
            seconds=seconds + DEADLINE_GRACE_SECONDS,
        )

    async def _query_locators(self, now: Instant) -> None:
        count = min(len(self._seeds), MAX_SEED_QUERIES)
        for address in (
            *self._addresses,
            *self._rng.sample(self._seeds, count),
        ):
            if await self._query_locator(address, now):
                return

    def _move_to_back(self, address: str) -> None:
        """Moves the address of an unanswered request to the end of the list."""
        others = [other for other in self._addresses if other != address]
        self._addresses = (*others, address)

    async def _query_locator(self, address: str, now: Instant) -> bool:
        try:
            response = await self._client.send(
                address,
                'GET',
                LOCATOR_PATH,
                {},
                seconds=LOCATOR_TIMEOUT_SECONDS,
            )
        except (NotSent, NoAnswer):
            return False
        if response.status != 200:
            return False
        answer: dict[str, Any] = json.loads(response.body)
        self._addresses = tuple(answer['addresses'])
        ttl_seconds = answer['keep_ms'] / _MS
        self._valid_until = now + ttl_seconds
        self._refresh_at = now + ttl_seconds * REFRESH_FRACTION
        return bool(self._addresses)


def _failed_outcome(reason: str) -> CallOutcome:
    return CallOutcome(0, reason=reason, verdict='', upstream='')


def _response_outcome(request: Request, response: Response) -> CallOutcome:
    reason = response.headers.get(names.REASON, '')
    verdict = response.headers.get(names.VERDICT, '')
    upstream = ''
    if not reason:
        upstream = _answering_upstream(request, response)
        reason = '' if upstream else WRONG_ANSWER
    return CallOutcome(
        response.status, reason=reason, verdict=verdict, upstream=upstream
    )


def _answering_upstream(request: Request, response: Response) -> str:
    try:
        answer: dict[str, Any] = json.loads(response.body)
    except ValueError:
        return ''
    is_own = (
        response.headers.get(names.REQUEST_ID) == request.request_id
        and answer.get('request_id') == request.request_id
        and answer.get('body_digest') == xxhash.xxh64_hexdigest(request.body)
    )
    return str(answer.get('upstream', '')) if is_own else ''
