"""A fleet that reads its configuration from a store, in virtual time."""

from chervilstep.commands.replica import (
    apply_items,
    apply_listing,
    record_store_answer,
    record_store_failure,
)
from chervilstep.platform.source import (
    COALESCE_SECONDS,
    MAX_BACKOFF_DOUBLINGS,
    MIN_BACKOFF_SECONDS,
    OUTAGE_TIMEOUT_SECONDS,
    WATCH_ANSWER_SECONDS,
    WATCH_WAIT_SECONDS,
)
from chervilstep.replica import StoredItem
from chervilstep.revisions import Revision
from chervilstep.snapshot import new_empty_snapshot
from lab.queries.values import changed_values, visible_revision
from lab.store import Store
from tests.document_builders import section_texts
from tests.virtual_builders import VirtualFleet

#: The resolution of watches and conditions in virtual time.
POLL_PERIOD_SECONDS = 0.05
#: The time after which an unresponsive store is detected.
STORE_TIMEOUT_SECONDS = WATCH_WAIT_SECONDS + WATCH_ANSWER_SECONDS
BACKOFF_SECONDS = MIN_BACKOFF_SECONDS * 2**MAX_BACKOFF_DOUBLINGS


class SpreadFleet(VirtualFleet):
    """A fleet whose instances read a store in the same way as the adapter."""

    def __init__(self, size, seed=1, texts=None):
        self.store = Store()
        self.store_calls = 0
        self.cut_off = set()
        self.is_down = False
        self.listed_nodes = set()
        for name, text in (section_texts() if texts is None else texts).items():
            self.put_section(name, text)
        super().__init__(size, new_empty_snapshot(), seed=seed)

    def put_section(self, name, text):
        """Writes a section to the store; returns its revision."""
        self.store.put(f'sections/{name}', text)
        return self.store.newest_revision

    def start(self, name):
        if name in self.nodes:
            return
        super().start(name)
        node = self.nodes[name]
        node.replica.enable()
        self.listed_nodes.discard(node)
        self._schedule(self.rng.uniform(0, 0.3), self._start_watch, node)

    def accepted_revision(self, name, section):
        accepted = self.nodes[name].configuration.sections.get(section)
        return accepted.revision.number if accepted else 0

    def have_section(self, section, revision, names=None):
        """Whether instances, by default all, have accepted a section."""
        chosen = self.nodes if names is None else names
        return all(
            self.accepted_revision(name, section) >= revision for name in chosen
        )

    def seconds_until(self, condition, limit):
        """Runs until a condition holds; returns the virtual seconds."""
        started = self.now
        while not condition():
            assert self.now < started + limit, f'not within {limit} s'
            self.run(POLL_PERIOD_SECONDS)
        return self.now - started

    def _reaches_store(self, node):
        return not self.is_down and node.settings.name not in self.cut_off

    def _start_watch(self, node):
        if self._is_running(node) and not self._postpone_if_paused(
            node, self._start_watch, node
        ):
            self.store_calls += 1
            self._watch(node, self.now)

    def _watch(self, node, since):
        if not self._is_running(node):
            return
        if self._postpone_if_paused(node, self._watch, node, since):
            return
        if not self._reaches_store(node):
            self._wait_for_timeout(node, since)
        elif node not in self.listed_nodes:
            self.listed_nodes.add(node)
            record_store_answer(node, self.now)
            as_of = self._as_of()
            apply_listing(node, self._items_after(0), as_of, self.now)
            self._schedule(0, self._start_watch, node)
        else:
            self._read_changes(node, since)
        self._flush(node)

    def _read_changes(self, node, since):
        items = self._items_after(node.replica.as_of.number)
        wait = (
            0
            if node.replica.unavailable_since is not None
            else WATCH_WAIT_SECONDS
        )
        if not items and self.now < since + wait:
            self._schedule(POLL_PERIOD_SECONDS, self._watch, node, since)
            return
        record_store_answer(node, self.now)
        apply_items(node, items, self._as_of(), self.now)
        self._schedule(
            COALESCE_SECONDS if items else 0, self._start_watch, node
        )

    def _wait_for_timeout(self, node, since):
        """Models an unresponsive store, detected only by the timeout."""
        timeout = (
            STORE_TIMEOUT_SECONDS
            if node.replica.unavailable_since is None
            else OUTAGE_TIMEOUT_SECONDS
        )
        if self.now < since + timeout:
            self._schedule(POLL_PERIOD_SECONDS, self._watch, node, since)
            return
        record_store_failure(node, 'silent', since, self.now)
        next_at = max(self.now, since + BACKOFF_SECONDS)
        self._schedule(next_at - self.now, self._start_watch, node)

    def _as_of(self):
        return Revision(visible_revision(self.store))

    def _items_after(self, after):
        return [
            StoredItem(
                value.key,
                Revision(value.revision),
                None if value.text is None else value.text.encode(),
            )
            for value in changed_values(self.store, '', after)
        ]
