"""The faults of the soak, each of which ends after a random time."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

from chervilstep.registry import Registry, new_registry
from lab import documents
from lab.commands.platform_faults import PLATFORM_FAULTS
from lab.links import LINK_FAULTS, clear_faults
from lab.testbed import Testbed
from lab.topology import EntryEndpoint

#: Injects a random fault into a testbed. The seconds bound its duration, which
#: is at least MIN_FAULT_SECONDS.
SoakFault: TypeAlias = Callable[
    [Testbed, random.Random, float], Awaitable[None]
]
#: The soak does not play these, so that its kept seeds draw the same faults.
UNPLAYED_STORE_FAULTS: Final = frozenset(
    ('recover', 'stale', 'restore', 'forgetful')
)
SOAK_FAULTS: Final[Registry[SoakFault]] = new_registry('soak fault')

MIN_FAULT_SECONDS: Final = 0.2
MAX_FAULT_SECONDS: Final = 4.0
#: The limits that upstreams state, in requests per second, and for how long at
#: least.
LIMITS: Final = (0, 0.2, 0.5, 2)
LIMIT_SECONDS: Final = 6.0


@SOAK_FAULTS.register('store-link')
async def inject_store_link_fault(
    testbed: Testbed, rng: random.Random, max_seconds: float
) -> None:
    """Injects a fault into the link of one instance to the store."""
    entry = rng.choice(testbed.entries)
    fault = rng.choice(LINK_FAULTS.names)
    testbed.log_event(f'{fault} between {entry.name} and the store')
    link = testbed.store_links[entry.name]
    LINK_FAULTS.find(fault)(link)
    await _sleep_fault_duration(rng, max_seconds)
    clear_faults(link)
    testbed.log_event(f'path of {entry.name} to the store mended')


@SOAK_FAULTS.register('upstream-link')
async def inject_upstream_link_fault(
    testbed: Testbed, rng: random.Random, max_seconds: float
) -> None:
    """Injects a fault into the link to one upstream."""
    name = rng.choice(sorted(testbed.upstream_links))
    fault = rng.choice(LINK_FAULTS.names)
    testbed.log_event(f'{fault} before {name}')
    link = testbed.upstream_links[name]
    LINK_FAULTS.find(fault)(link)
    await _sleep_fault_duration(rng, max_seconds)
    clear_faults(link)
    testbed.log_event(f'path to {name} mended')


@SOAK_FAULTS.register('store')
async def inject_store_fault(
    testbed: Testbed, rng: random.Random, max_seconds: float
) -> None:
    """Makes the store hang, refuse, ignore watches or discard its history."""
    names = sorted({*PLATFORM_FAULTS.names} - UNPLAYED_STORE_FAULTS)
    fault = rng.choice(names)
    testbed.log_event(f'store: {fault}')
    await testbed.deployment.inject_platform_fault(fault)
    await _sleep_fault_duration(rng, max_seconds)
    await testbed.deployment.inject_platform_fault('recover')
    testbed.log_event('store: recover')


@SOAK_FAULTS.register('upstream')
async def inject_upstream_fault(
    testbed: Testbed, rng: random.Random, max_seconds: float
) -> None:
    """Makes one upstream crash, fail, slow down, hang or turn cold."""
    name = rng.choice(sorted(testbed.upstream_links))
    fault = rng.choice(('crash', 'fail-fast', 'straggle', 'cold', 'silence'))
    testbed.log_event(f'{name}: {fault}')
    await testbed.deployment.inject_fault((name,), fault)
    await _sleep_fault_duration(rng, max_seconds)
    await testbed.deployment.inject_fault((name,), 'recover')


async def state_limit(
    testbed: Testbed, rng: random.Random, max_seconds: float
) -> None:
    """Makes half of the upstreams state a limit, longer than faults last."""
    names = sorted(testbed.upstream_links)
    limited = tuple(rng.sample(names, len(names) // 2))
    limit = rng.choice(LIMITS)
    testbed.log_event(f'{", ".join(limited)} state a limit of {limit}')
    await testbed.deployment.inject_fault(limited, 'limit', str(limit))
    await asyncio.sleep(min(max_seconds, rng.uniform(1, 2) * LIMIT_SECONDS))
    await testbed.deployment.inject_fault(limited, 'limit')
    testbed.log_event('no upstream states a limit')


@SOAK_FAULTS.register('pause')
async def pause_entry(
    testbed: Testbed, rng: random.Random, max_seconds: float
) -> None:
    """Suspends one process by SIGSTOP and resumes it."""
    entry = _pick_running_entry(testbed, rng)
    if entry is None:
        return
    testbed.log_event(f'{entry.name} paused')
    testbed.deployment.processes.send_signal(entry.name, signal.SIGSTOP)
    await _sleep_fault_duration(rng, max_seconds)
    testbed.deployment.processes.send_signal(entry.name, signal.SIGCONT)
    testbed.log_event(f'{entry.name} woken')


@SOAK_FAULTS.register('restart')
async def restart_entry(
    testbed: Testbed, rng: random.Random, max_seconds: float
) -> None:
    """Stops one process by SIGKILL or SIGTERM and starts it again."""
    entry = _pick_running_entry(testbed, rng)
    if entry is None:
        return
    sent_signal = rng.choice((signal.SIGKILL, signal.SIGTERM))
    testbed.log_event(f'{entry.name} gets {sent_signal.name}')
    await testbed.stop_entry(entry, sent_signal)
    testbed.start_entry(entry)
    testbed.log_event(f'{entry.name} started')


@SOAK_FAULTS.register('zone')
async def withdraw_zone(
    testbed: Testbed, rng: random.Random, max_seconds: float
) -> None:
    """Withdraws an availability zone and restores it."""
    zone = rng.choice(testbed.deployment.topology.plan.zones)
    valid = testbed.section_texts[documents.ZONES]
    withdrawn = documents.with_zone(valid, zone, 'withdrawn')
    testbed.log_event(f'{zone} withdrawn')
    await testbed.deployment.put_items(
        documents.section_values({documents.ZONES: withdrawn})
    )
    await _sleep_fault_duration(rng, max_seconds)
    await testbed.deployment.put_items(
        documents.section_values({documents.ZONES: valid})
    )
    testbed.log_event(f'{zone} restored')


@SOAK_FAULTS.register('broken-section')
async def invalidate_section(
    testbed: Testbed, rng: random.Random, max_seconds: float
) -> None:
    """Publishes an invalid text of a section, then the valid one."""
    section = rng.choice(sorted(testbed.section_texts))
    testbed.log_event(f'section {section} broken')
    await testbed.deployment.put_items(
        documents.section_values({section: 'broken ='})
    )
    await _sleep_fault_duration(rng, max_seconds)
    valid = {section: testbed.section_texts[section]}
    await testbed.deployment.put_items(documents.section_values(valid))
    testbed.log_event(f'section {section} mended')


def _pick_running_entry(
    testbed: Testbed, rng: random.Random
) -> EntryEndpoint | None:
    """Returns a random running instance, or None unless several run."""
    running = [entry for entry in testbed.entries if testbed.is_running(entry)]
    return rng.choice(running) if len(running) > 1 else None


async def _sleep_fault_duration(rng: random.Random, max_seconds: float) -> None:
    longest = max(MIN_FAULT_SECONDS, min(MAX_FAULT_SECONDS, max_seconds))
    await asyncio.sleep(rng.uniform(MIN_FAULT_SECONDS, longest))
