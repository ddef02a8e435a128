"""Builders of fleets of real processes whose store is away or restored."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal

from lab.processes import Processes, free_ports
from tests.crowd_builders import (
    BOOT_FILE,
    TIMEOUT_SECONDS,
    Program,
    SoundUpstream,
    a_free_host,
    an_environment,
    ask,
)
from tests.platform_builders import (
    HOST,
    KEY,
    a_configuration,
    a_rule,
    a_server_entry,
    a_store,
)

#: More instances are played by hand: FLEET_SIZE=14.
INSTANCES = int(os.environ.get('FLEET_SIZE', '3'))
#: The bounds of the users' pages: an instance is up to date so long after the
#: store has returned, and a change is in force so long after it was confirmed.
CONTACT_SECONDS = 3.0
APPLY_SECONDS = 2.0
#: The store is away for a moment, less than the shortest outage that counts.
AWAY_SECONDS = 0.6
#: The reads of an instance in a second without any change: a watch, once more
#: for its end, and one listing of two pages.
READS_PER_SECOND = 4

OLD_SERVICE = 'huvo11a'
NEW_SERVICE = 'lovo22d'
OLD_PATH = '/leny950/1'
NEW_PATH = '/nova220/1'
LEAVING = 'servers/i-leaving'
STAYING = 'servers/i-staying'
NEW = 'servers/i-new'


class CountingUpstream(SoundUpstream):
    """A sound upstream that counts the requests that reach it."""

    def __init__(self):
        super().__init__()
        self.port = 0
        self.requests = 0

    async def answer(self, head):
        self.requests += not head.startswith(b'GET /health')
        return await super().answer(head)


class Outcome:
    """What callers and upstreams saw after a restore of the store."""

    def __init__(self):
        self.statuses: dict[str, list[int | None]] = {}
        #: Requests that upstreams got after the changes had to be in force.
        self.late_requests: dict[str, int] = {}
        #: The reads of all instances in the second after the store's return.
        self.reads = 0


class Fleet:
    """Instances of the deployed program, their store and their upstreams."""

    def __init__(self, store, programs, upstreams, processes, folder):
        self._processes = processes
        self._folder = folder
        self.store = store
        self.programs = programs
        self.upstreams = upstreams

    def put_configuration(self, version, *rules):
        self.store.put(
            'op/config', a_configuration_with_both_services(version, rules)
        )

    def put_server(self, key, **status):
        self.store.put(key, self.entry(key, **status))

    def entry(self, key, state='ready', sequence=4):
        service = NEW_SERVICE if key == NEW else OLD_SERVICE
        port = self.upstreams[key].port
        info = {'service': service, 'version': 'v1', 'zone': 'akl', 'slots': 3}
        status = {'state': state, 'seqNo': sequence, 'coldLeftS': 0}
        return a_server_entry(port, born=1700, info=info, status=status)

    async def restart(self, host, number):
        """Ends an instance by a signal, and starts it again."""
        self._processes.send_signal(host, number)
        await self._processes.wait_for_exit(host, TIMEOUT_SECONDS)
        start_program(self._processes, self._folder, host)

    async def ask_all(self, path, times=1):
        """Sends requests to each instance; returns the statuses."""
        return [
            await ask(program, path, body=b'')
            for program in self.programs
            for _ in range(times)
        ]

    async def wait_for_answers(self, path):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while set(await self.ask_all(path)) != {200}:
                await asyncio.sleep(0.05)

    def request_counts(self):
        return {key: each.requests for key, each in self.upstreams.items()}


@contextlib.asynccontextmanager
async def a_fleet(folder):
    """Runs instances of the deployed program over one store; yields them."""
    async with contextlib.AsyncExitStack() as stack:
        upstreams = {}
        for key in (LEAVING, STAYING, NEW):
            upstreams[key] = CountingUpstream()
            upstreams[key].port = await upstreams[key].start()
            stack.push_async_callback(upstreams[key].stop)
        store = await stack.enter_async_context(a_store())
        processes = stack.enter_context(Processes(pathlib.Path(folder)))
        programs = start_programs(processes, pathlib.Path(folder), store)
        fleet = Fleet(
            store, programs, upstreams, processes, pathlib.Path(folder)
        )
        fleet.put_configuration(5, a_rule())
        for key in (LEAVING, STAYING, NEW):
            fleet.put_server(key)
        await fleet.wait_for_answers(OLD_PATH)
        yield fleet


def start_programs(processes, folder, store):
    names = ('front', 'ready', 'control', 'directory')
    ports = dict(zip(names, free_ports(4), strict=True))
    hosts = free_hosts(INSTANCES)
    programs = []
    for host in hosts:
        addresses = {name: f'{host}:{port}' for name, port in ports.items()}
        boot = folder / f'{host}.toml'
        text = BOOT_FILE.format(
            store=store.address, memory_mb=300, descriptors=4100, **addresses
        )
        seeds = ', '.join(f'"{each}:{ports["control"]}"' for each in hosts)
        own_seed = f'seeds = ["{addresses["control"]}"]'
        boot.write_text(text.replace(own_seed, f'seeds = [{seeds}]'))
        start_program(processes, folder, host)
        programs.append(Program(processes, host, ports))
    return programs


def start_program(processes, folder, host):
    with an_environment(CHERVILSTEP_BOOT=str(folder / f'{host}.toml')):
        processes.start(host, 'chervilstep.platform')


def free_hosts(count):
    """Returns consecutive loopback addresses, the first one with free ports."""
    network = int(a_free_host().split('.')[2])
    return [f'127.0.{network}.{number + 1}' for number in range(count)]


def a_configuration_with_both_services(version, rules):
    cluster = {'healthPath': '/health', 'maxConns': 220}
    return a_configuration(
        version=version,
        tenants=[
            {
                'name': 'cuka620',
                'apiKeys': [KEY],
                'priority': 1,
                'ratePerS': 5000,
                'burst': 5000,
            }
        ],
        listeners=[{'host': HOST, 'ruleSet': list(rules)}],
        clusters=[
            {'name': name, **cluster} for name in (OLD_SERVICE, NEW_SERVICE)
        ],
    )


def a_rule_to_the_new_service():
    action = {'service': NEW_SERVICE, 'timeoutS': 0.8, 'maxAttempts': 2}
    return a_rule(action=action)


def a_new_rule():
    return a_rule(name='r-2', match={'prefix': '/nova220/'})


async def play_restore(folder, changes_while_away):
    """Restores the store from a copy, then changes it; returns what was seen.

    The store loses five versions of the configuration. Changes that it takes
    while it is away are more than it has lost, so that instances find it beyond
    the revision that they know.
    """
    async with a_fleet(folder) as fleet:
        platform = fleet.store.platform
        copied = platform.store.newest_revision
        for version in range(6, 11):
            fleet.put_configuration(version, a_rule())
        await asyncio.sleep(APPLY_SECONDS)
        await platform.stop_listening()
        fleet.store.inject_fault('restore', copied)
        fleet.put_configuration(10, a_rule())
        if changes_while_away:
            leave_and_move(fleet)
            for number in range(8):
                fleet.store.put(f'other/{number}', {})
        await asyncio.sleep(AWAY_SECONDS)
        platform.listen()
        outcome = Outcome()
        calls_before = fleet.store.read_count
        await asyncio.sleep(1)
        outcome.reads = fleet.store.read_count - calls_before
        if not changes_while_away:
            leave_and_move(fleet)
        await asyncio.sleep(CONTACT_SECONDS)
        await observe(fleet, outcome)
        return outcome


def leave_and_move(fleet):
    """Lets an upstream leave, then moves a route, and adds another one."""
    fleet.store.put(LEAVING, None)
    fleet.put_configuration(11, a_rule_to_the_new_service(), a_new_rule())


async def observe(fleet, outcome):
    counts = fleet.request_counts()
    for path in (OLD_PATH, NEW_PATH):
        outcome.statuses[path] = await fleet.ask_all(path, 4)
    outcome.late_requests = {
        key: count - counts[key]
        for key, count in fleet.request_counts().items()
    }


class Observation:
    """What callers and upstreams see during a run of random faults."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.statuses = set()
        #: The requests of an upstream that has left, after its leaving had to
        #: be in force.
        self.late_requests = 0
        self._count_at_leaving = None
        self._is_over = False

    async def keep_asking(self):
        """Asks all instances for the old route, which every version has."""
        while not self._is_over:
            self.statuses.update(await self._fleet.ask_all(OLD_PATH))
            if self._count_at_leaving is not None:
                count = self._fleet.upstreams[LEAVING].requests
                self.late_requests = count - self._count_at_leaving
            await asyncio.sleep(0.02)

    def finish(self):
        """Ends after the requests that are on their way."""
        self._is_over = True

    def expect_no_more_requests(self):
        self._count_at_leaving = self._fleet.upstreams[LEAVING].requests


