"""Which instances hold a stream to which."""

from typing import Final

import xxhash

from chervilstep.members import Members

#: Up to this size of the fleet, every instance is a neighbour of each other.
FULL_MESH_INSTANCES: Final = 128


def neighbours(members: Members) -> frozenset[str]:
    """The instances to which this one holds a stream.

    In a larger fleet the instances stand on a ring in the order of their
    hashed names, and each one keeps streams to those at distances that are
    powers of two in both directions, as in Chord (Stoica et al., 2001). A
    message that is passed on reaches everyone in a logarithmic number of
    steps, and the cost for each instance grows with the logarithm as well.
    """
    names = set(members.listed) - {members.self_name}
    if len(names) < FULL_MESH_INSTANCES:
        return frozenset(names)
    ring = sorted({*names, members.self_name}, key=_position)
    own = ring.index(members.self_name)
    size = len(ring)
    distances = [2**power for power in range(size.bit_length() - 1)]
    chords = {
        ring[(own + sign * distance) % size]
        for distance in distances
        for sign in (1, -1)
    }
    return frozenset(chords - {members.self_name})


def dials(self_name: str, peer_name: str) -> bool:
    """Whether this instance opens the stream to the peer, or waits for it."""
    return self_name < peer_name


def _position(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
