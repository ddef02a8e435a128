"""The registry of subcommands."""

from collections.abc import Callable
from typing import Final, TypeAlias

from chervilstep.registry import Registry, new_registry

#: Parameters become command-line arguments; the result is the exit code.
Subcommand: TypeAlias = Callable[..., int]

SUBCOMMANDS: Final[Registry[Subcommand]] = new_registry('subcommand')
