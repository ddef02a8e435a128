"""Reads the lines of logs, and prints them for readers."""

import json
from datetime import datetime
from typing import Final

from chervilstep.exceptions import LogError
from chervilstep.loglines import LogLine

#: What stands elsewhere in a printed line, or is the same in all of them.
_WITHHELD: Final = ('event', 'level', 'request', 'timestamp')


def parse_line(source: str, text: str) -> LogLine:
    """Reads a line.

    Raises:
        LogError: The text is not a line of an instance.
    """
    try:
        return _read(source, text)
    except (ValueError, LookupError, TypeError) as fault:
        raise LogError(f'{source}: not a line of a log: {fault!r}') from fault


def described(line: LogLine) -> str:
    """A line for readers: the time, the instance, and the fields."""
    fields = ' '.join(
        f'{name}={json.dumps(found)}'
        for name, found in line.fields.items()
        if name not in _WITHHELD
    )
    clock = line.timestamp.strftime('%H:%M:%S.%f')[:-3]
    return f'{clock} {line.source} {line.event} {fields}'.rstrip()


def _read(source: str, text: str) -> LogLine:
    fields = json.loads(text)
    at = datetime.fromisoformat(fields['timestamp'])
    return LogLine(source, at, str(fields['event']), fields)
