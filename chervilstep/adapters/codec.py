"""Encodes peer messages as length-prefixed msgpack frames."""

from typing import Final

import msgpack
from tornado import iostream

from chervilstep.exceptions import PeerError, UnknownName
from chervilstep.hooks import MESSAGES
from chervilstep.messages import Message

#: The size of the big-endian length in front of each frame.
LENGTH_PREFIX_BYTES: Final = 4
#: Enough for the largest value in the platform's store and its metadata.
MAX_FRAME_BYTES: Final = 1_200_000
#: The limit for frames of a peer that is not authenticated yet.
MAX_HANDSHAKE_BYTES: Final = 512


def pack_frame(frame: object) -> bytes:
    """Encodes a frame with its length prefix.

    Raises:
        PeerError: The frame is larger than ``MAX_FRAME_BYTES``.
    """
    body: bytes = msgpack.packb(frame)
    if len(body) > MAX_FRAME_BYTES:
        raise PeerError(f'frame of {len(body)} bytes is too large to send')
    return len(body).to_bytes(LENGTH_PREFIX_BYTES, 'big') + body


async def read_frame(
    stream: iostream.IOStream, max_bytes: int = MAX_FRAME_BYTES
) -> list[object]:
    """Reads and decodes one frame.

    Raises:
        PeerError: The frame is too large or is not a msgpack list.
        StreamClosedError: The stream was closed before the end of the frame.
    """
    prefix = await stream.read_bytes(LENGTH_PREFIX_BYTES)
    size = int.from_bytes(prefix, 'big')
    if size > max_bytes:
        raise PeerError(f'frame of {size} bytes exceeds the limit')
    body = await stream.read_bytes(size)
    try:
        frame = msgpack.unpackb(body, use_list=True, strict_map_key=False)
    except (TypeError, ValueError) as fault:
        # A key that cannot be hashed raises TypeError.
        raise PeerError(f'frame is not valid msgpack: {fault}') from fault
    if not isinstance(frame, list):
        raise PeerError('frame is not a list')
    return frame


def encode(message: Message) -> bytes:
    """Encodes a message as a frame: a list of its kind and its fields."""
    return pack_frame(
        [message.kind, *(getattr(message, name) for name in message.fields)]
    )


def decode(frame: list[object]) -> Message:
    """Decodes a frame to a message.

    Raises:
        PeerError: The kind is unknown or the fields are invalid.
    """
    if not frame or not isinstance(frame[0], str):
        raise PeerError('frame does not start with the kind of the message')
    try:
        message_class = MESSAGES.find(frame[0])
    except UnknownName as fault:
        raise PeerError(str(fault)) from fault
    if len(frame) != len(message_class.fields) + 1:
        raise PeerError(
            f'{frame[0]} message has an unexpected number of fields:'
            f' {len(frame) - 1}'
        )
    try:
        return message_class(*frame[1:])
    except (TypeError, ValueError, OverflowError) as fault:
        raise PeerError(f'{frame[0]} message is invalid: {fault}') from fault
