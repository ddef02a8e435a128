"""Parsing of one section of the operators' document.

The verdict on a section is a function of its own text alone, so that every
instance reaches the same one whatever it saw before. What depends on several
sections is resolved in ``composition``.
"""

from typing import Final

from chervilstep.content import SectionContent
from chervilstep.exceptions import SectionError
from chervilstep.queries.kinds import KINDS
from chervilstep.queries.tables import Table, parse_toml

#: The platform's limit for one value.
MAX_SECTION_BYTES: Final = 1024 * 1024


def parse_section(text: str) -> SectionContent:
    """Parses a section.

    Raises:
        SectionError: The section has faults; the message lists all of them,
            one a line, each with its place.
    """
    faults: list[str] = []
    content = SectionContent()
    if len(text.encode()) > MAX_SECTION_BYTES:
        raise SectionError(f'larger than {MAX_SECTION_BYTES} bytes')
    root = Table(parse_toml(text, faults), '', faults)
    root.allow(KINDS.names)
    for kind in KINDS.names:
        KINDS.find(kind)(root.table(kind), content)
    if faults:
        raise SectionError('\n'.join(faults))
    return content
