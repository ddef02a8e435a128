"""A deployment whose instances reach store and upstreams through links."""

import signal
import time
from collections.abc import Iterable, Mapping
from typing import Final, final

from chervilstep.snapshot import Route
from lab.deployment import Deployment
from lab.links import Link, clear_faults
from lab.topology import EntryEndpoint

#: Longer than a planned stop, which has a lame-duck period and a drain.
STOP_TIMEOUT_SECONDS: Final = 45


@final
class Testbed:
    """Entry processes, their links to store and upstreams, and an event log."""

    __slots__ = (
        '_deployment',
        '_stopped',
        '_started_at',
        '_store_links',
        '_event_log',
        '_section_texts',
        '_upstream_links',
    )

    def __init__(
        self,
        deployment: Deployment,
        store_links: Mapping[str, Link],
        upstream_links: Mapping[str, Link],
    ) -> None:
        """Creates a testbed.

        Store links are by the name of the instance, upstream links by the name
        of the upstream.
        """
        self._deployment = deployment
        self._store_links = dict(store_links)
        self._upstream_links = dict(upstream_links)
        self._event_log: list[str] = []
        self._section_texts: dict[str, str] = {}
        self._started_at = time.monotonic()
        self._stopped: set[str] = set()

    @property
    def deployment(self) -> Deployment:
        """The deployment behind the links."""
        return self._deployment

    @property
    def entries(self) -> tuple[EntryEndpoint, ...]:
        """The entry instances."""
        return self._deployment.entries

    @property
    def customers(self) -> tuple[str, ...]:
        """The names of the customers."""
        return tuple(self._deployment.topology.plan.snapshot.customers)

    @property
    def routes(self) -> tuple[Route, ...]:
        """The routes of the plan."""
        return self._deployment.topology.plan.snapshot.routes

    @property
    def store_links(self) -> Mapping[str, Link]:
        """The link to the store of each instance, by the instance's name."""
        return self._store_links

    @property
    def upstream_links(self) -> Mapping[str, Link]:
        """The link to each upstream, by the upstream's name."""
        return self._upstream_links

    @property
    def section_texts(self) -> Mapping[str, str]:
        """The texts of the sections as first published."""
        return self._section_texts

    @property
    def event_log(self) -> tuple[str, ...]:
        """The injected faults and their ends, with times."""
        return tuple(self._event_log)

    def log_event(self, text: str) -> None:
        """Adds an event to the log, with the time since the start."""
        seconds = time.monotonic() - self._started_at
        self._event_log.append(f'{seconds:.2f} s {text}')

    def route_through_links(self, texts: Mapping[str, str]) -> dict[str, str]:
        """Returns the texts with the ports of links instead of upstreams.

        The result is also kept in ``section_texts``.
        """
        linked_texts = dict(texts)
        for upstream in self._deployment.topology.upstreams:
            link = self._upstream_links[upstream.name]
            for section, text in linked_texts.items():
                linked_texts[section] = text.replace(
                    f'"127.0.0.1:{upstream.port}"', f'"127.0.0.1:{link.port}"'
                )
        self._section_texts = linked_texts
        return linked_texts

    async def open_links(self) -> None:
        """Opens all links and restarts the clock of the event log."""
        for link in self._all_links():
            await link.open()
        self._started_at = time.monotonic()

    async def close_links(self) -> None:
        """Closes all links."""
        for link in self._all_links():
            await link.close()

    async def start_entries(self) -> None:
        """Starts every instance and waits until all of them answer."""
        for entry in self.entries:
            self.start_entry(entry)
        await self._deployment.wait_for_entries()

    def start_entry(self, entry: EntryEndpoint) -> None:
        """Starts one instance, which reads the store through its link."""
        self._stopped.discard(entry.name)
        port = self._store_links[entry.name].port
        self._deployment.start_entry(entry, port)

    async def stop_entry(
        self, entry: EntryEndpoint, sent_signal: signal.Signals
    ) -> None:
        """Stops one instance by a signal and waits until the process exits."""
        self._stopped.add(entry.name)
        self._deployment.processes.send_signal(entry.name, signal.SIGCONT)
        self._deployment.processes.send_signal(entry.name, sent_signal)
        await self._deployment.processes.wait_for_exit(
            entry.name, STOP_TIMEOUT_SECONDS
        )

    def is_running(self, entry: EntryEndpoint) -> bool:
        """Whether no fault keeps this instance stopped; it may be suspended."""
        return entry.name not in self._stopped

    async def end_faults(self) -> None:
        """Ends every fault of links, instances, the store and upstreams."""
        for link in self._all_links():
            clear_faults(link)
        for entry in self.entries:
            self._deployment.processes.send_signal(entry.name, signal.SIGCONT)
        await self._deployment.inject_platform_fault('recover')
        names = tuple(self._upstream_links)
        await self._deployment.inject_fault(names, 'recover')
        self.log_event('healed')

    def unexpected_exits(self) -> list[str]:
        """Returns a text for each instance that exited by itself."""
        running = self._deployment.processes.ids
        return [
            f'{entry.name} exited unexpectedly'
            for entry in self.entries
            if entry.name not in running
        ]

    def _all_links(self) -> Iterable[Link]:
        return (*self._store_links.values(), *self._upstream_links.values())


def new_testbed(deployment: Deployment, ports: Iterable[int]) -> Testbed:
    """Creates a testbed with links on the given free ports."""
    free_ports = iter(ports)
    topology = deployment.topology
    return Testbed(
        deployment,
        {
            entry.name: Link(next(free_ports), topology.platform_port)
            for entry in deployment.entries
        },
        {
            upstream.name: Link(next(free_ports), upstream.port)
            for upstream in topology.upstreams
        },
    )
