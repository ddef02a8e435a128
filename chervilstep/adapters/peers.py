"""Streams of typed messages to the other entry instances."""

import asyncio
from collections.abc import Callable
from typing import Final, final

import structlog
from tornado import iostream, tcpserver

from chervilstep.adapters import codec, handshake
from chervilstep.adapters.streams import (
    connect,
    ignore_failure,
    keep_alive,
)
from chervilstep.commands import gossip as gossip_commands
from chervilstep.commands.membership import (
    HEARTBEAT_TIMEOUT_SECONDS,
    handle_peer_connect,
    handle_peer_disconnect,
)
from chervilstep.exceptions import PeerError
from chervilstep.hooks import HANDLERS
from chervilstep.messages import EVERY_PEER, Envelope
from chervilstep.node import Node
from chervilstep.queries.gossip import extra_dial_targets, peer_address_of
from chervilstep.queries.overlay import neighbours, should_dial
from chervilstep.types import Instant

#: The longest time for connecting and for the handshake.
HANDSHAKE_SECONDS: Final = 1
#: How often the wanted streams are compared with the open ones.
RECONCILE_SECONDS: Final = 0.25
#: The first and the longest pause before a peer is dialled again.
MIN_BACK_OFF_SECONDS: Final = 0.1
MAX_BACK_OFF_SECONDS: Final = 2

_log = structlog.get_logger()


