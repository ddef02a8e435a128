"""Compares the revisions of sections of the operators' document."""

from chervilstep.configuration import Configuration
from chervilstep.revisions import Revision
from chervilstep.types import Instant


def is_newer(
    configuration: Configuration, name: str, revision: Revision
) -> bool:
    """Whether ``revision`` of a section is newer than the accepted one.

    A refused revision does not count: it would be refused again.
    """
    fault = configuration.faults.get(name)
    if fault is not None and revision == fault.revision:
        return False
    section = configuration.sections.get(name)
    return section is None or revision > section.revision


def missing_sections(configuration: Configuration) -> tuple[str, ...]:
    """Returns the sections for which only an invalid text is known."""
    return tuple(
        name
        for name in configuration.faults
        if name not in configuration.sections
    )


def is_awaiting_sections(configuration: Configuration, now: Instant) -> bool:
    """Whether a starting instance waits for peers' texts of sections.

    Without the section of the customers, for example, it would refuse valid
    keys.
    """
    deadline = configuration.section_wait_deadline
    if deadline is None or deadline.has_passed(now):
        return False
    is_starting = not configuration.snapshot.routes
    return is_starting and bool(missing_sections(configuration))
