"""The operators' document of a deployment, as texts of its sections."""

import hashlib
import json
from collections.abc import Mapping
from typing import Final, final

from lab.plans import ServicePlan
from lab.topology import Topology, UpstreamPlace

DEFAULT_POLICY: Final = ''


@final
class Limit:
    """The rate and burst of one customer."""

    __slots__ = ('_burst', '_rate')

    def __init__(self, rate: float, burst: float) -> None:
        """Creates a limit of ``rate`` requests a second."""
        self._rate = rate
        self._burst = burst

    @property
    def rate(self) -> float:
        """Requests a second."""
        return self._rate

    @property
    def burst(self) -> float:
        """Requests at once."""
        return self._burst


def key_of(customer: str) -> str:
    """The key of a customer of the lab."""
    return f'lab-key-of-{customer}'


def zones_text(topology: Topology, withdrawn: frozenset[str]) -> str:
    """The section of the team that runs the zones."""
    lines = ['[zones]']
    for zone in topology.plan.zones:
        state = 'withdrawn' if zone in withdrawn else 'in-service'
        lines.append(f'{zone} = "{state}"')
    return _text_of(lines)


def service_text(
    topology: Topology,
    service: ServicePlan,
    policy: str = DEFAULT_POLICY,
    leaving: frozenset[str] = frozenset(),
    timeout_ms: int = 2000,
) -> str:
    """The section of the team that owns one service."""
    lines = [f'[services.{service.name}]', f'slots = {topology.plan.slots}']
    if policy:
        lines.append(f'policy = "{policy}"')
    for place in topology.upstreams_of(service.name):
        lines += _upstream_lines(place, leaving)
    lines += [
        f'[routes.{service.name}]',
        f'path = "/{service.name}/"',
        f'service = "{service.name}"',
        'methods = ["GET", "POST"]',
        f'idempotent = {json.dumps(list(service.idempotent))}',
        f'customers = {json.dumps(list(topology.plan.customers))}',
        f'priority = "{service.priority}"',
        f'timeout_ms = {timeout_ms}',
    ]
    return _text_of(lines)


def customers_text(
    limits: Mapping[str, Limit], revoked: frozenset[str] = frozenset()
) -> str:
    """The section of the team that grants keys; revoked ones have none."""
    lines = []
    for name, limit in limits.items():
        digest = hashlib.sha256(key_of(name).encode()).hexdigest()
        keys = [] if name in revoked else [digest]
        lines += [
            f'[customers.{name}]',
            f'rate = {limit.rate}',
            f'burst = {limit.burst}',
            f'keys = {json.dumps(keys)}',
        ]
    return _text_of(lines)


def document(
    topology: Topology, limits: Mapping[str, Limit], policy: str
) -> dict[str, str]:
    """Every section by the name of its value on the platform."""
    sections = {
        'config/zones': zones_text(topology, frozenset()),
        'config/customers': customers_text(limits),
    }
    for service in topology.plan.services:
        name = f'config/{service.name}'
        sections[name] = service_text(topology, service, policy)
    return sections


def instance_values(
    topology: Topology, leaving: frozenset[str] = frozenset()
) -> dict[str, str]:
    """The list of entry instances, as values of the platform."""
    return {
        f'instances/{place.name}': json.dumps(
            {
                'zone': place.zone,
                'address': place.address,
                'peer_address': place.peer_address,
                'state': 'leaving' if place.name in leaving else 'live',
            }
        )
        for place in topology.entries
    }


def _upstream_lines(place: UpstreamPlace, leaving: frozenset[str]) -> list[str]:
    lines = [
        f'[[services.{place.service}.upstreams]]',
        f'name = "{place.name}"',
        f'address = "127.0.0.1:{place.port}"',
        f'zone = "{place.zone}"',
    ]
    if place.name in leaving:
        lines.append('state = "leaving"')
    return lines


def _text_of(lines: list[str]) -> str:
    return '\n'.join([*lines, ''])
