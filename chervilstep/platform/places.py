"""Where an instance listens for the platform, beside its other addresses."""

from typing import Final, final


@final
class Places:
    """The addresses that only the platform's own calls use."""

    __slots__ = ('_directory_address', '_metrics_address', '_ready_address')

    def __init__(
        self, directory_address: str, ready_address: str, metrics_address: str
    ) -> None:
        """Creates the places; each is ``ip:port``."""
        self._metrics_address = metrics_address
        self._directory_address = directory_address
        self._ready_address = ready_address

    @property
    def directory_address(self) -> str:
        """Where clients ask for addresses."""
        return self._directory_address

    @property
    def metrics_address(self) -> str:
        """Where operators read the metrics."""
        return self._metrics_address

    @property
    def ready_address(self) -> str:
        """Where the platform asks whether this instance is ready."""
        return self._ready_address


@final
class PlacesTable:
    """The places of the instances of this process by their names."""

    __slots__ = ('_places',)

    def __init__(self) -> None:
        """Starts empty."""
        self._places: dict[str, Places] = {}

    def put(self, name: str, places: Places) -> None:
        """Adds the places of an instance."""
        self._places[name] = places

    def of(self, name: str) -> Places:
        """The places of the instance ``name``."""
        return self._places[name]


PLACES: Final = PlacesTable()
