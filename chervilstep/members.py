"""The membership table: the entry instances of the fleet."""

import enum
from collections.abc import Mapping
from typing import final

from chervilstep.shutdown import Shutdown
from chervilstep.types import Deadline


@final
class Instance:
    """The name, zone and addresses of one entry instance."""

    __slots__ = ('_address', '_name', '_peer_address', '_zone')

    def __init__(
        self, name: str, zone: str, address: str, peer_address: str
    ) -> None:
        """Creates an instance with its two ``ip:port`` addresses."""
        self._name = name
        self._zone = zone
        self._address = address
        self._peer_address = peer_address

    @property
    def name(self) -> str:
        """The name; a replacement of the instance has another name."""
        return self._name

    @property
    def zone(self) -> str:
        """The name of the availability zone."""
        return self._zone

    @property
    def address(self) -> str:
        """The ``ip:port`` that callers connect to."""
        return self._address

    @property
    def peer_address(self) -> str:
        """The ``ip:port`` that other instances connect to."""
        return self._peer_address


@final
class PeerStatus:
    """The status of one peer, from its own heartbeats and connection."""

    __slots__ = (
        '_alive_until',
        '_is_connected',
        '_is_leaving',
        '_is_ready',
        '_load',
    )

    def __init__(self) -> None:
        """Creates the status of a peer without a connection."""
        self._alive_until: Deadline | None = None
        self._is_connected = False
        self._is_ready = False
        self._is_leaving = False
        self._load = float(0)

    @property
    def is_connected(self) -> bool:
        """Whether there is a connection to the peer."""
        return self._is_connected

    @property
    def is_ready(self) -> bool:
        """Whether the peer reported that it has a configuration."""
        return self._is_ready

    @property
    def is_leaving(self) -> bool:
        """Whether the peer reported that it is leaving the fleet."""
        return self._is_leaving

    @property
    def load(self) -> float:
        """The fraction of the peer's capacity in use, from 0 to 1."""
        return self._load

    def is_alive(self, now: float) -> bool:
        """Whether the last heartbeat of the peer is still valid."""
        return self._alive_until is not None and not (
            self._alive_until.has_passed(now)
        )

    def record_heartbeat(
        self,
        alive_until: Deadline,
        *,
        is_ready: bool,
        is_leaving: bool,
        load: float,
    ) -> None:
        """Records a heartbeat that is valid until ``alive_until``."""
        self._alive_until = alive_until
        self._is_connected = True
        self._is_ready = is_ready
        self._is_leaving = self._is_leaving or is_leaving
        self._load = load

    def record_connect(self) -> None:
        """Records that a connection to the peer was opened."""
        self._is_connected = True

    def record_disconnect(self) -> None:
        """Records that the connection to the peer was lost.

        The next connection may be to a new process of the same name, so the
        last heartbeat and the leaving mark are cleared.
        """
        self._alive_until = None
        self._is_connected = False
        self._is_leaving = False


@final
class MemberState(enum.IntEnum):
    """The state of a member; within one incarnation, the greatest wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@final
class MemberRecord:
    """The state of one instance in one of its incarnations.

    Only the instance itself raises its ``incarnation``: to refute other
    records of it, and when it leaves (SWIM; Das, Gupta and Motivala, 2002).
    """

    __slots__ = ('_incarnation', '_instance', '_state', '_state_deadline')

    def __init__(
        self,
        instance: Instance,
        incarnation: int,
        state: MemberState,
        state_deadline: Deadline,
    ) -> None:
        """Creates a record whose state ends at ``state_deadline``."""
        self._instance = instance
        self._incarnation = incarnation
        self._state = state
        self._state_deadline = state_deadline

    @property
    def instance(self) -> Instance:
        """The instance that the record describes."""
        return self._instance

    @property
    def incarnation(self) -> int:
        """The incarnation number, which the instance itself assigns."""
        return self._incarnation

    @property
    def state(self) -> MemberState:
        """The state of the instance."""
        return self._state

    @property
    def state_deadline(self) -> Deadline:
        """When a suspect becomes dead, or a dead or left member is removed."""
        return self._state_deadline

    @property
    def is_active(self) -> bool:
        """Whether the instance is alive or suspected."""
        return self._state <= MemberState.SUSPECT


@final
class Members:
    """The member records of the fleet and the status of each peer."""

    __slots__ = (
        '_active',
        '_is_leaving',
        '_known',
        '_peers',
        '_records',
        '_self_name',
        '_shutdown',
        '_zones',
    )

    def __init__(self, self_name: str) -> None:
        """Creates an empty table; ``self_name`` names this instance."""
        self._self_name = self_name
        self._records: dict[str, MemberRecord] = {}
        self._active: dict[str, Instance] = {}
        self._known: dict[str, Instance] = {}
        self._zones: dict[str, dict[str, Instance]] = {}
        self._peers: dict[str, PeerStatus] = {}
        self._is_leaving = False
        self._shutdown = Shutdown()

    @property
    def self_name(self) -> str:
        """The name of this instance."""
        return self._self_name

    @property
    def active(self) -> Mapping[str, Instance]:
        """The alive and suspected instances by name, this one included."""
        return self._active

    @property
    def peers(self) -> Mapping[str, PeerStatus]:
        """The status of each peer by name."""
        return self._peers

    @property
    def records(self) -> Mapping[str, MemberRecord]:
        """The member records, which the instances exchange, by name."""
        return self._records

    @property
    def known(self) -> Mapping[str, Instance]:
        """The alive, suspected and dead instances by name.

        A dead instance may be partitioned from this one and still serve
        callers. Instances that have left are not included.
        """
        return self._known

    @property
    def zones(self) -> Mapping[str, Mapping[str, Instance]]:
        """The known instances by zone and name."""
        return self._zones

    @property
    def dead_names(self) -> frozenset[str]:
        """The names of the dead instances, which may come back."""
        return frozenset(
            name
            for name, record in self._records.items()
            if record.state is MemberState.DEAD
        )

    @property
    def is_leaving(self) -> bool:
        """Whether this instance itself is stopping."""
        return self._is_leaving

    @property
    def shutdown(self) -> Shutdown:
        """The planned stop of this instance."""
        return self._shutdown

    def set_record(self, record: MemberRecord) -> None:
        """Adds or replaces the record of one instance."""
        name = record.instance.name
        self._records[name] = record
        if record.is_active:
            self._active[name] = record.instance
        else:
            self._active.pop(name, None)
        self._remove_known(name)
        if record.state is not MemberState.LEFT:
            self._known[name] = record.instance
            zone = self._zones.setdefault(record.instance.zone, {})
            zone[name] = record.instance

    def remove(self, name: str) -> None:
        """Removes an instance and its status."""
        self._records.pop(name, None)
        self._active.pop(name, None)
        self._peers.pop(name, None)
        self._remove_known(name)

    def get_or_create_peer(self, name: str) -> PeerStatus:
        """Returns the status of the peer ``name``, created on first use."""
        return self._peers.setdefault(name, PeerStatus())

    def mark_leaving(self) -> None:
        """Marks this instance as stopping, which is not reversible."""
        self._is_leaving = True

    def _remove_known(self, name: str) -> None:
        known = self._known.pop(name, None)
        if known is not None:
            self._zones[known.zone].pop(name)
