"""Mutual authentication of the two ends of a peer stream.

Both ends prove that they hold the shared secret with an HMAC over both nonces,
the role and the name of the prover.
"""

import hashlib
import hmac
import secrets
from typing import Final

from tornado import iostream

from chervilstep.adapters.codec import (
    MAX_HANDSHAKE_BYTES,
    pack_frame,
    read_frame,
)
from chervilstep.exceptions import PeerError

NONCE_BYTES: Final = 16


async def initiate(
    stream: iostream.IOStream, secret: str, own_name: str, peer_name: str
) -> None:
    """Runs the handshake as the dialling end.

    Raises:
        PeerError: The listener is not ``peer_name`` or lacks the secret.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    await stream.write(pack_frame([own_name, peer_name, nonce]))
    frame = await read_frame(stream, MAX_HANDSHAKE_BYTES)
    peer_nonce, proof = _parse_proof(frame)
    expected = _compute_proof(secret, 'listener', nonce, peer_nonce, peer_name)
    if not hmac.compare_digest(expected, proof):
        raise PeerError(f'listener {peer_name} sent an invalid proof')
    await stream.write(
        pack_frame(
            [_compute_proof(secret, 'dialler', peer_nonce, nonce, own_name)]
        )
    )


async def accept(stream: iostream.IOStream, secret: str, own_name: str) -> str:
    """Runs the handshake as the listening end; returns the dialler's name.

    Raises:
        PeerError: The dialler lacks the secret or dialled another instance.
    """
    frame = await read_frame(stream, MAX_HANDSHAKE_BYTES)
    peer_name, peer_nonce = _parse_hello(frame, own_name)
    nonce = secrets.token_bytes(NONCE_BYTES)
    await stream.write(
        pack_frame(
            [
                nonce,
                _compute_proof(secret, 'listener', peer_nonce, nonce, own_name),
            ]
        )
    )
    proof_frame = await read_frame(stream, MAX_HANDSHAKE_BYTES)
    expected = _compute_proof(secret, 'dialler', nonce, peer_nonce, peer_name)
    proof = proof_frame[0] if proof_frame else b''
    if not isinstance(proof, bytes) or not hmac.compare_digest(expected, proof):
        raise PeerError(f'dialler {peer_name} sent an invalid proof')
    return peer_name


def _parse_hello(frame: list[object], own_name: str) -> tuple[str, bytes]:
    if len(frame) != 3 or frame[1] != own_name:
        raise PeerError('dialler sent a hello for another instance')
    name, _, nonce = frame
    if not isinstance(name, str) or not isinstance(nonce, bytes):
        raise PeerError('dialler sent a malformed hello')
    return name, nonce


def _parse_proof(frame: list[object]) -> tuple[bytes, bytes]:
    if len(frame) != 2:
        raise PeerError('listener sent a malformed proof')
    first, second = frame
    if not isinstance(first, bytes) or not isinstance(second, bytes):
        raise PeerError('listener sent a malformed proof')
    return first, second


def _compute_proof(
    secret: str,
    role: str,
    verifier_nonce: bytes,
    prover_nonce: bytes,
    prover_name: str,
) -> bytes:
    text = b'|'.join(
        (role.encode(), verifier_nonce, prover_nonce, prover_name.encode())
    )
    return hmac.digest(secret.encode(), text, hashlib.sha256)
