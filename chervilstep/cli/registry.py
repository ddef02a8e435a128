"""The registry of subcommands."""

from collections.abc import Callable
from typing import Final, TypeAlias

from chervilstep.registry import Registry, new_registry

#: A subcommand takes typed arguments and returns the exit code.
Subcommand: TypeAlias = Callable[..., int]

SUBCOMMANDS: Final[Registry[Subcommand]] = new_registry('subcommand')
