"""Trust in the keep-alive connections to each upstream.

A middlebox, such as a firewall or a NAT gateway, can drop the state of a
connection: it then discards everything that is written to the connection,
while new connections work. After one attempt that times out, no older
connection to the upstream is used again, and the next attempt on a new
connection shows whether the connection or the server was at fault.
"""

import enum
from collections.abc import Mapping
from typing import final

from chervilstep.types import Instant


@final
class TrustState(enum.Enum):
    """Whether the connections or the server are at fault."""

    GOOD = 'good'
    UNDECIDED = 'undecided'
    SERVER_SILENT = 'server-silent'


@final
class ConnectionTrust:
    """The trust in the connections of this instance to one upstream."""

    __slots__ = ('_state', '_trusted_from')

    def __init__(self) -> None:
        """Creates a record that trusts every connection."""
        self._state = TrustState.GOOD
        self._trusted_from: Instant | None = None

    @property
    def state(self) -> TrustState:
        """The conclusion from the last attempts."""
        return self._state

    @property
    def trusted_from(self) -> Instant | None:
        """The time before which an opened connection is not used again."""
        return self._trusted_from

    def is_trusted(self, opened_at: Instant) -> bool:
        """Whether a connection opened at ``opened_at`` may be used."""
        return self._trusted_from is None or opened_at >= self._trusted_from

    def distrust(self, now: Instant) -> None:
        """Distrusts every connection that was opened before ``now``."""
        self._state = TrustState.UNDECIDED
        self._trusted_from = now

    def record_conclusion(self, state: TrustState) -> None:
        """Records the conclusion from an attempt on a new connection."""
        self._state = state


@final
class ConnectionTrustTable:
    """The trust in connections by the upstream's name."""

    __slots__ = ('_by_upstream',)

    def __init__(self) -> None:
        """Creates an empty table; every connection is trusted."""
        self._by_upstream: dict[str, ConnectionTrust] = {}

    def __len__(self) -> int:
        """The number of upstreams with a record."""
        return len(self._by_upstream)

    @property
    def by_upstream(self) -> Mapping[str, ConnectionTrust]:
        """The records of the upstreams that left an attempt unanswered."""
        return self._by_upstream

    def get_or_create(self, upstream: str) -> ConnectionTrust:
        """Returns the record of ``upstream``, created on first use."""
        return self._by_upstream.setdefault(upstream, ConnectionTrust())

    def retain(self, names: frozenset[str]) -> None:
        """Removes the upstreams that are not in ``names``."""
        for name in tuple(self._by_upstream):
            if name not in names:
                self._by_upstream.pop(name)
