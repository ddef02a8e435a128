"""A running turn, as fault scenarios use it."""

import asyncio
import time
from collections.abc import Mapping
from typing import final

from chervilstep.types import Instant
from lab.deployment import Deployment
from lab.documents import section_values


@final
class Mark:
    """An event of a turn, such as the injection of a fault."""

    __slots__ = ('_marked_at', '_text')

    def __init__(self, marked_at: float, text: str) -> None:
        """Creates a mark; ``marked_at`` counts from the start of the turn."""
        self._marked_at = marked_at
        self._text = text

    @property
    def marked_at(self) -> float:
        """The time of the event, in seconds after the start of the turn."""
        return self._marked_at

    @property
    def text(self) -> str:
        """The description of the event."""
        return self._text


@final
class RunningTurn:
    """The deployment, document, clock and marks of one turn."""

    __slots__ = (
        '_deployment',
        '_marks',
        '_seconds',
        '_section_texts',
        '_start_at',
    )

    def __init__(
        self,
        deployment: Deployment,
        section_texts: Mapping[str, str],
        start_at: Instant,
        seconds: float,
    ) -> None:
        """Creates a turn with the section texts in force."""
        self._deployment = deployment
        self._section_texts = dict(section_texts)
        self._start_at = start_at
        self._seconds = seconds
        self._marks: list[Mark] = []

    @property
    def deployment(self) -> Deployment:
        """The deployment on which the turn runs."""
        return self._deployment

    @property
    def section_texts(self) -> Mapping[str, str]:
        """The section texts in force by name."""
        return self._section_texts

    @property
    def marks(self) -> tuple[Mark, ...]:
        """The marks so far, in order of time."""
        return tuple(self._marks)

    async def wait_until(self, fraction: float) -> None:
        """Waits until a fraction of the turn, between 0 and 1, has passed."""
        due = self._start_at + fraction * self._seconds
        await asyncio.sleep(max(0, due - time.monotonic()))

    def add_mark(self, text: str) -> None:
        """Adds a mark at the current time."""
        self._marks.append(Mark(time.monotonic() - self._start_at, text))

    async def put_section(self, section: str, text: str) -> None:
        """Writes a section to the store, as its owners do."""
        self._section_texts[section] = text
        await self._deployment.put_items(section_values({section: text}))
