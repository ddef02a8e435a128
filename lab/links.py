"""A loopback TCP proxy that injects network faults."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Final, TypeAlias, final

from chervilstep.registry import Registry, new_registry

_LOOPBACK: Final = '127.0.0.1'
_CHUNK_BYTES: Final = 65536
_CLOSE_RETRY_SECONDS: Final = 0.01
#: Several times the service time of upstreams in the soak.
_DELAY_SECONDS: Final = 0.2


@final
class LinkState:
    """How a link treats the bytes that it forwards."""

    __slots__ = ('_delay_seconds', '_drops_answers', '_drops_requests')

    def __init__(
        self,
        delay_seconds: float = 0,
        *,
        drops_requests: bool = False,
        drops_answers: bool = False,
    ) -> None:
        """Creates a state, by default one without faults."""
        self._delay_seconds = delay_seconds
        self._drops_requests = drops_requests
        self._drops_answers = drops_answers

    @property
    def delay_seconds(self) -> float:
        """The delay of bytes in each direction."""
        return self._delay_seconds

    @property
    def drops_requests(self) -> bool:
        """Whether bytes to the target are dropped silently."""
        return self._drops_requests

    @property
    def drops_answers(self) -> bool:
        """Whether bytes from the target are dropped silently."""
        return self._drops_answers


@final
class Link:
    """A proxy for the connections to one port."""

    __slots__ = (
        '_port',
        '_server',
        '_silenced',
        '_state',
        '_target',
        '_writers',
    )

    def __init__(self, port: int, target: int) -> None:
        """Creates a link from ``port`` to ``target``; it is not open yet."""
        self._port = port
        self._target = target
        self._state = LinkState()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: frozenset[asyncio.StreamWriter] = frozenset()

    @property
    def port(self) -> int:
        """The port on which the link listens."""
        return self._port

    async def open(self) -> None:
        """Starts to accept connections."""
        self._server = await asyncio.start_server(
            self._proxy_connection, _LOOPBACK, self._port
        )

    async def close(self) -> None:
        """Stops listening and aborts every connection."""
        if self._server is not None:
            self._server.close()
        while self._writers:
            self.reset()
            await asyncio.sleep(_CLOSE_RETRY_SECONDS)

    def set_state(self, state: LinkState) -> None:
        """Sets how bytes are treated from now on."""
        self._state = state

    def reset(self) -> None:
        """Resets every open connection."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def silence_open_connections(self) -> None:
        """Drops all further bytes of the open connections, but of no others."""
        self._silenced = frozenset(self._writers)

    async def _proxy_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target = await asyncio.open_connection(_LOOPBACK, self._target)
        except OSError:
            # Nothing listens on the target port; the client gets a reset.
            writer.transport.abort()
            return
        writers = {writer, target[1]}
        self._writers |= writers
        copies = (
            self._copy_bytes(
                reader, target[1], lambda: self._state.drops_requests
            ),
            self._copy_bytes(
                target[0], writer, lambda: self._state.drops_answers
            ),
        )
        await asyncio.gather(*copies)
        self._writers -= writers
        for each in writers:
            each.close()

    async def _copy_bytes(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        is_dropped: Callable[[], bool],
    ) -> None:
        # A reset of either end also aborts the other one.
        with contextlib.suppress(OSError):
            while chunk := await source.read(_CHUNK_BYTES):
                await asyncio.sleep(self._state.delay_seconds)
                if not is_dropped() and sink not in self._silenced:
                    sink.write(chunk)
                    await sink.drain()
            sink.write_eof()
            return
        sink.transport.abort()


#: Commands that inject a fault into a link.
LinkFault: TypeAlias = Callable[[Link], None]
LINK_FAULTS: Final[Registry[LinkFault]] = new_registry('link fault')


@LINK_FAULTS.register('delay')
def delay(link: Link) -> None:
    """Delays bytes by much more than the service time."""
    link.set_state(LinkState(_DELAY_SECONDS))


@LINK_FAULTS.register('reset')
def reset(link: Link) -> None:
    """Resets the open connections."""
    link.reset()


@LINK_FAULTS.register('silence')
def drop_everything(link: Link) -> None:
    """Drops all bytes, also on new connections."""
    link.set_state(LinkState(drops_requests=True, drops_answers=True))


@LINK_FAULTS.register('lose-answers')
def drop_answers(link: Link) -> None:
    """Drops bytes from the target; requests still arrive."""
    link.set_state(LinkState(drops_answers=True))


@LINK_FAULTS.register('lose-requests')
def drop_requests(link: Link) -> None:
    """Drops bytes to the target."""
    link.set_state(LinkState(drops_requests=True))


def clear_faults(link: Link) -> None:
    """Ends every fault and resets connections; dropped bytes stay lost."""
    link.set_state(LinkState())
    link.reset()
