"""The addresses at which an instance serves the platform itself."""

from typing import Final, final


@final
class PlatformAddresses:
    """The addresses for discovery, readiness and metrics."""

    __slots__ = ('_directory_address', '_metrics_address', '_ready_address')

    def __init__(
        self, directory_address: str, ready_address: str, metrics_address: str
    ) -> None:
        """Creates the set of addresses; each is ``ip:port``."""
        self._metrics_address = metrics_address
        self._directory_address = directory_address
        self._ready_address = ready_address

    @property
    def directory_address(self) -> str:
        """The address at which clients look up entry addresses."""
        return self._directory_address

    @property
    def metrics_address(self) -> str:
        """The address at which operators read the metrics."""
        return self._metrics_address

    @property
    def ready_address(self) -> str:
        """The address at which the platform checks readiness."""
        return self._ready_address


@final
class PlatformAddressTable:
    """The addresses of the instances in this process, by instance name."""

    __slots__ = ('_by_instance',)

    def __init__(self) -> None:
        """Creates an empty table."""
        self._by_instance: dict[str, PlatformAddresses] = {}

    def put(self, name: str, addresses: PlatformAddresses) -> None:
        """Sets the addresses of the instance ``name``."""
        self._by_instance[name] = addresses

    def get(self, name: str) -> PlatformAddresses:
        """Returns the addresses of the instance ``name``."""
        return self._by_instance[name]


PLATFORM_ADDRESSES: Final = PlatformAddressTable()
