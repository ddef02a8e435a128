"""Values of gauges for the metrics."""

from typing import final


@final
class GaugeValue:
    """The current value of a gauge for one set of labels.

    Label values come from the configuration and from constants of the code
    only, so that the number of time series stays bounded.
    """

    __slots__ = ('_labels', '_value')

    def __init__(self, value: float, **labels: str) -> None:
        """Creates the value of a gauge with these labels."""
        self._value = value
        self._labels = labels

    @property
    def value(self) -> float:
        """The current value."""
        return self._value

    @property
    def labels(self) -> dict[str, str]:
        """The labels by name."""
        return self._labels
