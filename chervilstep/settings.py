"""The settings of one instance."""

from collections.abc import Mapping
from typing import Final, final

from chervilstep.allowances import Allowances
from chervilstep.shares import Shares, new_shares

DEFAULT_BODY_LIMIT_BYTES: Final = 1024 * 1024
DEFAULT_HEADER_LIMIT_BYTES: Final = 16 * 1024

#: Longer than the TTL of an answer of the locator, so that callers use other
#: instances by the end of the phase.
LAME_DUCK_SECONDS: Final = 6
#: How long callers may cache an answer of the locator.
LOCATOR_TTL_SECONDS: Final = 5
LOCATOR_MAX_ADDRESSES: Final = 4
DRAIN_SECONDS: Final = 30


@final
class Limits:
    """The size limits of messages that an instance reads."""

    __slots__ = ('_body_bytes', '_header_bytes', '_shares')

    def __init__(
        self,
        body_bytes: int = DEFAULT_BODY_LIMIT_BYTES,
        header_bytes: int = DEFAULT_HEADER_LIMIT_BYTES,
        shares: Shares | None = None,
    ) -> None:
        """Creates limits of bodies and heads, and of all together."""
        self._body_bytes = body_bytes
        self._header_bytes = header_bytes
        self._shares = shares or new_shares()

    @property
    def body_bytes(self) -> int:
        """The maximum size of the body of a request or an answer."""
        return self._body_bytes

    @property
    def header_bytes(self) -> int:
        """The maximum size of the head of a request or an answer."""
        return self._header_bytes

    @property
    def shares(self) -> Shares:
        """What all messages and connections together may use."""
        return self._shares


@final
class ShutdownTimeouts:
    """The durations of the two phases of a planned stop."""

    __slots__ = ('_drain_seconds', '_lame_duck_seconds')

    def __init__(
        self,
        lame_duck_seconds: float = LAME_DUCK_SECONDS,
        drain_seconds: float = DRAIN_SECONDS,
    ) -> None:
        """Creates the durations of the lame-duck phase and the drain."""
        self._lame_duck_seconds = lame_duck_seconds
        self._drain_seconds = drain_seconds

    @property
    def lame_duck_seconds(self) -> float:
        """How long new requests are accepted after the stop was announced.

        Callers switch to other instances during this time.
        """
        return self._lame_duck_seconds

    @property
    def drain_seconds(self) -> float:
        """How long requests in flight may take after the lame-duck phase."""
        return self._drain_seconds


@final
class LocatorOptions:
    """Options of the answers of the locator."""

    __slots__ = ('_max_addresses', '_min_zone_instances', '_ttl_seconds')

    def __init__(
        self,
        ttl_seconds: float = LOCATOR_TTL_SECONDS,
        max_addresses: int = LOCATOR_MAX_ADDRESSES,
        min_zone_instances: int = LOCATOR_MAX_ADDRESSES,
    ) -> None:
        """Creates options of the locator."""
        self._ttl_seconds = ttl_seconds
        self._max_addresses = max_addresses
        self._min_zone_instances = min_zone_instances

    @property
    def ttl_seconds(self) -> float:
        """How long callers may cache an answer."""
        return self._ttl_seconds

    @property
    def max_addresses(self) -> int:
        """The maximum number of addresses in an answer."""
        return self._max_addresses

    @property
    def min_zone_instances(self) -> int:
        """How many instances of the caller's zone suffice for an answer.

        With fewer, the answer includes instances of other zones.
        """
        return self._min_zone_instances


