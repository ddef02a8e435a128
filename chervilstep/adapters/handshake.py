"""Proves to each end of a peer stream who the other one is."""

import hashlib
import hmac
import secrets
from typing import Final

from tornado import iostream

from chervilstep.adapters.codec import MAX_HANDSHAKE_BYTES, pack, read_frame
from chervilstep.exceptions import PeerError

NONCE_BYTES: Final = 16


async def greet(
    stream: iostream.IOStream, secret: str, own_name: str, peer_name: str
) -> None:
    """Proves this instance to the peer that was dialled, and checks it.

    Raises:
        PeerError: The other end is not ``peer_name`` or lacks the secret.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    await stream.write(pack([own_name, peer_name, nonce]))
    frame = await read_frame(stream, MAX_HANDSHAKE_BYTES)
    peer_nonce, proof = _two_bytes(frame)
    expected = _proof(secret, 'listener', nonce, peer_nonce, peer_name)
    if not hmac.compare_digest(expected, proof):
        raise PeerError(f'{peer_name} did not prove itself')
    await stream.write(
        pack([_proof(secret, 'dialler', peer_nonce, nonce, own_name)])
    )


async def welcome(stream: iostream.IOStream, secret: str, own_name: str) -> str:
    """Checks the instance that dialled and returns its name.

    Raises:
        PeerError: The other end lacks the secret or wants another instance.
    """
    frame = await read_frame(stream, MAX_HANDSHAKE_BYTES)
    peer_name, peer_nonce = _hello(frame, own_name)
    nonce = secrets.token_bytes(NONCE_BYTES)
    await stream.write(
        pack([nonce, _proof(secret, 'listener', peer_nonce, nonce, own_name)])
    )
    answer = await read_frame(stream, MAX_HANDSHAKE_BYTES)
    expected = _proof(secret, 'dialler', nonce, peer_nonce, peer_name)
    proof = answer[0] if answer else b''
    if not isinstance(proof, bytes) or not hmac.compare_digest(expected, proof):
        raise PeerError(f'{peer_name} did not prove itself')
    return peer_name


def _hello(frame: list[object], own_name: str) -> tuple[str, bytes]:
    if len(frame) != 3 or frame[1] != own_name:
        raise PeerError('the dialler wants another instance')
    name, _, nonce = frame
    if not isinstance(name, str) or not isinstance(nonce, bytes):
        raise PeerError('the dialler sent no greeting')
    return name, nonce


def _two_bytes(frame: list[object]) -> tuple[bytes, bytes]:
    if len(frame) != 2:
        raise PeerError('the listener sent no proof')
    first, second = frame
    if not isinstance(first, bytes) or not isinstance(second, bytes):
        raise PeerError('the listener sent no proof')
    return first, second


def _proof(
    secret: str, role: str, challenge: bytes, nonce: bytes, name: str
) -> bytes:
    text = b'|'.join((role.encode(), challenge, nonce, name.encode()))
    return hmac.digest(secret.encode(), text, hashlib.sha256)
