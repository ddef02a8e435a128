"""Reads of the store stand-in, with its faults taken into account."""

from lab.store import KeyValue, Store


def visible_revision(store: Store) -> int:
    """Returns the newest revision that reads return; a fault may freeze it."""
    frozen_revision = store.faults.frozen_revision
    if frozen_revision is None:
        return store.newest_revision
    return min(frozen_revision, store.newest_revision)


def visible_values(
    store: Store, prefix: str, after: str = ''
) -> tuple[KeyValue, ...]:
    """Returns the values under a prefix that are not deleted, in key order.

    ``after`` is the last key of the previous page.
    """
    existing = [
        value
        for value in changed_values(store, prefix, 0)
        if value.text is not None and value.key > after
    ]
    return tuple(sorted(existing, key=_value_key))


def changed_values(
    store: Store, prefix: str, after: int
) -> tuple[KeyValue, ...]:
    """Returns the last change of each key changed after a revision."""
    newest: dict[str, KeyValue] = {}
    for value in store.changes:
        is_visible = after < value.revision <= visible_revision(store)
        if is_visible and value.key.startswith(prefix):
            newest[value.key] = value
    return tuple(newest.values())


def _value_key(value: KeyValue) -> str:
    return value.key
