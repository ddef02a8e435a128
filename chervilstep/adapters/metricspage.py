"""The metrics page, whose libraries are imported when the page is created.

This saves their memory in an instance that is never scraped.
"""

import importlib
from collections.abc import Callable
from typing import final

from chervilstep.node import Node
from chervilstep.types import Instant


@final
class MetricsPage:
    """The metrics of a node in the Prometheus text format."""

    __slots__ = ('_content_type', '_read')

    def __init__(self, content_type: str, read: Callable[[], bytes]) -> None:
        """Creates a page that calls ``read`` for its text."""
        self._content_type = content_type
        self._read = read

    @property
    def content_type(self) -> str:
        """The media type of the text."""
        return self._content_type

    def exposition(self) -> bytes:
        """Returns the current metrics."""
        return self._read()


def new_metrics_page(node: Node, clock: Callable[[], Instant]) -> MetricsPage:
    """Imports the metrics libraries and creates the page of a node."""
    module = importlib.import_module('chervilstep.adapters.metrics')
    metrics = module.new_metrics(node, clock)
    return MetricsPage(module.CONTENT_TYPE, metrics.exposition)
