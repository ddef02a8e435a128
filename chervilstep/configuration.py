"""The accepted sections of the operators' document."""

from collections.abc import Iterable, Mapping
from typing import final

from chervilstep.catalog import Catalog
from chervilstep.content import SectionContent
from chervilstep.revisions import Revision
from chervilstep.snapshot import Snapshot, new_empty_snapshot
from chervilstep.types import Deadline


@final
class Section:
    """One accepted revision of a section, possibly a deletion."""

    __slots__ = ('_content', '_name', '_revision', '_text')

    def __init__(
        self,
        name: str,
        revision: Revision,
        text: str | None,
        content: SectionContent | None = None,
    ) -> None:
        """Creates a section; ``text`` is TOML, or None for a deletion.

        A deleted section keeps its revision, so that an older text that
        arrives late does not restore it.
        """
        self._name = name
        self._revision = revision
        self._text = text
        self._content = content or SectionContent()

    @property
    def name(self) -> str:
        """The name of the section; each section has its own owners."""
        return self._name

    @property
    def revision(self) -> Revision:
        """The store's revision; a higher one replaces a lower one."""
        return self._revision

    @property
    def text(self) -> str | None:
        """The TOML text, or None for a deleted section."""
        return self._text

    @property
    def content(self) -> SectionContent:
        """The definitions in the text."""
        return self._content


@final
class SectionFault:
    """Why the newest text of a section was refused."""

    __slots__ = ('_message', '_revision')

    def __init__(self, revision: Revision, message: str) -> None:
        """Creates the fault of the text at ``revision``."""
        self._revision = revision
        self._message = message

    @property
    def revision(self) -> Revision:
        """The revision of the refused text."""
        return self._revision

    @property
    def message(self) -> str:
        """The faults, one per line, each with its dotted path."""
        return self._message


@final
class Configuration:
    """The highest accepted revision of each section, and their snapshot."""

    __slots__ = (
        '_catalog',
        '_conflicts',
        '_faults',
        '_has_changes',
        '_section_wait_deadline',
        '_sections',
        '_snapshot',
    )

    def __init__(self) -> None:
        """Creates a configuration without sections."""
        self._catalog = Catalog()
        self._sections: dict[str, Section] = {}
        self._faults: dict[str, SectionFault] = {}
        self._snapshot = new_empty_snapshot()
        self._conflicts: tuple[str, ...] = ()
        self._has_changes = False
        self._section_wait_deadline: Deadline | None = None

    @property
    def catalog(self) -> Catalog:
        """The configuration read from the platform's store, if one is used."""
        return self._catalog

    @property
    def sections(self) -> Mapping[str, Section]:
        """The accepted sections by name, including deleted ones."""
        return self._sections

    @property
    def faults(self) -> Mapping[str, SectionFault]:
        """The faults of sections whose newest text was refused, by name."""
        return self._faults

    @property
    def snapshot(self) -> Snapshot:
        """The configuration in force."""
        return self._snapshot

    @property
    def conflicts(self) -> tuple[str, ...]:
        """Descriptions of the conflicts between sections."""
        return self._conflicts

    @property
    def has_changes(self) -> bool:
        """Whether a section was accepted since the last snapshot."""
        return self._has_changes

    @property
    def section_wait_deadline(self) -> Deadline | None:
        """When a starting instance stops waiting for valid section texts."""
        return self._section_wait_deadline

    def start_section_wait(self, deadline: Deadline) -> None:
        """Sets the deadline of the wait; later calls have no effect."""
        if self._section_wait_deadline is None:
            self._section_wait_deadline = deadline

    def accept(self, section: Section) -> None:
        """Stores a valid section and clears a fault that it supersedes."""
        self._sections[section.name] = section
        self._has_changes = True
        fault = self._faults.get(section.name)
        if fault is not None and fault.revision <= section.revision:
            self._faults.pop(section.name)

    def record_fault(self, name: str, fault: SectionFault) -> None:
        """Records why the newest text of a section was refused."""
        self._faults[name] = fault

    def publish(
        self, snapshot: Snapshot, conflicts: Iterable[str] = ()
    ) -> None:
        """Replaces the snapshot in force and the conflicts."""
        self._snapshot = snapshot
        self._conflicts = tuple(conflicts)
        self._has_changes = False