@final
class Profile:
    """Settings that depend on the kind of deployment."""

    __slots__ = (
        '_allowances',
        '_dialect',
        '_edge',
        '_limits',
        '_locator',
        '_shutdown_timeouts',
    )

    def __init__(
        self,
        *,
        limits: Limits | None = None,
        allowances: Allowances | None = None,
        dialect: str = 'native',
        edge: str = 'native',
        shutdown_timeouts: ShutdownTimeouts | None = None,
        locator: LocatorOptions | None = None,
    ) -> None:
        """Creates a profile; the defaults are those of native deployments."""
        self._limits = limits or Limits()
        self._dialect = dialect
        self._edge = edge
        self._shutdown_timeouts = shutdown_timeouts or ShutdownTimeouts()
        self._locator = locator or LocatorOptions()
        self._allowances = allowances or Allowances()

    @property
    def limits(self) -> Limits:
        """The size limits of messages that an instance reads."""
        return self._limits

    @property
    def dialect(self) -> str:
        """The name of the protocol dialect of the upstreams."""
        return self._dialect

    @property
    def edge(self) -> str:
        """The name of the front end for callers."""
        return self._edge

    @property
    def shutdown_timeouts(self) -> ShutdownTimeouts:
        """The durations of the two phases of a planned stop."""
        return self._shutdown_timeouts

    @property
    def locator(self) -> LocatorOptions:
        """Options of the answers of the locator."""
        return self._locator

    @property
    def allowances(self) -> Allowances:
        """The tolerances of limits that apply to the whole fleet."""
        return self._allowances


@final
class Settings:
    """The settings of one instance."""

    __slots__ = (
        '_admin_address',
        '_configuration_source',
        '_entry_address',
        '_name',
        '_peer_address',
        '_peer_secret',
        '_profile',
        '_seeds',
        '_zone',
    )

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        entry_address: str,
        peer_address: str,
        admin_address: str,
        configuration_source: str,
        peer_secret: str,
        profile: Profile | None = None,
        seeds: Mapping[str, str] | None = None,
    ) -> None:
        """Creates settings; addresses are ``ip:port``."""
        self._name = name
        self._zone = zone
        self._entry_address = entry_address
        self._peer_address = peer_address
        self._admin_address = admin_address
        self._configuration_source = configuration_source
        self._peer_secret = peer_secret
        self._profile = profile or Profile()
        self._seeds = dict(seeds or {})

    @property
    def name(self) -> str:
        """The name of the instance."""
        return self._name

    @property
    def zone(self) -> str:
        """The availability zone of the instance."""
        return self._zone

    @property
    def entry_address(self) -> str:
        """The address that listens for callers."""
        return self._entry_address

    @property
    def peer_address(self) -> str:
        """The address that listens for other instances."""
        return self._peer_address

    @property
    def admin_address(self) -> str:
        """The address that listens for operators."""
        return self._admin_address

    @property
    def configuration_source(self) -> str:
        """The URL of the document: ``store://ip:port`` or ``file:path``."""
        return self._configuration_source

    @property
    def peer_secret(self) -> str:
        """The shared secret with which instances authenticate each other."""
        return self._peer_secret

    @property
    def dialect(self) -> str:
        """The name of the protocol dialect of the upstreams."""
        return self._profile.dialect

    @property
    def edge(self) -> str:
        """The name of the front end for callers."""
        return self._profile.edge

    @property
    def locator(self) -> LocatorOptions:
        """Options of the answers of the locator."""
        return self._profile.locator

    @property
    def shutdown_timeouts(self) -> ShutdownTimeouts:
        """The durations of the two phases of a planned stop."""
        return self._profile.shutdown_timeouts

    @property
    def allowances(self) -> Allowances:
        """The tolerances of limits that apply to the whole fleet."""
        return self._profile.allowances

    @property
    def body_limit_bytes(self) -> int:
        """The maximum size of the body of a request or an answer."""
        return self._profile.limits.body_bytes

    @property
    def header_limit_bytes(self) -> int:
        """The maximum size of the head of a request or an answer."""
        return self._profile.limits.header_bytes

    @property
    def shares(self) -> Shares:
        """What all messages and connections together may use."""
        return self._profile.limits.shares

    @property
    def seeds(self) -> Mapping[str, str]:
        """The peer addresses of some instances by name, for discovery."""
        return self._seeds
