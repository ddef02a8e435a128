"""Writes a line when the verdict on a section changes."""

from typing import final

import structlog

from chervilstep.node import Node

_log = structlog.get_logger()


@final
class SectionLog:
    """Remembers which refusals were logged."""

    __slots__ = ('_node', '_refused')

    def __init__(self, node: Node) -> None:
        """Starts without any logged refusal."""
        self._node = node
        self._refused: dict[str, int] = {}

    def write(self) -> None:
        """Logs each refusal once, and its end."""
        faults = self._node.configuration.faults
        for name, fault in faults.items():
            if self._refused.get(name) != fault.revision:
                _log.warning(
                    'section_refused',
                    section=name,
                    revision=fault.revision,
                    faults=fault.message.splitlines(),
                )
        for mended in self._refused.keys() - faults.keys():
            _log.info('section_mended', section=mended)
        self._refused = {
            refused: reason.revision for refused, reason in faults.items()
        }
