"""The accepted sections of the operators' document."""

from collections.abc import Mapping
from typing import final

from chervilstep.snapshot import Snapshot, new_empty_snapshot
from chervilstep.types import Deadline


@final
class Section:
    """One accepted section: its text at one revision."""

    __slots__ = ('_name', '_revision', '_text')

    def __init__(self, name: str, revision: int, text: str) -> None:
        """Creates a section; ``text`` is TOML."""
        self._name = name
        self._revision = revision
        self._text = text

    @property
    def name(self) -> str:
        """The name of the section, which its owners edit alone."""
        return self._name

    @property
    def revision(self) -> int:
        """The platform's revision; a higher one replaces a lower one."""
        return self._revision

    @property
    def text(self) -> str:
        """The TOML text."""
        return self._text


@final
class Configuration:
    """The highest accepted revision of each section, and their snapshot."""

    __slots__ = ('_confirmed_until', '_faults', '_sections', '_snapshot')

    def __init__(self) -> None:
        """Starts with no section."""
        self._sections: dict[str, Section] = {}
        self._faults: dict[str, str] = {}
        self._snapshot = new_empty_snapshot()
        self._confirmed_until: Deadline | None = None

    @property
    def sections(self) -> Mapping[str, Section]:
        """The accepted sections by name."""
        return self._sections

    @property
    def faults(self) -> Mapping[str, str]:
        """Why the newest text of a section was not accepted, by name."""
        return self._faults

    @property
    def snapshot(self) -> Snapshot:
        """What the accepted sections say together."""
        return self._snapshot

    @property
    def confirmed_until(self) -> Deadline | None:
        """Until when the configuration counts as current; None before."""
        return self._confirmed_until

    def accept(self, section: Section) -> None:
        """Puts a section in force; the caller has checked it."""
        self._sections[section.name] = section
        self._faults.pop(section.name, None)

    def refuse(self, name: str, fault: str) -> None:
        """Notes why the newest text of a section is not accepted."""
        self._faults[name] = fault

    def publish(self, snapshot: Snapshot) -> None:
        """Replaces the snapshot."""
        self._snapshot = snapshot

    def confirm(self, until: Deadline) -> None:
        """Extends the time for which the configuration is current."""
        self._confirmed_until = until
