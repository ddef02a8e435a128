"""A deployment whose connections run through links, and what is done to it."""

import signal
import time
from collections.abc import Iterable, Mapping
from typing import Final, final

from chervilstep.snapshot import Route
from lab.deployment import Deployment
from lab.links import Link, mend
from lab.topology import EntryEndpoint

#: Longer than a planned stop takes: it outlasts callers, then finishes.
END_SECONDS: Final = 45


@final
class Site:
    """Entry processes, the links to the store and the upstreams, a story."""

    __slots__ = (
        '_deployment',
        '_ended',
        '_started_at',
        '_store_links',
        '_story',
        '_texts',
        '_upstream_links',
    )

    def __init__(
        self,
        deployment: Deployment,
        store_links: Mapping[str, Link],
        upstream_links: Mapping[str, Link],
    ) -> None:
        """Creates a site; the links stand by the names of their users."""
        self._deployment = deployment
        self._store_links = dict(store_links)
        self._upstream_links = dict(upstream_links)
        self._story: list[str] = []
        self._texts: dict[str, str] = {}
        self._started_at = time.monotonic()
        self._ended: set[str] = set()

    @property
    def deployment(self) -> Deployment:
        """What runs."""
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
        """The routes."""
        return self._deployment.topology.plan.snapshot.routes

    @property
    def store_links(self) -> Mapping[str, Link]:
        """The link of each instance to the store."""
        return self._store_links

    @property
    def upstream_links(self) -> Mapping[str, Link]:
        """The link to each upstream."""
        return self._upstream_links

    @property
    def texts(self) -> Mapping[str, str]:
        """The sections in force."""
        return self._texts

    @property
    def story(self) -> tuple[str, ...]:
        """What was done, and when."""
        return tuple(self._story)

    def note(self, text: str) -> None:
        """Adds to the story."""
        seconds = time.monotonic() - self._started_at
        self._story.append(f'{seconds:.2f} s {text}')

    def linked(self, texts: Mapping[str, str]) -> dict[str, str]:
        """The sections with the links in place of the upstreams."""
        joined = dict(texts)
        for place in self._deployment.topology.upstreams:
            link = self._upstream_links[place.name]
            for section, text in joined.items():
                joined[section] = text.replace(
                    f'"127.0.0.1:{place.port}"', f'"127.0.0.1:{link.port}"'
                )
        self._texts = joined
        return joined

    async def open(self) -> None:
        """Opens the links."""
        for link in self._links():
            await link.open()
        self._started_at = time.monotonic()

    async def close(self) -> None:
        """Closes the links."""
        for link in self._links():
            await link.close()

    async def start_entries(self) -> None:
        """Starts every instance, and waits for all of them."""
        for place in self.entries:
            self.start_entry(place)
        await self._deployment.wait_for_entries()

    def start_entry(self, place: EntryEndpoint) -> None:
        """Starts one instance, which reads the store through its link."""
        self._ended.discard(place.name)
        port = self._store_links[place.name].port
        self._deployment.start_entry(place, port)

    async def end_entry(
        self, place: EntryEndpoint, number: signal.Signals
    ) -> None:
        """Ends one instance by a signal, and waits until it is gone."""
        self._ended.add(place.name)
        self._deployment.processes.send_signal(place.name, signal.SIGCONT)
        self._deployment.processes.send_signal(place.name, number)
        await self._deployment.processes.wait_for_exit(place.name, END_SECONDS)

    def is_up(self, place: EntryEndpoint) -> bool:
        """Whether no fault ends this instance at the moment."""
        return place.name not in self._ended

    async def heal(self) -> None:
        """Ends every fault of links, the store and upstreams."""
        for link in self._links():
            mend(link)
        for place in self.entries:
            self._deployment.processes.send_signal(place.name, signal.SIGCONT)
        await self._deployment.inject_platform_fault('recover')
        names = tuple(self._upstream_links)
        await self._deployment.inject_fault(names, 'recover')
        self.note('healed')

    def findings(self) -> list[str]:
        """The processes that ended by themselves."""
        running = self._deployment.processes.ids
        return [
            f'{place.name} ended by itself'
            for place in self.entries
            if place.name not in running
        ]

    def _links(self) -> Iterable[Link]:
        return (*self._store_links.values(), *self._upstream_links.values())


def new_site(deployment: Deployment, ports: Iterable[int]) -> Site:
    """Plans the links of a deployment on free ports."""
    left = iter(ports)
    topology = deployment.topology
    return Site(
        deployment,
        {
            place.name: Link(next(left), topology.platform_port)
            for place in deployment.entries
        },
        {
            place.name: Link(next(left), place.port)
            for place in topology.upstreams
        },
    )
