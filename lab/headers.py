"""Names of the headers that callers and upstream stand-ins use."""

from typing import Final

REQUEST_ID: Final = 'X-Request-Id'
NOT_RUN: Final = 'X-Not-Run'
#: The requests per second that an upstream accepts from all instances.
LIMIT: Final = 'X-Call-Limit'
DEADLINE: Final = 'Chervilstep-Deadline-Ms'
VERDICT: Final = 'Chervilstep-Verdict'
REASON: Final = 'Chervilstep-Reason'
#: Headers that carry a key and must not reach an upstream.
KEY_HEADERS: Final = ('Authorization', 'Chervilstep-Key')
