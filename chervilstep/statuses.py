"""The status codes that an answer may have (RFC 9110, section 15)."""

from typing import Final

MIN_STATUS: Final = 100
MAX_STATUS: Final = 599


def status_fault(status: int) -> str | None:
    """Returns what is wrong with the status code of an answer, or None."""
    if MIN_STATUS <= status <= MAX_STATUS:
        return None
    return f'status {status:03} is not within {MIN_STATUS} to {MAX_STATUS}'