async def play_random_restores(folder, seed):
    """Plays two restores in a row; returns an observation and an outcome."""
    rng = random.Random(seed)
    async with a_fleet(folder) as fleet:
        observation = Observation(fleet)
        asking = asyncio.create_task(observation.keep_asking())
        version = 5
        copied = fleet.store.platform.store.newest_revision
        for _ in range(rng.randrange(6)):
            version += rng.randint(1, 3)
            fleet.put_configuration(version, a_rule())
        fleet.put_server(STAYING, sequence=5)
        if rng.random() < 0.5:
            fleet.put_server(LEAVING, state='draining', sequence=6)
        fleet.store.put(LEAVING, None)
        await asyncio.sleep(APPLY_SECONDS + rng.uniform(0, 1))
        observation.expect_no_more_requests()
        for _ in range(2):
            await play_one_restore(fleet, rng, copied)
            copied = fleet.store.platform.store.newest_revision - rng.randrange(
                3
            )
        fleet.put_configuration(
            version + 1, a_rule_to_the_new_service(), a_new_rule()
        )
        await asyncio.sleep(CONTACT_SECONDS)
        observation.finish()
        await asking
        outcome = Outcome()
        await observe(fleet, outcome)
        return observation, outcome


async def play_one_restore(fleet, rng, copied):
    """Lets the store return from a copy; its writers write again later."""
    platform = fleet.store.platform
    lost = {
        change.key: change.text
        for change in platform.store.changes
        if change.revision > copied
    }
    await platform.stop_listening()
    fleet.store.inject_fault('restore', copied)
    await asyncio.sleep(rng.uniform(0, 2 * AWAY_SECONDS))
    is_late = rng.random() < 0.5
    if not is_late:
        write_again(fleet, rng, lost)
    platform.listen()
    await asyncio.sleep(rng.uniform(0, 2 * AWAY_SECONDS))
    if is_late:
        write_again(fleet, rng, lost)
        await asyncio.sleep(rng.uniform(0, AWAY_SECONDS))


