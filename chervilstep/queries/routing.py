"""Finds the route of a request by host and path prefix."""

import re
from typing import Final
from urllib.parse import unquote

from chervilstep.refusals import (
    BAD_REQUEST,
    METHOD_NOT_ALLOWED,
    NOT_READY,
    UNKNOWN_ROUTE,
    Refusal,
)
from chervilstep.snapshot import Route, Snapshot

#: Path segments that an upstream could resolve to a path outside of the prefix.
_AMBIGUOUS_PATH: Final = re.compile(r'//|/\.{1,2}(?:/|;|$)|\\|\x00')


def resolve(
    snapshot: Snapshot, method: str, path: str, host: str = ''
) -> Route | Refusal:
    """Returns the route of ``host`` with the longest prefix of ``path``.

    A method that this route does not allow is refused: falling back to a
    shorter prefix could bypass the key that the longer one requires. For the
    same reason the path is decoded first, and ambiguous paths are refused.
    """
    if not snapshot.routes:
        return NOT_READY
    decoded = unquote(path) if '%' in path else path
    if _AMBIGUOUS_PATH.search(decoded) or '%2f' in path.lower():
        return BAD_REQUEST
    route = _longest_prefix(snapshot, decoded, host)
    if route is None:
        return UNKNOWN_ROUTE
    if route.methods and method not in route.methods:
        return METHOD_NOT_ALLOWED
    return route


def _longest_prefix(snapshot: Snapshot, path: str, host: str) -> Route | None:
    end = path.rfind('/')
    while end >= 0:
        route = snapshot.route_by_path(path[: end + 1], host)
        if route is not None:
            return route
        end = path.rfind('/', 0, end)
    return None
