"""A caller of the deployment: it asks the locator, keeps the answer, calls."""

import asyncio
import json
import random
import time
from typing import Any, Final, final

import xxhash

from chervilstep.types import Instant
from lab import headers as names
from lab.client import Client, NoAnswer, NotSent, Response
from lab.documents import key_of

#: How long a caller waits beyond its deadline before it gives up.
GRACE_SECONDS: Final = 2
LOCATOR_SECONDS: Final = 1
#: The part of the time of the locator's answer after which it is renewed.
RENEW_PART: Final = 0.8
#: How many addresses are tried that the caller knew from the start.
SEEDS_ASKED: Final = 3
LOCATOR: Final = '/chervilstep/addresses'
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
        """Creates a request with an id that nothing else has."""
        self._request_id = request_id
        self._customer = customer
        self._method = method
        self._target = target
        self._body = body

    @property
    def request_id(self) -> str:
        """The id by which its runs are counted."""
        return self._request_id

    @property
    def customer(self) -> str:
        """Whose request it is."""
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
class Meeting:
    """What a request met: an answer, a refusal, or nothing."""

    __slots__ = ('_reason', '_status', '_upstream', '_verdict')

    def __init__(
        self, status: int, *, reason: str, verdict: str, upstream: str
    ) -> None:
        """Creates a meeting; a status of zero means that nothing came."""
        self._status = status
        self._reason = reason
        self._verdict = verdict
        self._upstream = upstream

    @property
    def status(self) -> int:
        """The HTTP status, or zero."""
        return self._status

    @property
    def reason(self) -> str:
        """Why it was refused, or what went wrong; empty for an answer."""
        return self._reason

    @property
    def verdict(self) -> str:
        """What the refusal says of the run; empty for an answer."""
        return self._verdict

    @property
    def upstream(self) -> str:
        """Which upstream answered; empty for a refusal."""
        return self._upstream


#: Reasons that the lab gives where no refusal of chervilstep came.
NO_ANSWER: Final = 'no-answer'
NOT_SENT: Final = 'not-sent'
WRONG_ANSWER: Final = 'wrong-answer'


@final
class Caller:
    """One caller of one customer."""

    __slots__ = (
        '_addresses',
        '_asking',
        '_client',
        '_keep_until',
        '_renew_at',
        '_rng',
        '_seeds',
    )

    def __init__(
        self, seeds: tuple[str, ...], client: Client, rng: random.Random
    ) -> None:
        """Creates a caller that knows some entry addresses to begin with."""
        self._seeds = seeds
        self._client = client
        self._rng = rng
        self._addresses: tuple[str, ...] = ()
        self._keep_until = float('-inf')
        self._renew_at = float('-inf')
        self._asking: asyncio.Task[None] | None = None

    @property
    def addresses(self) -> tuple[str, ...]:
        """The answer of the locator that is kept."""
        return self._addresses

    async def refresh(self, now: Instant) -> None:
        """Asks the locator again, in time to wait for it rarely."""
        if now < self._renew_at:
            return
        if self._asking is None or self._asking.done():
            self._asking = asyncio.create_task(self._ask_any(now))
        if now >= self._keep_until:
            await self._asking

    async def send(
        self, request: Request, seconds: float, key: str | None = None
    ) -> Meeting:
        """Sends a request; another address is tried if nothing was sent."""
        await self.refresh(time.monotonic())
        for address in self._addresses or self._seeds[:1]:
            try:
                response = await self._send_once(address, request, seconds, key)
            except NotSent:
                continue
            except NoAnswer:
                self._avoid(address)
                return _failed(NO_ANSWER)
            return _judge(request, response)
        return _failed(NOT_SENT)

    async def _send_once(
        self, address: str, request: Request, seconds: float, key: str | None
    ) -> Response:
        sent_key = key_of(request.customer) if key is None else key
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
            seconds=seconds + GRACE_SECONDS,
        )

    async def _ask_any(self, now: Instant) -> None:
        count = min(len(self._seeds), SEEDS_ASKED)
        for address in (
            *self._addresses,
            *self._rng.sample(self._seeds, count),
        ):
            if await self._ask(address, now):
                return

    def _avoid(self, address: str) -> None:
        """Tries an address last that left a request without an answer."""
        others = [other for other in self._addresses if other != address]
        self._addresses = (*others, address)

    async def _ask(self, address: str, now: Instant) -> bool:
        try:
            response = await self._client.send(
                address, 'GET', LOCATOR, {}, seconds=LOCATOR_SECONDS
            )
        except (NotSent, NoAnswer):
            return False
        if response.status != 200:
            return False
        answer: dict[str, Any] = json.loads(response.body)
        self._addresses = tuple(answer['addresses'])
        keep_seconds = answer['keep_ms'] / _MS
        self._keep_until = now + keep_seconds
        self._renew_at = now + keep_seconds * RENEW_PART
        return bool(self._addresses)


def _failed(reason: str) -> Meeting:
    return Meeting(0, reason=reason, verdict='', upstream='')


def _judge(request: Request, response: Response) -> Meeting:
    reason = response.headers.get(names.REASON, '')
    verdict = response.headers.get(names.VERDICT, '')
    upstream = ''
    if not reason:
        upstream = _upstream_of(request, response)
        reason = '' if upstream else WRONG_ANSWER
    return Meeting(
        response.status, reason=reason, verdict=verdict, upstream=upstream
    )


def _upstream_of(request: Request, response: Response) -> str:
    try:
        echo: dict[str, Any] = json.loads(response.body)
    except ValueError:
        return ''
    is_own = (
        response.headers.get(names.REQUEST_ID) == request.request_id
        and echo.get('request_id') == request.request_id
        and echo.get('body_digest') == xxhash.xxh64_hexdigest(request.body)
    )
    return str(echo.get('upstream', '')) if is_own else ''
