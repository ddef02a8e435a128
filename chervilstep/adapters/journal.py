"""Sets up the log: one JSON line for each change of state."""

import logging
import sys

import structlog


def configure_logs() -> None:
    """Writes structured lines to the standard error stream."""
    # The libraries' own lines are counted or answered, not logged.
    logging.getLogger('tornado').setLevel(logging.CRITICAL)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
        cache_logger_on_first_use=True,
    )
