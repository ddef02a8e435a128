"""The platform's read-and-watch service; docs/PLATFORM.md has its protocol."""

import asyncio
import contextlib
import json
from typing import Any, Final, final
from urllib.parse import urlencode

from tornado.httpclient import AsyncHTTPClient, HTTPError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from chervilstep.adapters.section_log import SectionLog
from chervilstep.adapters.source import SOURCES
from chervilstep.adapters.streams import NumericResolver
from chervilstep.commands.listing import take_seeds
from chervilstep.commands.platform import take_instances, take_sections
from chervilstep.exceptions import PlatformError
from chervilstep.members import Instance, InstanceState
from chervilstep.node import Node
from chervilstep.queries.relaying import Duty, duty_of
from chervilstep.queries.tables import is_address
from chervilstep.types import MS_PER_SECOND
from chervilstep.values import PlatformAnswer, PlatformValue

SECTIONS_PREFIX: Final = 'config/'
INSTANCES_PREFIX: Final = 'instances/'
#: A watch of the document; its answers confirm the configuration.
SECTIONS_WAIT_SECONDS: Final = 1.0
#: A watch of the list of instances, which lags anyway.
INSTANCES_WAIT_SECONDS: Final = 20.0
#: Spaces reads of the list, so that a restart of all is not read in steps.
INSTANCES_PAUSE_SECONDS: Final = 3.0
#: How often an instance that relies on its peers looks at its duty.
DUTY_PERIOD_SECONDS: Final = 0.25
#: Spaces the reads of an instance that its peers do not confirm.
POLL_PAUSE_SECONDS: Final = 2.0
#: What an answer may take beyond the wait of a watch.
ANSWER_SECONDS: Final = 2.0
FIRST_READ_JITTER_SECONDS: Final = 0.5
MIN_BACK_OFF_SECONDS: Final = 0.25
MAX_DOUBLINGS: Final = 8
MAX_BACK_OFF_SECONDS: Final = 2.0
#: Instances that do not watch try less often while the platform is down.
MAX_POLL_BACK_OFF_SECONDS: Final = 4.0
BACK_OFF_LIMITS: Final = {
    Duty.WATCH: MAX_BACK_OFF_SECONDS,
    Duty.POLL: MAX_POLL_BACK_OFF_SECONDS,
}
MAX_ANSWER_BYTES: Final = 64 * 1024 * 1024

#: What the decoding of something malformed raises.
DECODE_ERRORS: Final = (ValueError, LookupError, TypeError, AttributeError)

READS: Final = 'platform_reads'
FAILURES: Final = 'source_failures'
BAD_INSTANCES: Final = 'platform_bad_instances'


@final
class PlatformClient:
    """Sends reads to the platform.

    Each read uses a connection of its own, so that one that went silent
    costs one deadline and no more.
    """

    __slots__ = ('_address', '_http', '_node')

    def __init__(self, node: Node, address: str) -> None:
        """Creates a client of the platform at ``ip:port``."""
        self._node = node
        self._address = address
        self._http: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True,
            max_body_size=MAX_ANSWER_BYTES,
            resolver=NumericResolver(),
        )

    async def list(self, prefix: str) -> PlatformAnswer:
        """Reads every value of a prefix.

        Raises:
            PlatformError: There was no answer, or not a proper one.
        """
        return await self._get('list', prefix, 0, {})

    async def watch(
        self, prefix: str, after: int, wait_seconds: float
    ) -> PlatformAnswer:
        """Waits for the values that change after a revision.

        Raises:
            PlatformError: There was no answer, or not a proper one.
        """
        wait_ms = int(wait_seconds * MS_PER_SECOND)
        query = {'after': str(after), 'wait_ms': str(wait_ms)}
        return await self._get('watch', prefix, wait_seconds, query)

    def close(self) -> None:
        """Closes what is open."""
        self._http.close()

    async def _get(
        self, verb: str, prefix: str, wait: float, query: dict[str, str]
    ) -> PlatformAnswer:
        joined = urlencode({'prefix': prefix, **query})
        self._node.counters.add(READS, prefix=prefix, verb=verb)
        try:
            response = await self._http.fetch(
                f'http://{self._address}/v1/{verb}?{joined}',
                connect_timeout=ANSWER_SECONDS,
                request_timeout=wait + ANSWER_SECONDS,
            )
        except (HTTPError, OSError) as error:
            raise PlatformError(str(error)) from error
        return parse_answer(response.body, prefix, is_complete=verb == 'list')


