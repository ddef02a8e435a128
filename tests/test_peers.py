"""Tests of the authenticated streams between instances, over loopback."""

import asyncio
import socket

import msgpack
import pytest

from chervilstep.adapters import codec, handshake, peers
from chervilstep.adapters.capabilities import load_capabilities
from chervilstep.adapters.streams import InspectableStream, connect
from chervilstep.commands.membership import Heartbeat, send_heartbeat
from chervilstep.exceptions import PeerError
from chervilstep.messages import EVERY_PEER
from tests.wire_builders import a_peer_fleet

load_capabilities()


def test_heartbeats_reach_every_peer():
    async def scenario():
        async with a_peer_fleet('a', 'b', 'c') as fleet:
            await fleet.wait_until(
                lambda: all(
                    len(streams.connected_peers) == 2
                    for streams in fleet.streams.values()
                )
            )
            fleet.nodes['a'].members.mark_leaving()
            send_heartbeat(fleet.nodes['a'], 0)
            await fleet.wait_until(
                lambda: all(
                    fleet.nodes[name].members.get_or_create_peer('a').is_leaving
                    for name in 'bc'
                )
            )

    asyncio.run(scenario())


def test_lost_stream_is_dialled_again():
    async def scenario():
        async with a_peer_fleet('a', 'b') as fleet:
            await fleet.wait_until(lambda: fleet.streams['b'].connected_peers)
            fleet.streams['a'].disconnect('b')
            await fleet.wait_until(
                lambda: not fleet.streams['b'].connected_peers
            )
            await fleet.wait_until(lambda: fleet.streams['b'].connected_peers)

    asyncio.run(scenario())


def test_handshake_with_the_wrong_secret_fails():
    async def scenario():
        async with a_peer_fleet('a', 'b') as fleet:
            address = fleet.nodes['a'].members.active['b'].peer_address
            stream = await connect(address)
            with pytest.raises(PeerError):
                await handshake.initiate(stream, 'another secret', 'c', 'b')
            stream.close()

    asyncio.run(scenario())


def test_unknown_message_closes_the_stream():
    async def scenario():
        async with a_peer_fleet('a', 'b') as fleet:
            address = fleet.nodes['a'].members.active['b'].peer_address
            stream = await connect(address)
            await handshake.initiate(stream, 'test-secret', 'c', 'b')
            await stream.write(codec.pack_frame(['no such message']))
            await stream.read_until_close()
            counters = fleet.nodes['b'].counters
            assert counters.total('peer_faults') == 1

    asyncio.run(scenario())


def test_codec_round_trip():
    heartbeat = Heartbeat(0.5, is_ready=True, is_leaving=True)
    frame = codec.encode(heartbeat)
    assert codec.decode(['heartbeat', 0.5, True, True]) == heartbeat
    assert len(frame) == codec.LENGTH_PREFIX_BYTES + 22


class FailingHandlers:
    """Finds a handler that raises an unexpected error."""

    def find(self, kind):
        return self.fail

    def fail(self, node, peer, message, now):
        raise ZeroDivisionError


def test_unexpected_error_in_a_handler_ends_only_its_stream(monkeypatch):
    """The peer must be dialled again after it."""

    async def scenario():
        async with a_peer_fleet('a', 'b') as fleet:
            counters = fleet.nodes['a'].counters
            await fleet.wait_until(lambda: fleet.streams['a'].connected_peers)
            with monkeypatch.context() as patched:
                patched.setattr(peers, 'HANDLERS', FailingHandlers())
                send_heartbeat(fleet.nodes['b'], 0)
                await fleet.wait_until(lambda: counters.total('peer_faults'))
            before = counters.total('peer_messages_received')
            await fleet.wait_until(lambda: fleet.streams['a'].connected_peers)
            send_heartbeat(fleet.nodes['b'], 0)
            await fleet.wait_until(
                lambda: counters.total('peer_messages_received') > before
            )

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'body',
    [
        b'\xc1',
        b'\x81\x90\x01',
        b'\x91\xa1\xff',
        b'\x91' * 5000 + b'\x90',
        msgpack.packb({1: 2}),
        b'',
    ],
)
def test_frame_that_is_not_a_msgpack_list_is_a_peer_error(body):
    async def scenario():
        ours, theirs = socket.socketpair()
        stream = InspectableStream(ours)
        size = len(body).to_bytes(codec.LENGTH_PREFIX_BYTES, 'big')
        theirs.sendall(size + body)
        with pytest.raises(PeerError):
            await codec.read_frame(stream)
        stream.close()
        theirs.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'frame', [[], [1], ['unknown'], ['heartbeat', 1], ['heartbeat', 1, 2, 3, 4]]
)
def test_malformed_frames_are_rejected(frame):
    with pytest.raises(PeerError):
        codec.decode(frame)


def test_message_to_a_disconnected_peer_is_counted():
    async def scenario():
        async with a_peer_fleet('a') as fleet:
            node = fleet.nodes['a']
            node.outbox.put('b', Heartbeat(0, is_ready=True, is_leaving=False))
            node.outbox.put(
                EVERY_PEER, Heartbeat(0, is_ready=True, is_leaving=False)
            )
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert node.counters.total('peer_messages_unsent') == 1

    asyncio.run(scenario())
