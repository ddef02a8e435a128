"""What the platform stand-in shows to its readers."""

from lab.store import Store, Value


def shown_revision(store: Store) -> int:
    """The revision that readers see, which is old while it is frozen."""
    if store.frozen_at is None:
        return store.newest_revision
    return min(store.frozen_at, store.newest_revision)


def shown_values(store: Store, prefix: str) -> tuple[Value, ...]:
    """Every value under the prefix that is not deleted."""
    return tuple(
        value
        for value in changed_values(store, prefix, 0)
        if value.text is not None
    )


def changed_values(store: Store, prefix: str, after: int) -> tuple[Value, ...]:
    """The last change of each value that changed after a revision."""
    newest: dict[str, Value] = {}
    for value in store.changes[after : shown_revision(store)]:
        if value.name.startswith(prefix):
            newest[value.name] = value
    return tuple(newest.values())