@final
@SOURCES.register('platform')
class PlatformSource:
    """Reads ``platform://ip:port`` as the duty of the instance requires."""

    __slots__ = ('_client', '_log', '_node', '_position')

    def __init__(self, node: Node, url: str) -> None:
        """Creates the source of the platform in ``url``."""
        address = url.partition('://')[2].rstrip('/')
        if not is_address(address):
            raise PlatformError(f'{url!r} is not platform://ip:port')
        self._node = node
        self._client = PlatformClient(node, address)
        self._position: int | None = None
        self._log = SectionLog(node)

    async def run(self) -> None:
        """Follows the list of instances and the document."""
        take_seeds(self._node)
        await asyncio.sleep(self._jitter(FIRST_READ_JITTER_SECONDS))
        with contextlib.closing(self._client):
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follow_instances())
                group.create_task(self._follow_sections())

    async def _follow_instances(self) -> None:
        failures = 0
        while True:
            try:
                await self._read_instances()
            except PlatformError:
                failures += 1
                await self._back_off(failures, MAX_POLL_BACK_OFF_SECONDS)
            else:
                failures = 0
                await asyncio.sleep(self._jitter(INSTANCES_PAUSE_SECONDS))

    async def _follow_sections(self) -> None:
        # The list of instances tells who watches; it is asked for first.
        await asyncio.sleep(self._jitter(FIRST_READ_JITTER_SECONDS))
        failures = 0
        while True:
            duty = duty_of(self._node, self._now())
            if duty is Duty.RELY:
                await asyncio.sleep(DUTY_PERIOD_SECONDS)
                continue
            try:
                await self._read_sections(duty)
            except PlatformError:
                failures += 1
                await self._back_off(failures, BACK_OFF_LIMITS[duty])
            else:
                failures = 0

    async def _read_instances(self) -> None:
        after = self._node.members.revision
        if after:
            answer = await self._client.watch(
                INSTANCES_PREFIX, after, INSTANCES_WAIT_SECONDS
            )
        else:
            answer = await self._client.list(INSTANCES_PREFIX)
        present = [item for item in answer.values if item.text is not None]
        take_instances(
            self._node,
            answer.revision,
            filter(None, map(self._parse_instance, present)),
            gone=[item.name for item in answer.values if item.text is None],
            is_complete=answer.is_complete,
        )

    async def _read_sections(self, duty: Duty) -> None:
        sent_at = self._now()
        known_at = sent_at
        if self._position is None:
            answer = await self._client.list(SECTIONS_PREFIX)
        else:
            wait = SECTIONS_WAIT_SECONDS if duty is Duty.WATCH else 0
            answer = await self._client.watch(
                SECTIONS_PREFIX, self._position, wait
            )
            if not answer.values:
                known_at = min(self._now(), sent_at + wait)
        self._position = max(self._position or 0, answer.revision)
        take_sections(self._node, answer, known_at, self._now())
        self._log.write()
        if duty is Duty.POLL:
            await asyncio.sleep(self._jitter(POLL_PAUSE_SECONDS))

    def _parse_instance(self, item: PlatformValue) -> Instance | None:
        try:
            return parse_instance(item)
        except PlatformError:
            self._node.counters.add(BAD_INSTANCES)
            return None

    async def _back_off(self, failures: int, limit: float) -> None:
        self._node.counters.add(FAILURES)
        longest = min(
            limit, MIN_BACK_OFF_SECONDS * 2 ** min(failures, MAX_DOUBLINGS)
        )
        await asyncio.sleep(self._jitter(longest))

    def _jitter(self, longest: float) -> float:
        return self._node.rng.uniform(longest / 2, longest)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def parse_answer(
    body: bytes, prefix: str, *, is_complete: bool
) -> PlatformAnswer:
    """Decodes an answer of the platform.

    Raises:
        PlatformError: The body is not a proper answer.
    """
    try:
        return _decode_answer(json.loads(body), prefix, is_complete)
    except DECODE_ERRORS as error:
        raise PlatformError(f'not a proper answer: {error!r}') from error


def parse_instance(item: PlatformValue) -> Instance:
    """Decodes an entry of the list of instances.

    Raises:
        PlatformError: The text does not describe an instance.
    """
    try:
        return _decode_instance(item.name, json.loads(item.text or ''))
    except DECODE_ERRORS as error:
        raise PlatformError(f'not an instance: {error!r}') from error


def _decode_answer(
    decoded: dict[str, Any], prefix: str, is_complete: bool
) -> PlatformAnswer:
    values = [_decode_value(item, prefix) for item in decoded['values']]
    revision = decoded['revision']
    if not isinstance(revision, int):
        raise TypeError('the revision must be a number')
    return PlatformAnswer(revision, values, is_complete=is_complete)


def _decode_instance(name: str, entry: dict[str, Any]) -> Instance:
    addresses = entry['address'], entry['peer_address']
    state = InstanceState(entry.get('state', InstanceState.LIVE.value))
    zone = entry['zone']
    if not all(map(is_address, addresses)) or not isinstance(zone, str):
        raise TypeError('ip:port addresses and a zone are needed')
    return Instance(name, zone, *addresses, state)


def _decode_value(item: dict[str, Any], prefix: str) -> PlatformValue:
    name, revision, text = item['name'], item['revision'], item['text']
    if not isinstance(name, str) or not isinstance(revision, int):
        raise TypeError('a value needs a name and a revision')
    if text is not None and not isinstance(text, str):
        raise TypeError('the text of a value must be a string or null')
    return PlatformValue(name.removeprefix(prefix), revision, text)
