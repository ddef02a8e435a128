"""One turn under way, as a scenario of faults sees it."""

import asyncio
import time
from collections.abc import Mapping
from typing import final

from chervilstep.types import Instant
from lab.deployment import Deployment
from lab.documents import section_values


@final
class Mark:
    """Something that was done at a point of a turn."""

    __slots__ = ('_at', '_text')

    def __init__(self, at: float, text: str) -> None:
        """Creates a mark ``at`` seconds after the start of the turn."""
        self._at = at
        self._text = text

    @property
    def at(self) -> float:
        """Seconds after the start of the turn."""
        return self._at

    @property
    def text(self) -> str:
        """What was done."""
        return self._text


@final
class Stage:
    """The deployment, its document and the clock of one turn."""

    __slots__ = ('_deployment', '_marks', '_seconds', '_start_at', '_texts')

    def __init__(
        self,
        deployment: Deployment,
        texts: Mapping[str, str],
        start_at: Instant,
        seconds: float,
    ) -> None:
        """Creates a stage; ``texts`` are the sections in force."""
        self._deployment = deployment
        self._texts = dict(texts)
        self._start_at = start_at
        self._seconds = seconds
        self._marks: list[Mark] = []

    @property
    def deployment(self) -> Deployment:
        """What runs."""
        return self._deployment

    @property
    def texts(self) -> Mapping[str, str]:
        """The sections in force."""
        return self._texts

    @property
    def marks(self) -> tuple[Mark, ...]:
        """What was done, in order."""
        return tuple(self._marks)

    async def at(self, part: float) -> None:
        """Waits for a part of the turn, between 0 and 1."""
        due = self._start_at + part * self._seconds
        await asyncio.sleep(max(0, due - time.monotonic()))

    def mark(self, text: str) -> None:
        """Notes what is done now."""
        self._marks.append(Mark(time.monotonic() - self._start_at, text))

    async def edit(self, section: str, text: str) -> None:
        """Puts a section in force, as its team would."""
        self._texts[section] = text
        await self._deployment.put(section_values({section: text}))