@final
class PeerStreams(tcpserver.TCPServer):
    """Keeps one authenticated stream to each neighbour.

    Of two instances the one with the smaller name dials. A stream on which
    nothing arrives for as long as a heartbeat vouches is closed, since a
    silent stream may never come back.
    """

    # The base class has a dictionary; these names are still declared.
    __slots__ = ('_clock', '_dialling', '_node', '_scheduled', '_streams')

    def __init__(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Creates the streams of a node; none is open yet."""
        super().__init__()
        self._node = node
        self._clock = clock
        self._streams: dict[str, iostream.IOStream] = {}
        self._dialling: dict[str, asyncio.Task[None]] = {}
        self._scheduled = False
        node.outbox.subscribe(self.schedule_flush)

    @property
    def connected(self) -> tuple[str, ...]:
        """The names of the peers with an open stream."""
        return tuple(self._streams)

    async def run(self) -> None:
        """Dials wanted neighbours until cancelled."""
        while True:
            self._reconcile()
            await asyncio.sleep(RECONCILE_SECONDS)

    def drop(self, name: str) -> None:
        """Closes the stream to ``name``; it may be dialled again."""
        stream = self._streams.get(name)
        if stream is not None:
            stream.close()

    def close(self) -> None:
        """Ends every stream and dials no more."""
        self.stop()
        for task in self._dialling.values():
            task.cancel()
        for stream in tuple(self._streams.values()):
            stream.close()

    def schedule_flush(self) -> None:
        """Sends the outbox once the running command has ended."""
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Sends every message in the outbox to whoever is connected."""
        self._scheduled = False
        letters = self._node.outbox.envelopes
        self._node.outbox.clear()
        for letter in letters:
            self._deliver(letter)

    async def handle_stream(
        self, stream: iostream.IOStream, address: object
    ) -> None:
        """Welcomes a peer that dialled, and reads what it sends."""
        stream.set_nodelay(True)
        settings = self._node.settings
        try:
            async with asyncio.timeout(HANDSHAKE_SECONDS):
                name = await handshake.welcome(
                    stream, settings.peer_secret, settings.name
                )
        except (PeerError, TimeoutError, iostream.StreamClosedError):
            self._node.counters.add('peer_handshakes_refused')
            stream.close()
            return
        await self._converse(name, stream, name)

    def _reconcile(self) -> None:
        # These do not know of this instance, and will not dial it.
        strangers = extra_dial_targets(self._node, self._clock())
        wanted = neighbours(self._node.members) | strangers
        own_name = self._node.settings.name
        for name in wanted - set(self._dialling) - set(self._streams):
            if name in strangers or should_dial(own_name, name):
                self._dialling[name] = asyncio.create_task(self._dial(name))
        for unwanted in set(self._dialling) - wanted - set(self._streams):
            self._dialling.pop(unwanted).cancel()

    async def _dial(self, name: str) -> None:
        """Keeps a stream to ``name`` until cancelled."""
        pause = MIN_BACK_OFF_SECONDS
        while True:
            if name in self._streams or await self._dial_once(name):
                pause = MIN_BACK_OFF_SECONDS
            jitter = self._node.rng.uniform(0, pause)
            await asyncio.sleep(pause + jitter)
            pause = min(2 * pause, MAX_BACK_OFF_SECONDS)

    async def _dial_once(self, name: str) -> bool:
        """Dials and converses; False when no stream came about."""
        address = peer_address_of(self._node, name)
        if address is None:
            return False
        stream: iostream.IOStream | None = None
        settings = self._node.settings
        try:
            async with asyncio.timeout(HANDSHAKE_SECONDS):
                stream = await connect(address)
                await handshake.greet(
                    stream, settings.peer_secret, settings.name, name
                )
        except (
            PeerError,
            OSError,
            iostream.StreamClosedError,
        ):
            if stream is not None:
                stream.close()
            return False
        await self._converse(name, stream, self._node.settings.name)
        return True

    async def _converse(
        self, name: str, stream: iostream.IOStream, dialler: str
    ) -> None:
        """Handles what ``name`` sends until the stream ends.

        Of two streams that both ends opened at the same moment, both keep
        the one of the same dialler.
        """
        if self._is_surplus(name, dialler):
            stream.close()
            return
        self.drop(name)
        self._open(name, stream)
        try:
            await self._read_all(name, stream)
        except (iostream.StreamClosedError, TimeoutError):
            self._node.counters.add('peer_streams_lost')
        except PeerError as fault:
            self._node.counters.add('peer_faults')
            _log.warning('peer_fault', peer=name, fault=str(fault))
        finally:
            self._forget(name, stream)

    def _is_surplus(self, name: str, dialler: str) -> bool:
        former = self._streams.get(name)
        if former is None or former.closed():
            return False
        return dialler > min(name, self._node.settings.name)

    def _open(self, name: str, stream: iostream.IOStream) -> None:
        keep_alive(stream.socket)
        self._streams[name] = stream
        self._node.counters.add('peer_streams_opened')
        handle_peer_connect(self._node, name, self._clock())
        _log.info('peer_connected', peer=name)

    async def _read_all(self, name: str, stream: iostream.IOStream) -> None:
        while True:
            async with asyncio.timeout(HEARTBEAT_TIMEOUT_SECONDS):
                frame = await codec.read_frame(stream)
            message = codec.decode(frame)
            self._node.counters.add('peer_messages_received')
            take = HANDLERS.find(message.kind)
            take(self._node, name, message, self._clock())

    def _forget(self, name: str, stream: iostream.IOStream) -> None:
        stream.close()
        if self._streams.get(name) is stream:
            self._streams.pop(name)
            handle_peer_disconnect(self._node, name)
            gossip_commands.suspect_member(self._node, name, self._clock())
            _log.info('peer_lost', peer=name)

    def _deliver(self, letter: Envelope) -> None:
        frame = codec.encode(letter.message)
        if letter.recipient == EVERY_PEER:
            recipients = tuple(self._streams)
        else:
            recipients = (letter.recipient,)
        kind = letter.message.kind
        for name in recipients:
            self._send(name, frame, kind)

    def _send(self, name: str, frame: bytes, kind: str) -> None:
        stream = self._streams.get(name)
        if stream is None or stream.closed():
            self._node.counters.add('peer_messages_unsent')
            return
        self._node.counters.add('peer_messages_sent')
        self._node.counters.add('peer_bytes_sent', len(frame), kind=kind)
        try:
            written = stream.write(frame)
        except (iostream.StreamClosedError, iostream.StreamBufferFullError):
            stream.close()
            return
        written.add_done_callback(ignore_failure)


def new_peer_streams(node: Node, clock: Callable[[], Instant]) -> PeerStreams:
    """Creates the streams of a node."""
    return PeerStreams(node, clock)
