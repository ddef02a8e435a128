"""Hedges that are cancelled before they start are counted for ever."""

import asyncio
import collections
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'stand-2'))

import standins

#: Runs take so long; a request is hedged after 0.45 of an aim of 0.1 s.
WORK_SECONDS = (0.039, 0.0465)
AIM_SECONDS = 0.1
LOAD_SECONDS = 55
#: At most 2 of them are emptied and taken away.
SERVERS = 10
CALLERS = 24
GAP_SECONDS = 0.15
STEADY_SECONDS = 20
FIRST_RULES = (
    standins.rule('r-a', '/a/', 'safe', 'svc-a', AIM_SECONDS),
    standins.rule('r-b', '/b/', 'safe', 'svc-b', 1.0),
)
LATER_RULE = standins.rule('r-c', '/c/', 'safe', 'svc-a', AIM_SECONDS)


class Tally:
    """The answers of one phase, by prefix and status."""

    def __init__(self):
        """Creates an empty tally."""
        self.counts = collections.Counter()

    def share_served(self, *prefixes):
        """Returns the number of requests and the share that was served."""
        total = sum(
            count
            for (prefix, _), count in self.counts.items()
            if prefix in prefixes
        )
        served = sum(self.counts[prefix, 200] for prefix in prefixes)
        return total, served / total if total else 0


async def call_often(machine, prefixes, gap, tally, until):
    """Sends requests on a kept connection, one after the other."""
    while time.monotonic() < until:
        try:
            reader, writer = await standins.connect(machine.front)
            while time.monotonic() < until:
                prefix = random.choice(prefixes)
                writer.write(standins.encode(f'{prefix}x'))
                status, headers, _ = await standins.read_answer(reader)
                tally.counts[prefix, status] += 1
                if headers.get('connection') == 'close':
                    break
                await asyncio.sleep(random.expovariate(1 / gap))
            writer.close()
        except standins.CLOSED:
            tally.counts['closed', 0] += 1


async def run_phase(deployment, seconds, callers, prefixes, gap):
    """Sends requests from kept connections to all machines."""
    tally = Tally()
    until = time.monotonic() + seconds
    await asyncio.gather(
        *(
            call_often(
                deployment.machines[number % len(deployment.machines)],
                prefixes,
                gap,
                tally,
                until,
            )
            for number in range(callers)
        )
    )
    return tally


async def busiest_server(deployment, machine, record):
    """Returns the server to which a machine sends its requests now."""
    before = {
        server: len(server.runs)
        for server in deployment.servers
        if server.service == 'svc-a'
    }
    for _ in range(20):
        await standins.ask(machine.front, standins.encode('/a/x'), 2)
    runs = {
        server: len(server.runs) - count for server, count in before.items()
    }
    record.write(
        f'{machine.name} sends svc-a to '
        + str({each.identity: count for each, count in runs.items()})
    )
    return max(runs, key=runs.get)


async def in_flight(machine):
    """Returns what the machine says it has in flight at svc-a."""
    answer = await standins.ask(
        machine.metrics, b'GET /metrics HTTP/1.1\r\nHost: machine\r\n\r\n', 2
    )
    lines = answer[2].decode().splitlines() if answer else ()
    found = (
        line.rpartition(' ')[2]
        for line in lines
        if 'requests_in_flight{' in line and 'service="svc-a"' in line
    )
    return next(found, 'unknown')


async def case(folder, record):
    """Loads a service, empties the servers in use, and counts what is served."""
    deployment = standins.Deployment(folder, 2, SERVERS, WORK_SECONDS)
    try:
        return await play(deployment, record)
    finally:
        await deployment.stop()


async def play(deployment, record):
    """Plays the case and returns whether the rule held."""
    await deployment.start(standins.config(7, FIRST_RULES))
    deployment.store.put(
        'op/config', standins.config(8, [*FIRST_RULES, LATER_RULE])
    )
    await asyncio.sleep(2)
    loaded = await run_phase(
        deployment, LOAD_SECONDS, CALLERS, ('/a/', '/c/'), GAP_SECONDS
    )
    record.write(f'load: {dict(loaded.counts)}')
    await asyncio.sleep(2)
    for machine in deployment.machines:
        record.write(
            f'idle {machine.name}: {await in_flight(machine)} in flight'
        )
    in_use = {
        await busiest_server(deployment, machine, record)
        for machine in deployment.machines
    }
    if standins.has_trouble():
        names = sorted(server.identity for server in in_use)
        record.write(f'{names} drain and leave')
        await asyncio.gather(*(server.leave() for server in in_use))
    await asyncio.sleep(standins.BOUNDS['configApplyS'] + 1)
    before = len(deployment.runs_of('svc-a'))
    steady = await run_phase(
        deployment, STEADY_SECONDS, 8, ('/a/', '/b/', '/c/'), 0.5
    )
    record.write(f'steady: {dict(steady.counts)}')
    record.write(f'runs: {len(deployment.runs_of("svc-a")) - before} of svc-a')
    left = [
        server.identity
        for server in deployment.servers
        if server.service == 'svc-a'
        and not (standins.has_trouble() and server in in_use)
    ]
    record.write(f'servers of svc-a that are ready and idle: {left}')
    later, later_share = steady.share_served('/c/')
    _, first_share = steady.share_served('/a/', '/b/')
    record.write(
        f'{later} requests on the later route, {later_share:.3f} served;'
        f' {first_share:.3f} on the first routes'
    )
    return later < 20 or later_share >= first_share / 4


standins.run_case(case, __file__)