def write_again(fleet, rng, lost):
    keys = sorted(lost)
    rng.shuffle(keys)
    for key in keys:
        fleet.store.put_text(key, lost[key])


#: Faults of the store that last until it recovers, by the lab's names.
STORE_FAULTS = ('hang', 'unavailable', 'compact', 'refuse')


async def play_random_outages(folder, seed):
    """Plays outages of the store and restarts, with changes in each of them.

    Returns the statuses of requests on a new route once each change had to be
    in force, and an observation.
    """
    rng = random.Random(seed)
    async with a_fleet(folder) as fleet:
        observation = Observation(fleet)
        asking = asyncio.create_task(observation.keep_asking())
        new_route_statuses = []
        for version in range(6, 10):
            path = f'/new{version}/'
            is_restart = rng.random() < 0.3
            play = play_restart if is_restart else play_outage
            await play(
                fleet,
                rng,
                lambda version=version, path=path: fleet.put_configuration(
                    version,
                    a_rule(),
                    a_rule(name=f'r-{version}', match={'prefix': path}),
                ),
            )
            await asyncio.sleep(CONTACT_SECONDS)
            new_route_statuses += await fleet.ask_all(f'{path}1')
        fleet.store.put(LEAVING, None)
        await asyncio.sleep(APPLY_SECONDS)
        observation.expect_no_more_requests()
        await play_outage(fleet, rng, lambda: None)
        observation.finish()
        await asking
        return new_route_statuses, observation


async def play_outage(fleet, rng, change):
    """Makes the store fail for a while, and changes something meanwhile."""
    platform = fleet.store.platform
    fault = rng.choice(STORE_FAULTS)
    if fault == 'refuse':
        await platform.stop_listening()
    else:
        fleet.store.inject_fault(fault)
    await asyncio.sleep(rng.uniform(0, 2))
    change()
    await asyncio.sleep(rng.uniform(0, 2))
    fleet.store.inject_fault('recover')
    if not platform.is_listening:
        platform.listen()


async def play_restart(fleet, rng, change):
    """Restarts an instance, and changes something meanwhile."""
    host = rng.choice(fleet.programs).host
    number = rng.choice((signal.SIGTERM, signal.SIGKILL))
    restarting = asyncio.create_task(fleet.restart(host, number))
    await asyncio.sleep(rng.uniform(0, 2))
    change()
    await restarting
