"""The settings of one instance, as its TOML file gives them."""

from collections.abc import Mapping
from typing import Final, final

DEFAULT_BODY_LIMIT_BYTES: Final = 1024 * 1024
DEFAULT_HEADER_LIMIT_BYTES: Final = 16 * 1024


@final
class Limits:
    """The bounds of what an instance reads."""

    __slots__ = ('_body_bytes', '_header_bytes')

    def __init__(
        self,
        body_bytes: int = DEFAULT_BODY_LIMIT_BYTES,
        header_bytes: int = DEFAULT_HEADER_LIMIT_BYTES,
    ) -> None:
        """Creates limits of bodies and heads."""
        self._body_bytes = body_bytes
        self._header_bytes = header_bytes

    @property
    def body_bytes(self) -> int:
        """The largest body of a request or an answer."""
        return self._body_bytes

    @property
    def header_bytes(self) -> int:
        """The largest head of a request or an answer."""
        return self._header_bytes


@final
class Settings:
    """What one instance is told at its start."""

    __slots__ = (
        '_admin_address',
        '_configuration_source',
        '_entry_address',
        '_limits',
        '_name',
        '_peer_address',
        '_peer_secret',
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
        limits: Limits | None = None,
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
        self._limits = limits or Limits()
        self._seeds = dict(seeds or {})

    @property
    def name(self) -> str:
        """The name of the instance."""
        return self._name

    @property
    def zone(self) -> str:
        """Its availability zone."""
        return self._zone

    @property
    def entry_address(self) -> str:
        """Where it listens for callers."""
        return self._entry_address

    @property
    def peer_address(self) -> str:
        """Where it listens for other instances."""
        return self._peer_address

    @property
    def admin_address(self) -> str:
        """Where it listens for operators."""
        return self._admin_address

    @property
    def configuration_source(self) -> str:
        """The URL of the document: ``platform://ip:port`` or ``file:path``."""
        return self._configuration_source

    @property
    def peer_secret(self) -> str:
        """The secret by which instances know each other."""
        return self._peer_secret

    @property
    def body_limit_bytes(self) -> int:
        """The largest body of a request or an answer."""
        return self._limits.body_bytes

    @property
    def header_limit_bytes(self) -> int:
        """The largest head of a request or an answer."""
        return self._limits.header_bytes

    @property
    def seeds(self) -> Mapping[str, str]:
        """Peer addresses by name, used until a list of instances is known."""
        return self._seeds
