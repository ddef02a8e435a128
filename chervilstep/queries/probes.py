"""Queries on who probes which upstream, and what is due."""

import functools
from typing import Final

from chervilstep.node import Node
from chervilstep.queries.assignment import live_instances, rendezvous_instance
from chervilstep.services import Service, Upstream
from chervilstep.snapshot import Snapshot
from chervilstep.types import Instant

#: Policies that read the reports of upstreams; for others none is probed.
REPORT_POLICIES: Final = frozenset(('two-choices',))
#: Upstreams whose prober is remembered.
REMEMBERED_PROBERS: Final = 16384


def probes_due(node: Node, now: Instant) -> tuple[Upstream, ...]:
    """The upstreams that this instance has to probe now."""
    plan = node.probes
    return tuple(
        upstream
        for service in node.snapshot.services.values()
        for upstream in service.upstreams
        if plan.is_due(upstream.name, now)
        and is_probed(node.snapshot, service, upstream)
    )


def assigned_probes(node: Node, now: Instant) -> frozenset[str]:
    """The names of the upstreams whose prober is this instance."""
    live = node.loads.live_instances or live_instances(node, now)
    return frozenset(
        upstream.name
        for service in node.snapshot.services.values()
        for upstream in service.upstreams
        if is_probed(node.snapshot, service, upstream)
        and prober(live, upstream.name) == node.settings.name
    )


def is_probed(snapshot: Snapshot, service: Service, upstream: Upstream) -> bool:
    """Whether anyone probes ``upstream``: it is used, and by its reports."""
    if service.policy not in REPORT_POLICIES or upstream.is_leaving:
        return False
    return not snapshot.is_withdrawn(upstream.zone)


@functools.lru_cache(maxsize=REMEMBERED_PROBERS)
def prober(live: frozenset[str], upstream: str) -> str:
    """The one instance of ``live`` that probes ``upstream``."""
    return rendezvous_instance(live, f'probe\0{upstream}')


def is_known(node: Node, upstream: str) -> bool:
    """Whether the configuration in force names ``upstream``."""
    return any(
        each.name == upstream
        for service in node.snapshot.services.values()
        for each in service.upstreams
    )
