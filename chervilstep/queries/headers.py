"""Rules for the headers of requests and answers."""

import hashlib
import re
from collections.abc import Iterable
from typing import Final
from urllib.parse import parse_qsl

from chervilstep.calls import Headers
from chervilstep.reports import (
    NO_LIMIT,
    NO_NOTICE,
    AvailabilityNotice,
    StatedLimit,
    new_stated_limit,
    new_unreadable_limit,
)

#: Carries the key as ``Bearer KEY``.
KEY_HEADER: Final = 'authorization'
#: The number of milliseconds for which the sender still waits for the answer.
DEADLINE_HEADER: Final = 'Chervilstep-Deadline-Ms'
#: The number of the attempt, starting at 1.
ATTEMPT_HEADER: Final = 'Chervilstep-Attempt'
#: States whether a refused request may have run.
VERDICT_HEADER: Final = 'Chervilstep-Verdict'
#: States the reason of a refusal.
REASON_HEADER: Final = 'Chervilstep-Reason'
#: Set by an upstream that did not run the request.
NOT_RUN_HEADER: Final = 'X-Not-Run'
#: Set by an overloaded upstream: the requests per second that it accepts from all
#: instances together.
LIMIT_HEADER: Final = 'X-Call-Limit'
#: Set by an upstream that turns requests away: for how many seconds it wants none.
PAUSE_HEADER: Final = 'Retry-After'

#: Longer times are not told apart; this is about eleven days.
MAX_MILLISECONDS: Final = 10**9
#: Python refuses to convert numbers of thousands of digits.
_MILLISECONDS_PATTERN: Final = re.compile('[0-9]{1,20}')
_LENGTH_PATTERN: Final = re.compile('[0-9]{1,18}')
#: Longer pauses are lowered to this. Afterwards a single request finds out.
MAX_PAUSE_SECONDS: Final = 3600
_LIMIT_PATTERN: Final = re.compile(r'[0-9]{1,9}(?:\.[0-9]{1,9})?')
_BEARER_PREFIX: Final = 'bearer '

#: Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that the HTTP
#: server and client of this instance generate themselves.
_HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_REMOVED_FROM_REQUESTS: Final = _HOP_BY_HOP | {
    KEY_HEADER,
    DEADLINE_HEADER.lower(),
    ATTEMPT_HEADER.lower(),
}
_REMOVED_FROM_ANSWERS: Final = _HOP_BY_HOP | {
    NOT_RUN_HEADER.lower(),
    LIMIT_HEADER.lower(),
}
_KEY_PARAMETERS: Final = frozenset(
    ('access_token', 'api_key', 'apikey', 'authorization', 'key', 'token')
)


def request_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Returns the headers of a request that are forwarded to the upstream."""
    return _remove_headers(headers, _REMOVED_FROM_REQUESTS)


def answer_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Returns the headers of an answer that are forwarded to the caller."""
    return _remove_headers(headers, _REMOVED_FROM_ANSWERS)


def bearer_key(authorization: str | None) -> str | None:
    """Returns the key of an ``Authorization`` header, or None without one."""
    if authorization is None:
        return None
    if not authorization.lower().startswith(_BEARER_PREFIX):
        return None
    return authorization[len(_BEARER_PREFIX) :].strip() or None


def digest_key(key: str) -> str:
    """Returns the SHA-256 digest under which the configuration lists a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def has_key_in_query(target: str) -> bool:
    """Whether the query string has a parameter whose name denotes a key."""
    query = target.partition('?')[2]
    if not query:
        return False
    names = (name.lower() for name, _ in parse_qsl(query, True))
    return any(name in _KEY_PARAMETERS for name in names)


def parse_milliseconds(text: str | None) -> int | None:
    """Returns the whole number in a header value, or None if it is invalid.

    Numbers above ``MAX_MILLISECONDS`` are lowered to it.
    """
    if text is None or not _MILLISECONDS_PATTERN.fullmatch(text):
        return None
    return min(int(text), MAX_MILLISECONDS)


def parse_content_length(text: str | None) -> int:
    """Returns the length of a body; zero if it is missing or no number."""
    if text is None or not _LENGTH_PATTERN.fullmatch(text):
        return 0
    return int(text)


def single_length(text: str) -> str | None:
    """Returns the length in a ``Content-Length`` value, or None if malformed.

    Repetitions of one length are allowed (RFC 9110, section 8.6).
    """
    length, *others = {part.strip(' \t') for part in text.split(',')}
    if others or not _LENGTH_PATTERN.fullmatch(length):
        return None
    return length


def parse_limit(text: str | None) -> StatedLimit:
    """Returns what a header value says about the limit of an upstream.

    The value is a decimal number of requests per second. Without the header
    there is no limit.
    """
    if text is None:
        return NO_LIMIT
    if _LIMIT_PATTERN.fullmatch(text) is None:
        return new_unreadable_limit(text)
    return new_stated_limit(float(text))


def parse_pause(text: str | None) -> AvailabilityNotice:
    """Returns the pause in a header value, ``NO_NOTICE`` without one.

    The value is a decimal number of seconds; of several, the greatest counts. A
    date (RFC 9110, section 10.2.3) is unreadable: clocks of instances may jump.
    """
    if text is None:
        return NO_NOTICE
    parts = [part.strip() for part in text.split(',')]
    if not all(_LIMIT_PATTERN.fullmatch(part) for part in parts):
        return AvailabilityNotice(unreadable_text=text)
    seconds = min(max(map(float, parts)), MAX_PAUSE_SECONDS)
    return AvailabilityNotice(pause_seconds=seconds)


def _remove_headers(
    headers: Iterable[tuple[str, str]], removed: frozenset[str]
) -> Headers:
    pairs = tuple(headers)
    connection_options = _connection_options(pairs)
    return tuple(
        (name, text)
        for name, text in pairs
        if name.lower() not in removed
        and name.lower() not in connection_options
    )


def _connection_options(pairs: Headers) -> frozenset[str]:
    """Returns the header names that the ``Connection`` headers list."""
    return frozenset(
        part.strip().lower()
        for name, text in pairs
        if name.lower() == 'connection'
        for part in text.split(',')
    )
