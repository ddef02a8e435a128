"""Frames of msgpack for the streams between instances."""

from typing import Final

import msgpack
from tornado import iostream

from chervilstep.exceptions import PeerError, UnknownName
from chervilstep.hooks import MESSAGES
from chervilstep.messages import Message

#: The size of the number that goes before each frame.
PREFIX_BYTES: Final = 4
#: Above the largest value of the platform, with room for its envelope.
MAX_FRAME_BYTES: Final = 1_200_000
#: The largest frame before the peer has proved who it is.
MAX_HANDSHAKE_BYTES: Final = 512


def pack(frame: object) -> bytes:
    """Encodes one frame with its length in front."""
    body: bytes = msgpack.packb(frame)
    if len(body) > MAX_FRAME_BYTES:
        raise PeerError(f'a frame of {len(body)} bytes is too large to send')
    return len(body).to_bytes(PREFIX_BYTES, 'big') + body


async def read_frame(
    stream: iostream.IOStream, limit: int = MAX_FRAME_BYTES
) -> list[object]:
    """Reads one frame.

    Raises:
        PeerError: The frame is too large or is not a list.
        StreamClosedError: The stream ended.
    """
    prefix = await stream.read_bytes(PREFIX_BYTES)
    size = int.from_bytes(prefix, 'big')
    if size > limit:
        raise PeerError(f'a frame of {size} bytes is too large')
    body = await stream.read_bytes(size)
    try:
        frame = msgpack.unpackb(body, use_list=True, strict_map_key=False)
    except ValueError as fault:
        raise PeerError(f'a frame is not msgpack: {fault}') from fault
    if not isinstance(frame, list):
        raise PeerError('a frame is not a list')
    return frame


def encode(message: Message) -> bytes:
    """Encodes a message as a frame of its kind and its fields."""
    return pack(
        [message.kind, *(getattr(message, name) for name in message.fields)]
    )


def decode(frame: list[object]) -> Message:
    """Makes the message of a frame.

    Raises:
        PeerError: The kind is unknown or the fields do not fit.
    """
    if not frame or not isinstance(frame[0], str):
        raise PeerError('a frame has no kind')
    try:
        message_class = MESSAGES.find(frame[0])
    except UnknownName as fault:
        raise PeerError(str(fault)) from fault
    if len(frame) != len(message_class.fields) + 1:
        raise PeerError(f'a {frame[0]} has {len(frame) - 1} fields')
    try:
        return message_class(*frame[1:])
    except (TypeError, ValueError) as fault:
        raise PeerError(f'a {frame[0]} does not fit: {fault}') from fault
