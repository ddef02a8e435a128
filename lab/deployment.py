"""Starts and controls a deployment: stand-ins and entry processes."""

import asyncio
import json
import pathlib
import tomllib
from collections.abc import Mapping
from typing import Any, Final, final

from lab.client import Client, NoAnswer, NotSent, send_control_request
from lab.documents import RateLimit, new_document, section_values
from lab.plans import Plan
from lab.processes import Processes, free_ports
from lab.topology import EntryEndpoint, Topology, new_topology, port_count

#: The time within which a started process must answer.
START_TIMEOUT_SECONDS: Final = 30
#: The number of seeds in the settings of an instance, as on the platform.
SEED_COUNT: Final = 3
_POLL_SECONDS: Final = 0.1
_LOCATOR_PATH: Final = '/chervilstep/addresses'


@final
class Deployment:
    """The processes of a deployment and the control of its stand-ins."""

    __slots__ = ('_entries', '_folder', '_processes', '_topology')

    def __init__(
        self, topology: Topology, processes: Processes, folder: pathlib.Path
    ) -> None:
        """Creates a deployment; settings and logs go to ``folder``."""
        self._topology = topology
        self._processes = processes
        self._folder = folder
        self._entries = list(topology.entries)

    @property
    def entries(self) -> tuple[EntryEndpoint, ...]:
        """The current entry instances, including replacements."""
        return tuple(self._entries)

    @property
    def topology(self) -> Topology:
        """The endpoints of all processes."""
        return self._topology

    @property
    def processes(self) -> Processes:
        """The processes of the stand-ins and entry instances."""
        return self._processes

    async def start_stand_ins(
        self, mean_seconds: float, cold_seconds: float, seed: int
    ) -> None:
        """Starts the platform and upstream stand-ins and waits for each of them.

        Raises:
            TimeoutError: A stand-in doesn't answer within the timeout.
        """
        topology = self._topology
        self._processes.start(
            'platform',
            'lab',
            'platform',
            str(topology.platform_port),
            topology.platform_control_address.partition(':')[2],
        )
        for host in topology.control_ports:
            spec = self._folder / f'{host}.json'
            spec.write_text(
                json.dumps(
                    _upstream_spec(
                        topology, host, mean_seconds, cold_seconds, seed
                    )
                )
            )
            self._processes.start(host, 'lab', 'upstream', str(spec))
        await _wait_for(topology.platform_control_address, '/control/calls')
        for port in topology.control_ports.values():
            await _wait_for(f'127.0.0.1:{port}', '/control/counts')

    async def start_entries(self) -> None:
        """Starts every entry instance and waits until all of them answer."""
        for entry in self._topology.entries:
            self.start_entry(entry)
        await self.wait_for_entries()

    async def wait_for_entries(self) -> None:
        """Waits until every entry instance answers.

        Raises:
            TimeoutError: An instance doesn't answer within the timeout.
        """
        for entry in self._topology.entries:
            await _wait_for(entry.address, _LOCATOR_PATH)

    def start_entry(
        self, entry: EntryEndpoint, store_port: int | None = None
    ) -> None:
        """Starts one entry instance.

        ``store_port`` replaces the port of the store, for example by that of a
        link to the store.
        """
        settings = self._folder / f'{entry.name}.toml'
        port = store_port or self._topology.platform_port
        text = _settings_text(entry, self._topology, port)
        tomllib.loads(text)
        settings.write_text(text)
        self._processes.start(
            entry.name, 'chervilstep', 'serve', '--settings', str(settings)
        )

    async def replace_entry(self, entry: EntryEndpoint) -> None:
        """Starts an instance with a new name on the ports of an ended one."""
        replacement = entry.with_name(f'{entry.name}r')
        self._entries[self._entries.index(entry)] = replacement
        self.start_entry(replacement)
        await _wait_for(replacement.address, _LOCATOR_PATH)

    async def put_items(self, values: Mapping[str, str | None]) -> None:
        """Sets items of the store; None deletes an item."""
        await send_control_request(
            self._topology.platform_control_address, '/control/put', values
        )

    async def inject_platform_fault(
        self, fault: str, argument: str = ''
    ) -> None:
        """Injects a fault into the platform stand-in."""
        data = {'fault': fault, 'argument': argument}
        await send_control_request(
            self._topology.platform_control_address, '/control/fault', data
        )

    async def inject_fault(
        self, names: tuple[str, ...], fault: str, argument: str = ''
    ) -> None:
        """Injects a fault into the named upstreams."""
        data = {'upstreams': names, 'fault': fault, 'argument': argument}
        for port in self._topology.control_ports.values():
            await send_control_request(
                f'127.0.0.1:{port}', '/control/fault', data
            )

    async def platform_calls(self) -> dict[str, int]:
        """Returns the calls that the store received, counted by kind."""
        answer = await send_control_request(
            self._topology.platform_control_address, '/control/calls', None
        )
        return dict(answer['calls'])

    async def upstream_counts(self) -> 'UpstreamCounts':
        """Returns the counters of all upstreams."""
        counts: dict[str, dict[str, int]] = {}
        for port in self._topology.control_ports.values():
            counts.update(
                await send_control_request(
                    f'127.0.0.1:{port}', '/control/counts', None
                )
            )
        return UpstreamCounts(counts)

    async def runs(self) -> dict[str, int]:
        """Returns how often each request was started, by request id."""
        runs: dict[str, int] = {}
        for port in self._topology.control_ports.values():
            runs.update(
                await send_control_request(
                    f'127.0.0.1:{port}', '/control/runs', None
                )
            )
        return runs


