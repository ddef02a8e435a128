"""Faults of the platform stand-in, by name."""

from collections.abc import Callable
from typing import Final, TypeAlias

from chervilstep.registry import Registry, new_registry
from lab.store import Store

#: Commands that bring a fault about; the text is their one argument.
PlatformFault: TypeAlias = Callable[[Store, str], None]

PLATFORM_FAULTS: Final[Registry[PlatformFault]] = new_registry('platform fault')


@PLATFORM_FAULTS.register('hang')
def hang(store: Store, argument: str) -> None:
    """Takes calls and never answers them."""
    store.hang(is_hanging=True)


@PLATFORM_FAULTS.register('stale')
def freeze(store: Store, argument: str) -> None:
    """Serves an old revision, by default the present one, from now on."""
    store.freeze(int(argument or store.newest_revision))


@PLATFORM_FAULTS.register('lag')
def lag(store: Store, argument: str) -> None:
    """Shows changes of the list of instances later, by some seconds."""
    store.lag(float(argument))


@PLATFORM_FAULTS.register('recover')
def recover(store: Store, argument: str) -> None:
    """Ends hanging and staleness."""
    store.hang(is_hanging=False)
    store.freeze(None)
