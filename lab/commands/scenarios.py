"""Fault scenarios by name; each injects its faults into a running turn."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

from chervilstep.registry import Registry, new_registry
from lab import documents
from lab.queries.demands import POISON
from lab.topology import EntryEndpoint
from lab.turns import RunningTurn

Scenario: TypeAlias = Callable[[RunningTurn], Awaitable[None]]
SCENARIOS: Final[Registry[Scenario]] = new_registry('scenario')

#: The fractions of a turn at which faults begin and end.
BEGIN_FRACTION: Final = 0.3
END_FRACTION: Final = 0.7
PAUSE_SECONDS: Final = 4
STOP_TIMEOUT_SECONDS: Final = 20
AFFECTED_UPSTREAMS: Final = 2


@SCENARIOS.register('none')
async def run_without_fault(turn: RunningTurn) -> None:
    """Injects no fault."""


@SCENARIOS.register('straggler')
async def slow_down_upstreams(turn: RunningTurn) -> None:
    """Slows two upstreams of each service down tenfold for a while."""
    await _inject_temporarily(
        turn, _upstreams_per_service(turn, AFFECTED_UPSTREAMS), 'straggle'
    )


@SCENARIOS.register('fail-fast')
async def fail_requests_fast(turn: RunningTurn) -> None:
    """Makes one upstream of each service answer 500 at once for a while."""
    await _inject_temporarily(
        turn, _upstreams_per_service(turn, 1), 'fail-fast'
    )


@SCENARIOS.register('drain')
async def drain_upstreams(turn: RunningTurn) -> None:
    """Makes one upstream of each service shed new requests for a while."""
    await _inject_temporarily(turn, _upstreams_per_service(turn, 1), 'drain')


@SCENARIOS.register('cold')
async def turn_upstreams_cold(turn: RunningTurn) -> None:
    """Turns two warm upstreams of each service cold without notice."""
    await _inject_fault(
        turn, _upstreams_per_service(turn, AFFECTED_UPSTREAMS), 'cold'
    )


@SCENARIOS.register('cold-restart')
async def crash_upstreams(turn: RunningTurn) -> None:
    """Crashes one upstream of each service, which restarts cold."""
    await _inject_fault(turn, _upstreams_per_service(turn, 1), 'crash')


@SCENARIOS.register('silence')
async def silence_connections(turn: RunningTurn) -> None:
    """Makes the open connections of two upstreams per service unresponsive."""
    await _inject_fault(
        turn, _upstreams_per_service(turn, AFFECTED_UPSTREAMS), 'silence'
    )


@SCENARIOS.register('zone')
async def withdraw_zone(turn: RunningTurn) -> None:
    """Withdraws a zone and restores it with all its upstreams cold."""
    zone = turn.deployment.topology.plan.zones[1]
    text = turn.section_texts[documents.ZONES]
    await turn.wait_until(BEGIN_FRACTION)
    turn.add_mark(f'zone {zone} withdrawn')
    await turn.put_section(
        documents.ZONES, documents.with_zone(text, zone, 'withdrawn')
    )
    await turn.wait_until(END_FRACTION)
    await turn.deployment.inject_fault(zone_upstreams(turn, zone), 'cold')
    turn.add_mark(f'zone {zone} returned')
    await turn.put_section(documents.ZONES, text)


@SCENARIOS.register('revoke')
async def revoke_keys(turn: RunningTurn) -> None:
    """Revokes the keys of the customer with the highest rate."""
    customers = turn.deployment.topology.plan.snapshot.customers
    name = max(customers, key=lambda customer: customers[customer].rate)
    text = turn.section_texts[documents.CUSTOMERS]
    await turn.wait_until(BEGIN_FRACTION)
    turn.add_mark(f'keys of {name} revoked')
    await turn.put_section(
        documents.CUSTOMERS, documents.without_keys(text, name)
    )


@SCENARIOS.register('platform-refuses')
async def refuse_platform_calls(turn: RunningTurn) -> None:
    """Makes the platform refuse connections for a while."""
    await _inject_platform_fault(turn, 'refuse')


@SCENARIOS.register('platform-hangs')
async def hang_platform(turn: RunningTurn) -> None:
    """Makes the platform accept calls without answering for a while."""
    await _inject_platform_fault(turn, 'hang')


@SCENARIOS.register('platform-stale')
async def serve_stale_state(turn: RunningTurn) -> None:
    """Makes the platform serve its state without the document for a while."""
    await turn.wait_until(BEGIN_FRACTION)
    turn.add_mark('platform stale')
    await turn.deployment.inject_platform_fault('stale', '1')
    await turn.wait_until(END_FRACTION)
    turn.add_mark('platform well')
    await turn.deployment.inject_platform_fault('recover')


@SCENARIOS.register('kill')
async def kill_entries(turn: RunningTurn) -> None:
    """Kills two entry instances and replaces them later."""
    entries = _affected_entries(turn)
    await turn.wait_until(BEGIN_FRACTION)
    turn.add_mark('two instances killed')
    for entry in entries:
        turn.deployment.processes.send_signal(entry.name, signal.SIGKILL)
    await turn.wait_until(END_FRACTION)
    turn.add_mark('two instances replaced')
    for entry in entries:
        await turn.deployment.replace_entry(entry)


@SCENARIOS.register('pause')
async def pause_entries(turn: RunningTurn) -> None:
    """Pauses two entry instances by SIGSTOP for some seconds."""
    entries = _affected_entries(turn)
    await turn.wait_until(BEGIN_FRACTION)
    turn.add_mark('two instances paused')
    for entry in entries:
        turn.deployment.processes.send_signal(entry.name, signal.SIGSTOP)
    await asyncio.sleep(PAUSE_SECONDS)
    turn.add_mark('two instances woken')
    for entry in entries:
        turn.deployment.processes.send_signal(entry.name, signal.SIGCONT)


@SCENARIOS.register('planned-stop')
async def stop_entries(turn: RunningTurn) -> None:
    """Stops two entry instances by SIGTERM and replaces them."""
    entries = _affected_entries(turn)
    await turn.wait_until(BEGIN_FRACTION)
    turn.add_mark('two instances stopped')
    for entry in entries:
        turn.deployment.processes.send_signal(entry.name, signal.SIGTERM)
    for entry in entries:
        await turn.deployment.processes.wait_for_exit(
            entry.name, STOP_TIMEOUT_SECONDS
        )
    turn.add_mark('both have ended')
    for entry in entries:
        await turn.deployment.replace_entry(entry)
    turn.add_mark('both replaced')


@SCENARIOS.register('surge')
async def mark_surge(turn: RunningTurn) -> None:
    """Marks the surge, whose requests lab/queries/demands.py adds."""
    await turn.wait_until(BEGIN_FRACTION)
    turn.add_mark('surge begins')
    await turn.wait_until(END_FRACTION)
    turn.add_mark('surge ends')


@SCENARIOS.register(POISON)
async def arm_poison(turn: RunningTurn) -> None:
    """Makes every upstream crash on the poison request."""
    names = tuple(
        upstream.name for upstream in turn.deployment.topology.upstreams
    )
    await turn.deployment.inject_fault(names, 'crash-on', POISON)


def zone_upstreams(turn: RunningTurn, zone: str) -> tuple[str, ...]:
    """Returns the names of the upstreams of one zone."""
    return tuple(
        upstream.name
        for upstream in turn.deployment.topology.upstreams
        if upstream.zone == zone
    )


async def _inject_temporarily(
    turn: RunningTurn, names: tuple[str, ...], fault: str
) -> None:
    await _inject_fault(turn, names, fault)
    await turn.wait_until(END_FRACTION)
    turn.add_mark('recover')
    await turn.deployment.inject_fault(names, 'recover')


async def _inject_fault(
    turn: RunningTurn, names: tuple[str, ...], fault: str
) -> None:
    await turn.wait_until(BEGIN_FRACTION)
    turn.add_mark(fault)
    await turn.deployment.inject_fault(names, fault)


async def _inject_platform_fault(turn: RunningTurn, fault: str) -> None:
    await turn.wait_until(BEGIN_FRACTION)
    turn.add_mark(f'platform: {fault}')
    await turn.deployment.inject_platform_fault(fault)
    await turn.wait_until(END_FRACTION)
    turn.add_mark('platform well')
    await turn.deployment.inject_platform_fault('recover')


def _upstreams_per_service(turn: RunningTurn, count: int) -> tuple[str, ...]:
    topology = turn.deployment.topology
    return tuple(
        upstream.name
        for service in topology.plan.snapshot.services
        for upstream in topology.service_upstreams(service)[:count]
    )


def _affected_entries(turn: RunningTurn) -> tuple[EntryEndpoint, ...]:
    return turn.deployment.entries[1:3]
