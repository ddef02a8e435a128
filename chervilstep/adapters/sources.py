"""Creates the configuration source of an instance."""

from chervilstep.adapters import files
from chervilstep.adapters.source import SOURCES, Source
from chervilstep.node import Node

__all__ = ('SOURCES', 'Source', 'files', 'new_source')


def new_source(node: Node) -> Source:
    """Creates the source that is set in the settings of ``node``.

    Raises:
        UnknownName: No source is registered for the scheme of the URL.
    """
    url = node.settings.configuration_source
    return SOURCES.find(url.partition(':')[0])(node, url)
