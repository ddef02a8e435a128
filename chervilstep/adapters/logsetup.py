"""Configures logging: one JSON line for each event."""

import logging
import sys

import structlog


def configure_logging() -> None:
    """Configures structlog to write JSON lines to standard output."""
    # Errors that Tornado would log are counted or reported to the caller.
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
