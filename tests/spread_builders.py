"""Builders of fleets that read a store, in virtual time."""

from chervilstep.commands.replica import (
    apply_items,
    apply_listing,
    record_store_answer,
    record_store_failure,
)
from chervilstep.platform.following import (
    GATHER_SECONDS,
    MAX_PAUSE_SECONDS,
    WATCH_SECONDS,
)
from chervilstep.platform.store import ANSWER_SECONDS
from chervilstep.replica import StoredItem
from chervilstep.snapshot import new_empty_snapshot
from lab.queries.values import changed_values, shown_revision
from lab.store import Store
from tests.document_builders import sections
from tests.virtual_builders import VirtualFleet

#: How finely the end of a watch is looked for.
STEP_SECONDS = 0.05
#: How long a silent path to the store goes unnoticed.
SILENT_SECONDS = WATCH_SECONDS + ANSWER_SECONDS


class SpreadFleet(VirtualFleet):
    """A fleet whose instances follow a store as the adapter does."""

    def __init__(self, size, seed=1, texts=None):
        self.store = Store()
        self.calls = 0
        self.cut_off = set()
        self.is_down = False
        self.listed = set()
        for name, text in (sections() if texts is None else texts).items():
            self.offer(name, text)
        super().__init__(size, new_empty_snapshot(), seed=seed)

    def offer(self, name, text):
        """Puts a section into the store; returns its revision."""
        self.store.put(f'sections/{name}', text)
        return self.store.newest_revision

    def start(self, name):
        if name in self.nodes:
            return
        super().start(name)
        node = self.nodes[name]
        node.replica.enable()
        self.listed.discard(node)
        self._schedule(self.rng.uniform(0, 0.3), self._begin, node)

    def accepted(self, name, section):
        found = self.nodes[name].configuration.sections.get(section)
        return found.revision if found else 0

    def holds(self, section, revision, names=None):
        """Whether instances have a section, by default all of them."""
        chosen = self.nodes if names is None else names
        return all(self.accepted(name, section) >= revision for name in chosen)

    def seconds_until(self, condition, limit):
        """Runs until a condition holds, and says how long that took."""
        started = self.now
        while not condition():
            assert self.now < started + limit, f'not within {limit} s'
            self.run(STEP_SECONDS)
        return self.now - started

    def _reaches_store(self, node):
        return not self.is_down and node.settings.name not in self.cut_off

    def _begin(self, node):
        if self._is_running(node) and not self._postpone_if_paused(
            node, self._begin, node
        ):
            self.calls += 1
            self._watch(node, self.now)

    def _watch(self, node, since):
        if not self._is_running(node):
            return
        if self._postpone_if_paused(node, self._watch, node, since):
            return
        if not self._reaches_store(node):
            self._fail(node, since)
        elif node not in self.listed:
            self.listed.add(node)
            record_store_answer(node, self.now)
            as_of = shown_revision(self.store)
            apply_listing(node, self._items(0), as_of, self.now)
            self._schedule(0, self._begin, node)
        else:
            self._look(node, since)
        self._flush(node)

    def _look(self, node, since):
        items = self._items(node.replica.as_of)
        wait = (
            0 if node.replica.unavailable_since is not None else WATCH_SECONDS
        )
        if not items and self.now < since + wait:
            self._schedule(STEP_SECONDS, self._watch, node, since)
            return
        record_store_answer(node, self.now)
        apply_items(node, items, shown_revision(self.store), self.now)
        self._schedule(GATHER_SECONDS if items else 0, self._begin, node)

    def _fail(self, node, since):
        """A path to the store is silent; nothing tells before the end."""
        if self.now < since + SILENT_SECONDS:
            self._schedule(STEP_SECONDS, self._watch, node, since)
            return
        record_store_failure(node, 'silent', self.now)
        self._schedule(MAX_PAUSE_SECONDS, self._begin, node)

    def _items(self, after):
        return [
            StoredItem(
                value.name,
                value.revision,
                None if value.text is None else value.text.encode(),
            )
            for value in changed_values(self.store, '', after)
        ]
