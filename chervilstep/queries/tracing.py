"""Traces one request through the log lines of several instances.

The events are described in docs/OPERATIONS.md. A trace contains the lines of
the request and related lines of the same instances, from shortly before its
first line to its last: changes of the store, the peers, the configuration,
and the upstreams that were tried.
"""

from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import Final

from chervilstep.loglines import LogLine

#: Related lines may precede the first line of the request by this time.
CONTEXT_SECONDS: Final = 15.0
#: Events that affect all requests at an instance.
INSTANCE_EVENTS: Final = frozenset(
    (
        'configuration_accepted',
        'items_outdated',
        'lines_dropped',
        'member_lost',
        'peer_lost',
        'reloaded',
        'section_refused',
        'started',
        'stopping',
        'store_compacted',
        'store_lost',
        'store_regained',
        'store_relayed',
        'zone_restored',
        'zone_withdrawn',
    )
)
#: Events that affect only the requests sent to one upstream.
UPSTREAM_EVENTS: Final = frozenset(
    (
        'check_broken',
        'limit_ended',
        'limit_stated',
        'limit_unreadable',
        'upstream_closed',
        'upstream_cold',
        'upstream_listed',
        'upstream_struck',
    )
)


def trace_request(
    request: str, lines: Iterable[LogLine]
) -> tuple[LogLine, ...]:
    """Returns the lines of a request and of related changes, by time."""
    all_lines = tuple(lines)
    request_lines = [line for line in all_lines if line.is_about(request)]
    if not request_lines:
        return ()
    upstreams = {
        _identity(line.fields['upstream'])
        for line in request_lines
        if line.fields.get('upstream') is not None
    }
    sources = {line.source for line in request_lines}
    end = max(line.timestamp for line in request_lines)
    start = min(line.timestamp for line in request_lines) - timedelta(
        seconds=CONTEXT_SECONDS
    )
    selected = [
        line
        for line in all_lines
        if line.is_about(request)
        or (
            line.source in sources
            and start <= line.timestamp <= end
            and _affects_request(line, upstreams)
        )
    ]
    return tuple(sorted(selected, key=_timestamp))


def _affects_request(line: LogLine, upstreams: set[str]) -> bool:
    if line.event in INSTANCE_EVENTS:
        return True
    if line.event not in UPSTREAM_EVENTS:
        return False
    upstream = line.fields.get('upstream')
    if upstream is None:
        # An item of the store has the identity at the end of its key.
        return str(line.fields.get('key', '')).rpartition('/')[2] in upstreams
    return _identity(upstream) in upstreams


def _identity(upstream: object) -> str:
    """Returns the identity in an upstream's name, which may add its start."""
    return str(upstream).partition('/')[0]


def _timestamp(line: LogLine) -> datetime:
    return line.timestamp
