"""The faults of the soak: each brings one about, lets it last, and ends it."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

from chervilstep.registry import Registry, new_registry
from lab import documents
from lab.commands.platform_faults import PLATFORM_FAULTS
from lab.links import LINK_FAULTS, mend
from lab.sites import Site
from lab.topology import EntryEndpoint

#: Harms a site by the draws of ``rng``, for at most so many seconds.
SoakFault: TypeAlias = Callable[[Site, random.Random, float], Awaitable[None]]
SOAK_FAULTS: Final[Registry[SoakFault]] = new_registry('soak fault')

#: How long faults last.
SHORTEST_SECONDS: Final = 0.2
LONGEST_SECONDS: Final = 4.0


@SOAK_FAULTS.register('store-link')
async def harm_store_link(site: Site, rng: random.Random, left: float) -> None:
    """Harms the path of one instance to the store."""
    place = rng.choice(site.entries)
    fault = rng.choice(LINK_FAULTS.names)
    site.note(f'{fault} between {place.name} and the store')
    link = site.store_links[place.name]
    LINK_FAULTS.find(fault)(link)
    await _last(rng, left)
    mend(link)
    site.note(f'path of {place.name} to the store mended')


@SOAK_FAULTS.register('upstream-link')
async def harm_upstream_link(
    site: Site, rng: random.Random, left: float
) -> None:
    """Harms the path to one upstream."""
    name = rng.choice(sorted(site.upstream_links))
    fault = rng.choice(LINK_FAULTS.names)
    site.note(f'{fault} before {name}')
    link = site.upstream_links[name]
    LINK_FAULTS.find(fault)(link)
    await _last(rng, left)
    mend(link)
    site.note(f'path to {name} mended')


@SOAK_FAULTS.register('store')
async def harm_store(site: Site, rng: random.Random, left: float) -> None:
    """Lets the store hang, refuse, hear nothing or forget its history."""
    names = sorted({*PLATFORM_FAULTS.names} - {'recover', 'stale'})
    fault = rng.choice(names)
    site.note(f'store: {fault}')
    await site.deployment.inject_platform_fault(fault)
    await _last(rng, left)
    await site.deployment.inject_platform_fault('recover')
    site.note('store: recover')


@SOAK_FAULTS.register('upstream')
async def harm_upstream(site: Site, rng: random.Random, left: float) -> None:
    """Lets one upstream crash, fail, straggle or turn cold."""
    name = rng.choice(sorted(site.upstream_links))
    fault = rng.choice(('crash', 'fail-fast', 'straggle', 'cold', 'silence'))
    site.note(f'{name}: {fault}')
    await site.deployment.inject_fault((name,), fault)
    await _last(rng, left)
    await site.deployment.inject_fault((name,), 'recover')


@SOAK_FAULTS.register('pause')
async def pause_entry(site: Site, rng: random.Random, left: float) -> None:
    """Stops one process in its tracks, and lets it go on."""
    place = _one_that_is_up(site, rng)
    if place is None:
        return
    site.note(f'{place.name} paused')
    site.deployment.processes.send_signal(place.name, signal.SIGSTOP)
    await _last(rng, left)
    site.deployment.processes.send_signal(place.name, signal.SIGCONT)
    site.note(f'{place.name} woken')


@SOAK_FAULTS.register('restart')
async def restart_entry(site: Site, rng: random.Random, left: float) -> None:
    """Kills one process, or stops it as planned, and starts it again."""
    place = _one_that_is_up(site, rng)
    if place is None:
        return
    number = rng.choice((signal.SIGKILL, signal.SIGTERM))
    site.note(f'{place.name} gets {number.name}')
    await site.end_entry(place, number)
    site.start_entry(place)
    site.note(f'{place.name} started')


@SOAK_FAULTS.register('zone')
async def withdraw_zone(site: Site, rng: random.Random, left: float) -> None:
    """Takes a zone out of service and puts it back."""
    zone = rng.choice(site.deployment.topology.plan.zones)
    whole = site.texts[documents.ZONES]
    withdrawn = documents.with_zone(whole, zone, 'withdrawn')
    site.note(f'{zone} withdrawn')
    await site.deployment.put_items(
        documents.section_values({documents.ZONES: withdrawn})
    )
    await _last(rng, left)
    await site.deployment.put_items(
        documents.section_values({documents.ZONES: whole})
    )
    site.note(f'{zone} restored')


@SOAK_FAULTS.register('broken-section')
async def break_section(site: Site, rng: random.Random, left: float) -> None:
    """Puts a broken text in a section, and mends it."""
    section = rng.choice(sorted(site.texts))
    site.note(f'section {section} broken')
    await site.deployment.put_items(
        documents.section_values({section: 'broken ='})
    )
    await _last(rng, left)
    whole = {section: site.texts[section]}
    await site.deployment.put_items(documents.section_values(whole))
    site.note(f'section {section} mended')


def _one_that_is_up(site: Site, rng: random.Random) -> EntryEndpoint | None:
    """One of several instances that no other fault ends meanwhile."""
    up = [place for place in site.entries if site.is_up(place)]
    return rng.choice(up) if len(up) > 1 else None


async def _last(rng: random.Random, left: float) -> None:
    longest = max(SHORTEST_SECONDS, min(LONGEST_SECONDS, left))
    await asyncio.sleep(rng.uniform(SHORTEST_SECONDS, longest))
