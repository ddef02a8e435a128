"""The deadlines of a planned stop."""

from typing import final

from chervilstep.types import Deadline


@final
class Shutdown:
    """Until when a stopping instance accepts connections and answers."""

    __slots__ = ('_accepts_until', '_answers_until')

    def __init__(self) -> None:
        """Creates the state of an instance that is not stopping."""
        self._accepts_until: Deadline | None = None
        self._answers_until: Deadline | None = None

    @property
    def accepts_until(self) -> Deadline | None:
        """When listening ends; None without a planned stop."""
        return self._accepts_until

    @property
    def answers_until(self) -> Deadline | None:
        """The end of the stop, after which no answer leaves; None without."""
        return self._answers_until

    def begin(self, accepts_until: Deadline, answers_until: Deadline) -> None:
        """Records that a planned stop has begun."""
        self._accepts_until = accepts_until
        self._answers_until = answers_until
