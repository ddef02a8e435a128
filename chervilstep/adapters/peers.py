"""TCP streams that carry typed messages between entry instances."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Final, final

import structlog
from tornado import iostream

from chervilstep.adapters import codec, handshake
from chervilstep.adapters.admission import new_admission
from chervilstep.adapters.backlog import BacklogServer
from chervilstep.adapters.streams import (
    connect,
    enable_keep_alive,
    ignore_exception,
)
from chervilstep.callers import ConnectionTable
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
from chervilstep.queries.callers import connection_to_evict
from chervilstep.queries.gossip import extra_dial_targets, find_peer_address
from chervilstep.queries.overlay import neighbours, should_dial
from chervilstep.queries.partition import Address
from chervilstep.types import Instant

#: The timeout for connecting and the handshake together.
HANDSHAKE_TIMEOUT_SECONDS: Final = 1
#: The time between two comparisons of the wanted streams with the open ones.
RECONCILE_PERIOD_SECONDS: Final = 0.25
#: The bounds of the exponential backoff before a peer is dialled again.
MIN_BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_SECONDS: Final = 2

_log = structlog.get_logger()


@final
class PeerStreams(BacklogServer):
    """Keeps one authenticated stream to each neighbour.

    Of two instances, the one with the smaller name dials. A stream is closed
    when nothing arrives within the heartbeat timeout, since a connection can
    be lost without being closed.
    """

    # The base class has a __dict__; the slots declare the attributes.
    __slots__ = (
        '_admission',
        '_clock',
        '_dial_tasks',
        '_handshakes',
        '_node',
        '_is_flush_scheduled',
        '_streams',
    )

    def __init__(self, node: Node, clock: Callable[[], Instant]) -> None:
        """Creates the streams of a node, without opening any."""
        super().__init__()
        self._node = node
        self._clock = clock
        self._streams: dict[str, iostream.IOStream] = {}
        self._dial_tasks: dict[str, asyncio.Task[None]] = {}
        self._is_flush_scheduled = False
        self._admission = new_admission(node, Address.PEERS, clock)
        self._handshakes: ConnectionTable[iostream.IOStream] = ConnectionTable()
        node.outbox.subscribe(self.schedule_flush)

    @property
    def connected_peers(self) -> tuple[str, ...]:
        """The names of the peers with an open stream."""
        return tuple(self._streams)

    async def run(self) -> None:
        """Keeps the wanted neighbours dialled until cancelled."""
        while True:
            self._reconcile_dials()
            await asyncio.sleep(RECONCILE_PERIOD_SECONDS)

    def disconnect(self, name: str) -> None:
        """Closes the stream to ``name``; a new one may be dialled later."""
        stream = self._streams.get(name)
        if stream is not None:
            stream.close()

    def close(self) -> None:
        """Closes every stream and stops dialling and listening."""
        self.stop()
        for task in self._dial_tasks.values():
            task.cancel()
        for stream in tuple(self._streams.values()):
            stream.close()

    def schedule_flush(self) -> None:
        """Schedules a flush for the next iteration of the event loop."""
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Empties the outbox and sends its messages to connected peers."""
        self._is_flush_scheduled = False
        envelopes = self._node.outbox.envelopes
        self._node.outbox.clear()
        for envelope in envelopes:
            self._send_envelope(envelope)

    async def handle_stream(
        self, stream: iostream.IOStream, address: object
    ) -> None:
        """Authenticates a peer that connected and handles its messages."""
        stream.set_nodelay(True)
        name = await self._accept_handshake(stream)
        if name is None:
            self._node.counters.add('peer_handshakes_refused')
            stream.close()
            return
        await self._run_stream(name, stream, name)

    def handle_shortage(self) -> None:
        """Frees the descriptor of a connection that is no peer's yet."""
        self._end_oldest_handshake('descriptors')

    async def _accept_handshake(self, stream: iostream.IOStream) -> str | None:
        """Returns the name of the peer, or None if there is no valid one."""
        limit = self._admission.limits.connections
        while len(self._handshakes) >= limit:
            self._end_oldest_handshake('connections')
        settings = self._node.settings
        with contextlib.ExitStack() as stack:
            self._handshakes.add(stream, self._clock())
            stack.callback(self._handshakes.remove, stream)
            try:
                async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
                    return await handshake.accept(
                        stream, settings.peer_secret, settings.name
                    )
            except (PeerError, TimeoutError, iostream.StreamClosedError):
                return None

    def _end_oldest_handshake(self, reason: str) -> None:
        stream = connection_to_evict(self._handshakes, self._clock())
        if stream is not None:
            phase = self._handshakes.phase_of(stream)
            self._admission.report_closed(reason, phase)
            self._handshakes.remove(stream)
            stream.close()

    def _reconcile_dials(self) -> None:
        # The member lists of these peers may lack this instance, and then they
        # do not dial it.
        extra_targets = extra_dial_targets(self._node, self._clock())
        wanted = neighbours(self._node.members) | extra_targets
        own_name = self._node.settings.name
        for name in wanted - set(self._dial_tasks) - set(self._streams):
            if name in extra_targets or should_dial(own_name, name):
                self._dial_tasks[name] = asyncio.create_task(
                    self._keep_dialling(name)
                )
        for unwanted in set(self._dial_tasks) - wanted - set(self._streams):
            self._dial_tasks.pop(unwanted).cancel()

    async def _keep_dialling(self, name: str) -> None:
        """Dials ``name`` whenever no stream is open, until cancelled."""
        backoff_seconds = MIN_BACKOFF_SECONDS
        while True:
            if name in self._streams or await self._dial_once(name):
                backoff_seconds = MIN_BACKOFF_SECONDS
            jitter = self._node.rng.uniform(0, backoff_seconds)
            await asyncio.sleep(backoff_seconds + jitter)
            backoff_seconds = min(2 * backoff_seconds, MAX_BACKOFF_SECONDS)

    async def _dial_once(self, name: str) -> bool:
        """Dials ``name`` and runs the stream until it ends.

        Returns False if no stream could be established.
        """
        address = find_peer_address(self._node, name)
        if address is None:
            return False
        stream: iostream.IOStream | None = None
        settings = self._node.settings
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
                stream = await connect(address)
                await handshake.initiate(
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
        await self._run_stream(name, stream, self._node.settings.name)
        return True

    async def _run_stream(
        self, name: str, stream: iostream.IOStream, dialler: str
    ) -> None:
        """Handles the messages from ``name`` until the stream ends.

        When both ends dial at the same time, both keep the stream that the
        instance with the smaller name dialled.
        """
        if self._is_duplicate(name, dialler):
            stream.close()
            return
        self.disconnect(name)
        with contextlib.ExitStack() as stack:
            stack.callback(self._remove_stream, name, stream)
            await self._handle_until_closed(name, stream)

    async def _handle_until_closed(
        self, name: str, stream: iostream.IOStream
    ) -> None:
        """Handles the messages on a stream; a fault ends only this stream."""
        try:
            await self._handle_messages(name, stream)
        except (iostream.StreamClosedError, TimeoutError):
            self._node.counters.add('peer_streams_lost')
        except PeerError as fault:
            self._node.counters.add('peer_faults')
            _log.warning('peer_fault', peer=name, fault=str(fault))
        except Exception:
            self._node.counters.add('peer_faults')
            _log.exception('peer_message_failed', peer=name)

    def _is_duplicate(self, name: str, dialler: str) -> bool:
        current = self._streams.get(name)
        if current is None or current.closed():
            return False
        return dialler > min(name, self._node.settings.name)

    def _add_stream(self, name: str, stream: iostream.IOStream) -> None:
        enable_keep_alive(stream.socket)
        self._streams[name] = stream
        self._node.counters.add('peer_streams_opened')
        handle_peer_connect(self._node, name, self._clock())
        _log.info('peer_connected', peer=name)

    async def _handle_messages(
        self, name: str, stream: iostream.IOStream
    ) -> None:
        self._add_stream(name, stream)
        while True:
            async with asyncio.timeout(HEARTBEAT_TIMEOUT_SECONDS):
                frame = await codec.read_frame(stream)
            message = codec.decode(frame)
            self._node.counters.add('peer_messages_received')
            handle = HANDLERS.find(message.kind)
            handle(self._node, name, message, self._clock())

    def _remove_stream(self, name: str, stream: iostream.IOStream) -> None:
        stream.close()
        if self._streams.get(name) is stream:
            self._streams.pop(name)
            handle_peer_disconnect(self._node, name)
            gossip_commands.suspect_member(self._node, name, self._clock())
            _log.info('peer_lost', peer=name)

    def _send_envelope(self, envelope: Envelope) -> None:
        frame = codec.encode(envelope.message)
        if envelope.recipient == EVERY_PEER:
            recipients = tuple(self._streams)
        else:
            recipients = (envelope.recipient,)
        kind = envelope.message.kind
        for name in recipients:
            self._write_frame(name, frame, kind)

    def _write_frame(self, name: str, frame: bytes, kind: str) -> None:
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
        written.add_done_callback(ignore_exception)


def new_peer_streams(node: Node, clock: Callable[[], Instant]) -> PeerStreams:
    """Creates the peer streams of a node."""
    return PeerStreams(node, clock)
