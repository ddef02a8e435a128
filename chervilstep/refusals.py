"""The reasons for which a request is refused, as constants."""

from typing import Final, final

from chervilstep.types import Verdict


@final
class Refusal:
    """A reason for refusing a request, with its HTTP status and verdict.

    Refusals are compared by identity: each reason is one constant of this
    module.
    """

    __slots__ = ('_message', '_reason', '_status', '_verdict')

    def __init__(
        self,
        reason: str,
        status: int,
        verdict: Verdict,
        message: str,
    ) -> None:
        """Creates a refusal with the name ``reason``."""
        self._reason = reason
        self._status = status
        self._verdict = verdict
        self._message = message

    def __repr__(self) -> str:
        """Returns the reason in angle brackets."""
        return f'<Refusal {self._reason}>'

    @property
    def reason(self) -> str:
        """The name of the reason in replies and metrics."""
        return self._reason

    @property
    def status(self) -> int:
        """The HTTP status of the reply."""
        return self._status

    @property
    def verdict(self) -> Verdict:
        """Whether the refused request may have run."""
        return self._verdict

    @property
    def message(self) -> str:
        """A sentence that describes the reason, for human readers."""
        return self._message


#: Every refusal by its reason, in the order of definition.
REFUSALS: Final[dict[str, Refusal]] = {}


def new_refusal(
    reason: str,
    status: int,
    message: str,
    verdict: Verdict = Verdict.NOT_RUN,
) -> Refusal:
    """Creates a refusal and adds it to ``REFUSALS``."""
    refusal = Refusal(reason, status, verdict, message)
    REFUSALS[reason] = refusal
    return refusal


UNKNOWN_ROUTE: Final = new_refusal(
    'unknown-route', 404, 'No route matches the path.'
)
METHOD_NOT_ALLOWED: Final = new_refusal(
    'method-not-allowed', 405, 'The route does not take this method.'
)
MISSING_KEY: Final = new_refusal(
    'missing-key', 401, 'The route needs a key and the request has none.'
)
UNKNOWN_KEY: Final = new_refusal(
    'unknown-key', 401, 'The key is not known or was revoked.'
)
KEY_IN_QUERY: Final = new_refusal(
    'key-in-query', 400, 'A key must be sent in its header, not in the URL.'
)
FORBIDDEN_ROUTE: Final = new_refusal(
    'forbidden-route', 403, 'The customer may not use this route.'
)
NOT_READY: Final = new_refusal(
    'not-ready', 503, 'This instance has no configuration yet.'
)
RATE_EXCEEDED: Final = new_refusal(
    'rate-exceeded', 429, "The customer's rate and burst are used up."
)
QUEUE_FULL: Final = new_refusal(
    'queue-full', 503, 'Too many requests wait for this service.'
)
QUEUE_TOO_LONG: Final = new_refusal(
    'queue-too-long',
    503,
    'The request would wait until after its deadline.',
)
QUEUE_TIMEOUT: Final = new_refusal(
    'queue-timeout', 503, 'No upstream was free before the deadline.'
)
NO_UPSTREAM: Final = new_refusal(
    'no-upstream', 503, 'The service has no usable upstream.'
)
UPSTREAMS_LIMITED: Final = new_refusal(
    'upstreams-limited',
    503,
    'All upstreams limit their requests, and none is left in time.',
)
UPSTREAMS_PAUSED: Final = new_refusal(
    'upstreams-paused',
    503,
    'All upstreams pause until it is too late for the request.',
)
QUARANTINED: Final = new_refusal(
    'quarantined', 503, 'Requests like this one crashed several upstreams.'
)
DEADLINE_PASSED: Final = new_refusal(
    'deadline-passed', 504, 'The deadline passed before the request was sent.'
)
UPSTREAM_SHED: Final = new_refusal(
    'upstream-shed', 503, 'Every upstream that was tried shed the request.'
)
UPSTREAM_MOVED: Final = new_refusal(
    'upstream-moved', 503, 'Another upstream has the address that was tried.'
)
UPSTREAM_UNREACHABLE: Final = new_refusal(
    'upstream-unreachable', 502, 'No upstream could be connected to.'
)
UPSTREAM_LOST: Final = new_refusal(
    'upstream-lost',
    502,
    'The connection to the upstream was lost after the request was sent.',
    Verdict.MAY_HAVE_RUN,
)
UPSTREAM_TIMEOUT: Final = new_refusal(
    'upstream-timeout',
    504,
    'The upstream did not answer before the deadline.',
    Verdict.MAY_HAVE_RUN,
)
ANSWER_TOO_LARGE: Final = new_refusal(
    'answer-too-large',
    502,
    'The answer of the upstream is larger than the limit.',
    Verdict.RAN,
)
BAD_ANSWER: Final = new_refusal(
    'bad-answer',
    502,
    'The upstream sent something that is not a whole HTTP answer.',
    Verdict.MAY_HAVE_RUN,
)
BODY_TOO_LARGE: Final = new_refusal(
    'body-too-large', 413, 'The body of the request is larger than the limit.'
)
HEADERS_TOO_LARGE: Final = new_refusal(
    'headers-too-large', 431, 'The head of the request exceeds the limit.'
)
BAD_REQUEST: Final = new_refusal(
    'bad-request', 400, 'The request is not a well-formed HTTP request.'
)
MEMORY_FULL: Final = new_refusal(
    'memory-full', 503, 'This instance has no room for the body now.'
)
LEAVING: Final = new_refusal(
    'leaving', 503, 'This instance is stopping; use another address.'
)
INTERNAL_ERROR: Final = new_refusal(
    'internal-error',
    500,
    'An internal error occurred.',
    Verdict.MAY_HAVE_RUN,
)
