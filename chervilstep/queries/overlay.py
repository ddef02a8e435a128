"""The overlay network: which instances are connected to which."""

from typing import Final

import xxhash

from chervilstep.members import Members

#: Fleets of up to this many instances are connected as a full mesh.
FULL_MESH_MAX_INSTANCES: Final = 128


def neighbours(members: Members) -> frozenset[str]:
    """Returns the instances to which this one keeps a connection.

    In a larger fleet the instances form a ring in the order of their hashed
    names. Each one connects to those at distances that are powers of two in
    both directions, as in Chord (Stoica et al., 2001). A forwarded message
    reaches all instances in a logarithmic number of hops, and the number of
    connections of an instance is logarithmic too.
    """
    names = set(members.active) - {members.self_name}
    if is_full_mesh(members):
        return frozenset(names)
    ring = sorted({*names, members.self_name}, key=_ring_position)
    own = ring.index(members.self_name)
    size = len(ring)
    distances = [2**power for power in range(size.bit_length() - 1)]
    chords = {
        ring[(own + sign * distance) % size]
        for distance in distances
        for sign in (1, -1)
    }
    return frozenset(chords - {members.self_name})


def is_full_mesh(members: Members) -> bool:
    """Whether every instance keeps a connection to every other one."""
    others = members.active.keys() - {members.self_name}
    return len(others) < FULL_MESH_MAX_INSTANCES


def should_dial(self_name: str, peer_name: str) -> bool:
    """Whether this instance dials the peer; otherwise the peer dials."""
    return self_name < peer_name


def _ring_position(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
