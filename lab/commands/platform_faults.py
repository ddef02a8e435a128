"""Commands that inject a fault into the store stand-in."""

from collections.abc import Callable
from typing import Final, TypeAlias

from chervilstep.registry import Registry, new_registry
from lab.store import Store, StoreFaults

#: Takes the store and the argument of the fault, which may be empty.
PlatformFault: TypeAlias = Callable[[Store, str], None]

PLATFORM_FAULTS: Final[Registry[PlatformFault]] = new_registry('platform fault')
_DEFAULT_REFUSAL_STATUS: Final = 503


@PLATFORM_FAULTS.register('hang')
def hang(store: Store, argument: str) -> None:
    """Accepts calls and never answers them."""
    store.set_faults(StoreFaults(is_hanging=True))


@PLATFORM_FAULTS.register('stale')
def serve_old_revision(store: Store, argument: str) -> None:
    """Serves no changes after a revision, by default the newest one."""
    revision = int(argument or store.newest_revision)
    store.set_faults(StoreFaults(frozen_revision=revision))


@PLATFORM_FAULTS.register('unavailable')
def refuse_calls(store: Store, argument: str) -> None:
    """Refuses every call, by default with status 503."""
    store.set_faults(
        StoreFaults(refusal_status=int(argument or _DEFAULT_REFUSAL_STATUS))
    )


@PLATFORM_FAULTS.register('deaf')
def omit_changes(store: Store, argument: str) -> None:
    """Makes watches omit all changes."""
    store.set_faults(StoreFaults(omits_changes=True))


@PLATFORM_FAULTS.register('compact')
def compact_history(store: Store, argument: str) -> None:
    """Discards the history; watches of older revisions get status 410."""
    store.compact()


@PLATFORM_FAULTS.register('forgetful')
def refuse_watches(store: Store, argument: str) -> None:
    """Answers every watch as one of a discarded revision."""
    store.set_faults(StoreFaults(is_forgetful=True))


@PLATFORM_FAULTS.register('restore')
def restore_copy(store: Store, argument: str) -> None:
    """Loses all changes after a revision, and starts a new epoch."""
    store.restore(int(argument))


@PLATFORM_FAULTS.register('recover')
def recover(store: Store, argument: str) -> None:
    """Clears every fault."""
    store.set_faults(StoreFaults())
