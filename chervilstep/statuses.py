"""The status codes that an answer may have (RFC 9110, section 15)."""

from typing import Final

MIN_STATUS: Final = 100
MAX_STATUS: Final = 599
#: Lower ones are interim: another answer follows.
MIN_FINAL_STATUS: Final = 200

#: What follows is of another protocol. Requests never ask for that: the
#: ``Upgrade`` header is not forwarded.
_SWITCHING_PROTOCOLS: Final = 101


def status_fault(status: int) -> str | None:
    """Returns what is wrong with the status code of an answer, or None."""
    if not MIN_STATUS <= status <= MAX_STATUS:
        return f'status {status:03} is not within {MIN_STATUS} to {MAX_STATUS}'
    if status == _SWITCHING_PROTOCOLS:
        return f'status {status} without a request to switch protocols'
    return None