@final
class UpstreamCounts:
    """The counters of the upstreams since their start."""

    __slots__ = ('_by_upstream',)

    def __init__(self, by_upstream: dict[str, dict[str, int]]) -> None:
        """Creates the counts from the counters of each upstream by name."""
        self._by_upstream = by_upstream

    def total(self, name: str) -> int:
        """Returns the sum of one counter over all upstreams."""
        return sum(counts.get(name, 0) for counts in self._by_upstream.values())


def new_deployment(
    plan: Plan, instances: int, processes: Processes, folder: pathlib.Path
) -> Deployment:
    """Creates a deployment on free ports without starting any process."""
    ports = free_ports(port_count(plan, instances))
    topology = new_topology(plan, instances, ports)
    return Deployment(topology, processes, folder)


async def publish_document(
    deployment: Deployment, limits: Mapping[str, RateLimit], policy: str
) -> None:
    """Writes the whole document to the store, with limits and a policy."""
    texts = new_document(deployment.topology, limits, policy)
    await deployment.put_items(section_values(texts))


def _upstream_spec(
    topology: Topology,
    host: str,
    mean_seconds: float,
    cold_seconds: float,
    seed: int,
) -> dict[str, Any]:
    plan = topology.plan
    return {
        'ports': {
            upstream.name: upstream.port
            for upstream in topology.upstreams_on_host(host)
        },
        'traits': {
            'slots': plan.slots_per_upstream,
            'mean_seconds': mean_seconds,
            'cold_seconds': cold_seconds,
            'probe_seconds': plan.probe_seconds,
            'seed': seed,
        },
        'connection_limit': plan.connection_limit,
        'control_port': topology.control_ports[host],
    }


def _settings_text(
    entry: EntryEndpoint, topology: Topology, store_port: int
) -> str:
    settings = {
        'name': entry.name,
        'zone': entry.zone,
        'entry_address': entry.address,
        'peer_address': entry.peer_address,
        'admin_address': entry.admin_address,
        'configuration_source': f'store://127.0.0.1:{store_port}',
        'peer_secret': 'lab-secret-between-instances',
    }
    lines = [f'{name} = "{value}"' for name, value in settings.items()]
    lines.append('[seeds]')
    lines.extend(
        f'{seed.name} = "{seed.peer_address}"'
        for seed in topology.entries[:SEED_COUNT]
    )
    return '\n'.join(lines)


async def _wait_for(address: str, target: str) -> None:
    client = Client()
    try:
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while not await _is_answering(client, address, target):
                await asyncio.sleep(_POLL_SECONDS)
    except TimeoutError:
        raise TimeoutError(
            f'{address}{target} did not answer with status 200 within'
            f' {START_TIMEOUT_SECONDS} s'
        ) from None
    finally:
        client.close()


async def _is_answering(client: Client, address: str, target: str) -> bool:
    try:
        response = await client.send(address, 'GET', target, {}, seconds=1)
    except (NotSent, NoAnswer):
        return False
    return response.status == 200
