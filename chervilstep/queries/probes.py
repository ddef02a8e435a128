"""Queries on the assignment of probes to instances and on due probes."""

import functools
from typing import Final

from chervilstep.node import Node
from chervilstep.queries.assignment import live_instances, rendezvous_instance
from chervilstep.services import Service, Upstream
from chervilstep.snapshot import Snapshot
from chervilstep.types import Instant

#: The policies that use the load reports of upstreams. Upstreams of services
#: with other policies are not probed.
REPORT_POLICIES: Final = frozenset(('two-choices',))
#: The number of upstreams whose assigned prober is cached.
PROBER_CACHE_SIZE: Final = 16384


def probes_due(node: Node, now: Instant) -> tuple[Upstream, ...]:
    """Returns the upstreams that this instance has to probe now."""
    schedule = node.probe_schedule
    return tuple(
        upstream
        for service in node.snapshot.services.values()
        for upstream in service.upstreams
        if schedule.is_due(upstream.name, now)
        and is_probed(node.snapshot, service, upstream)
    )


def assigned_probes(node: Node, now: Instant) -> frozenset[str]:
    """Returns the names of the upstreams that this instance probes."""
    live = node.loads.live_instances or live_instances(node, now)
    return frozenset(
        upstream.name
        for service in node.snapshot.services.values()
        for upstream in service.upstreams
        if is_probed(node.snapshot, service, upstream)
        and assigned_prober(live, upstream.name) == node.settings.name
    )


def is_probed(snapshot: Snapshot, service: Service, upstream: Upstream) -> bool:
    """Whether ``upstream`` is in service and its load reports are used."""
    if service.policy not in REPORT_POLICIES or upstream.is_leaving:
        return False
    return not snapshot.is_withdrawn(upstream.zone)


@functools.lru_cache(maxsize=PROBER_CACHE_SIZE)
def assigned_prober(live: frozenset[str], upstream: str) -> str:
    """Returns the one instance of ``live`` that probes ``upstream``."""
    return rendezvous_instance(live, f'probe\0{upstream}')


def is_configured(node: Node, upstream: str) -> bool:
    """Whether the configuration in force names ``upstream``."""
    return any(
        each.name == upstream
        for service in node.snapshot.services.values()
        for each in service.upstreams
    )
