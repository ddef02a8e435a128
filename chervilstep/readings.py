"""The present level of something, for metrics."""

from typing import final


@final
class Reading:
    """One level with its labels.

    Labels take their values from the configuration and the code only.
    """

    __slots__ = ('_labels', '_level')

    def __init__(self, level: float, **labels: str) -> None:
        """Creates a reading of ``level``."""
        self._level = level
        self._labels = labels

    @property
    def level(self) -> float:
        """The level."""
        return self._level

    @property
    def labels(self) -> dict[str, str]:
        """The labels by name."""
        return self._labels
