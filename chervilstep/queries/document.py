"""Parses one section of the operators' document.

Whether a section is valid depends only on its own text, so that all instances
agree regardless of their history. Conflicts between sections are resolved in
``composition``.
"""

from typing import Final

from chervilstep.content import SectionContent
from chervilstep.exceptions import SectionError
from chervilstep.queries.kinds import KINDS
from chervilstep.queries.tables import Table, parse_toml

#: The platform's size limit for one value.
MAX_SECTION_BYTES: Final = 1024 * 1024


def parse_section(text: str) -> SectionContent:
    """Parses a section.

    Raises:
        SectionError: The section has faults. The message lists all of them,
            one per line, each with its dotted path.
    """
    faults: list[str] = []
    content = SectionContent()
    if len(text.encode()) > MAX_SECTION_BYTES:
        raise SectionError(
            f'the section is larger than {MAX_SECTION_BYTES} bytes'
        )
    root = Table(parse_toml(text, faults), '', faults)
    root.allow_only(KINDS.names)
    for kind in KINDS.names:
        KINDS.find(kind)(root.table(kind), content)
    if faults:
        raise SectionError('\n'.join(faults))
    return content
