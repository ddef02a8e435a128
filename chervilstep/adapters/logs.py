"""Parses the lines of log files and formats them for display."""

import json
from datetime import datetime
from typing import Final

from chervilstep.exceptions import LogError
from chervilstep.loglines import LogLine

#: Fields that are printed elsewhere in the line or are equal in all lines.
_OMITTED_FIELDS: Final = ('event', 'level', 'request', 'timestamp')


def parse_line(source: str, text: str) -> LogLine:
    """Parses a line of the log ``source``.

    Raises:
        LogError: The text is not a log line of an instance.
    """
    try:
        return _parse(source, text)
    except (ValueError, LookupError, TypeError) as fault:
        raise LogError(f'{source}: not a valid log line: {fault!r}') from fault


def format_line(line: LogLine) -> str:
    """Formats a line: the time, the source, the event and its fields."""
    fields = ' '.join(
        f'{name}={json.dumps(field)}'
        for name, field in line.fields.items()
        if name not in _OMITTED_FIELDS
    )
    time_of_day = line.timestamp.strftime('%H:%M:%S.%f')[:-3]
    return f'{time_of_day} {line.source} {line.event} {fields}'.rstrip()


def _parse(source: str, text: str) -> LogLine:
    fields = json.loads(text)
    timestamp = datetime.fromisoformat(fields['timestamp'])
    return LogLine(source, timestamp, str(fields['event']), fields)
