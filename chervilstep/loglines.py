"""Parsed lines of the logs of instances."""

from collections.abc import Mapping
from datetime import datetime
from typing import final


@final
class LogLine:
    """A line of the log of one instance."""

    __slots__ = ('_event', '_fields', '_source', '_timestamp')

    def __init__(
        self,
        source: str,
        timestamp: datetime,
        event: str,
        fields: Mapping[str, object],
    ) -> None:
        """Creates a line that the instance ``source`` wrote."""
        self._source = source
        self._timestamp = timestamp
        self._event = event
        self._fields = fields

    @property
    def source(self) -> str:
        """The name of the instance that wrote the line."""
        return self._source

    @property
    def timestamp(self) -> datetime:
        """The time of writing by the clock of the instance."""
        return self._timestamp

    @property
    def event(self) -> str:
        """The name of the event."""
        return self._event

    @property
    def fields(self) -> Mapping[str, object]:
        """All fields of the line by name."""
        return self._fields

    def is_about(self, request: str) -> bool:
        """Whether the line belongs to the request with this id."""
        return self._fields.get('request') == request
