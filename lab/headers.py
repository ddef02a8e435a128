"""Names of the headers that callers and upstream stand-ins look at."""

from typing import Final

REQUEST_ID: Final = 'X-Request-Id'
NOT_RUN: Final = 'X-Not-Run'
DEADLINE: Final = 'Chervilstep-Deadline-Ms'
VERDICT: Final = 'Chervilstep-Verdict'
REASON: Final = 'Chervilstep-Reason'
#: Headers that carry a key and must never reach an upstream.
KEYS: Final = ('Authorization', 'Chervilstep-Key')
