"""What an instance keeps to pass the configuration on between peers."""

from collections.abc import Mapping
from typing import Final, final

from chervilstep.types import Deadline, Instant

#: For how long knowledge of the current configuration stays good. An instance
#: that hears nothing for this long refuses requests that need a key.
HOLD_SECONDS: Final = 8
#: How long a new instance waits to meet another one before the platform's
#: answer alone counts.
INTRODUCTION_SECONDS: Final = 10
#: How long listed instances count as live after a start, until heartbeats
#: tell.
GRACE_SECONDS: Final = 4
#: When a transfer that made no progress is given up.
TRANSFER_SECONDS: Final = 2
#: Bounds the inquiries that wait for an answer.
MAX_INQUIRIES: Final = 4096


@final
class Inquiry:
    """A question to a peer that was not answered yet."""

    __slots__ = ('_number', '_sent_at')

    def __init__(self, number: int, sent_at: Instant) -> None:
        """Creates an inquiry; its ``number`` comes back in the answer."""
        self._number = number
        self._sent_at = sent_at

    @property
    def number(self) -> int:
        """The number that ties the answer to the question."""
        return self._number

    @property
    def sent_at(self) -> Instant:
        """When it was sent; the answer tells of an instant not before."""
        return self._sent_at


@final
class Transfer:
    """A section that is being fetched from a peer in parts."""

    __slots__ = ('_body', '_deadline', '_name', '_peer', '_revision')

    def __init__(
        self, peer: str, name: str, revision: int, deadline: Deadline
    ) -> None:
        """Starts without any part."""
        self._peer = peer
        self._name = name
        self._revision = revision
        self._deadline = deadline
        self._body = b''

    @property
    def peer(self) -> str:
        """The instance that sends the section."""
        return self._peer

    @property
    def name(self) -> str:
        """The name of the section."""
        return self._name

    @property
    def revision(self) -> int:
        """The revision that is fetched."""
        return self._revision

    @property
    def deadline(self) -> Deadline:
        """When the transfer is given up."""
        return self._deadline

    @property
    def body(self) -> bytes:
        """The compressed text as far as it came."""
        return self._body

    def extend(self, data: bytes, deadline: Deadline) -> None:
        """Appends a part and puts the deadline off."""
        self._body += data
        self._deadline = deadline


@final
class Relay:
    """Inquiries, transfers, and what the peers vouch for."""

    __slots__ = (
        '_arrived',
        '_grace_until',
        '_inquiries',
        '_introduce_by',
        '_is_introduced',
        '_last_number',
        '_transfers',
        '_vouched_until',
    )

    def __init__(self) -> None:
        """Starts as an instance that has met no other."""
        self._inquiries: dict[str, Inquiry] = {}
        self._vouched_until: dict[str, Deadline] = {}
        self._transfers: dict[str, Transfer] = {}
        self._arrived: dict[str, tuple[int, str | None]] = {}
        self._last_number = 0
        self._is_introduced = False
        self._introduce_by: Deadline | None = None
        self._grace_until: Deadline | None = None

    @property
    def inquiries(self) -> Mapping[str, Inquiry]:
        """The open inquiry to each peer."""
        return self._inquiries

    @property
    def vouched_until(self) -> Mapping[str, Deadline]:
        """Until when each peer is known to have nothing else."""
        return self._vouched_until

    @property
    def transfers(self) -> Mapping[str, Transfer]:
        """The running transfers by the name of the section."""
        return self._transfers

    @property
    def arrived(self) -> Mapping[str, tuple[int, str | None]]:
        """Fetched sections that were not offered yet, by name."""
        return self._arrived

    @property
    def last_number(self) -> int:
        """The number of the last inquiry."""
        return self._last_number

    @property
    def is_introduced(self) -> bool:
        """Whether this instance caught up with the fleet since its start."""
        return self._is_introduced

    @property
    def introduce_by(self) -> Deadline | None:
        """When the wait for other instances ends; None before the start."""
        return self._introduce_by

    @property
    def grace_until(self) -> Deadline | None:
        """Until when instances that were not heard of count as live."""
        return self._grace_until

    def start(self, introduce_by: Deadline, grace_until: Deadline) -> None:
        """Sets the deadlines that run from the start of the instance."""
        self._introduce_by = introduce_by
        self._grace_until = grace_until

    def introduce(self) -> None:
        """Notes that this instance caught up with the fleet."""
        self._is_introduced = True

    def ask(self, peer: str, sent_at: Instant) -> None:
        """Opens an inquiry; it replaces an older one to the same peer."""
        self._last_number += 1
        self._inquiries.pop(peer, None)
        self._inquiries[peer] = Inquiry(self._last_number, sent_at)
        if len(self._inquiries) > MAX_INQUIRIES:
            self._inquiries.pop(next(iter(self._inquiries)))

    def close(self, peer: str) -> None:
        """Closes the inquiry to a peer."""
        self._inquiries.pop(peer, None)

    def vouch(self, peer: str, until: Deadline) -> None:
        """Notes that a peer knows of nothing else."""
        known = self._vouched_until.get(peer)
        if known is None or known.at < until.at:
            self._vouched_until[peer] = until

    def distrust(self, peer: str) -> None:
        """Forgets what a peer vouched for."""
        self._vouched_until.pop(peer, None)

    def forget_expired(self, now: Instant) -> None:
        """Forgets who vouched too long ago."""
        self._vouched_until = {
            peer: until
            for peer, until in self._vouched_until.items()
            if not until.has_passed(now)
        }

    def begin(self, transfer: Transfer) -> None:
        """Notes a transfer; it replaces one of the same section."""
        self._transfers[transfer.name] = transfer

    def drop(self, name: str) -> None:
        """Ends a transfer."""
        self._transfers.pop(name, None)

    def arrive(self, name: str, revision: int, text: str | None) -> None:
        """Keeps a fetched section until it is offered."""
        known = self._arrived.get(name)
        if known is None or known[0] < revision:
            self._arrived[name] = (revision, text)

    def clear_arrived(self) -> None:
        """Forgets the fetched sections, once they were offered."""
        self._arrived.clear()
