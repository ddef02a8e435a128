"""Commands that apply the configuration in the platform's store."""

from collections.abc import Iterable

from chervilstep.catalog import PlatformConfig, ServiceConfig, UpstreamEntry
from chervilstep.exceptions import ItemError
from chervilstep.hooks import PUBLISHERS
from chervilstep.node import Node
from chervilstep.queries.soonest import SOONEST
from chervilstep.services import Service, Upstream
from chervilstep.snapshot import Snapshot, ZoneState
from chervilstep.types import Instant, new_deadline


def apply_platform_config(node: Node, config: PlatformConfig) -> None:
    """Replaces the configuration by a newer version.

    Raises:
        ItemError: The version is not higher than the current one.
    """
    current = node.configuration.catalog.config
    if current is not None and config.version <= current.version:
        raise ItemError(
            f'version {config.version} is not higher than the current one'
        )
    node.configuration.catalog.replace_config(config)
    node.events.add(
        'configuration_accepted',
        version=config.version,
        routes=len(config.routes),
        customers=len(config.customers),
    )


def apply_upstream_entry(
    node: Node, key: str, entry: UpstreamEntry, now: Instant
) -> None:
    """Adds or replaces the entry of an upstream."""
    previous = node.configuration.catalog.upstream_entries.get(key)
    node.configuration.catalog.set_upstream_entry(key, entry)
    upstream = entry.upstream
    if entry.cold_seconds > 0:
        cold_until = new_deadline(now, entry.cold_seconds)
        node.health.upstream_health(upstream.name).mark_cold(cold_until)
    was_leaving = previous is not None and previous.upstream.is_leaving
    if previous is None or upstream.is_leaving != was_leaving:
        node.events.add(
            'upstream_listed',
            upstream=upstream.name,
            service=entry.service,
            zone=upstream.zone,
            leaving=upstream.is_leaving,
        )


def remove_upstream_entry(node: Node, key: str) -> None:
    """Removes the entry of an upstream."""
    if key in node.configuration.catalog.upstream_entries:
        node.events.add('upstream_struck', key=key)
    node.configuration.catalog.remove_upstream_entry(key)


def withdraw_zone(node: Node, zone: str) -> None:
    """Stops sending requests to the upstreams of a zone."""
    node.configuration.catalog.withdraw_zone(zone)
    node.events.add('zone_withdrawn', zone=zone)


def restore_zone(node: Node, zone: str, now: Instant) -> None:
    """Resumes sending requests to the upstreams of a zone.

    The upstreams may have restarted in the meantime, so they are treated as
    cold for the cold-start time of their service.
    """
    if zone not in node.configuration.catalog.withdrawn_zones:
        return
    node.configuration.catalog.restore_zone(zone)
    node.events.add('zone_restored', zone=zone)
    for service in node.snapshot.services.values():
        if service.cold_start is None:
            continue
        cold_until = new_deadline(now, service.cold_start.seconds)
        for upstream in service.upstreams:
            if upstream.zone == zone:
                node.health.upstream_health(upstream.name).mark_cold(cold_until)


@PUBLISHERS.register(rank=20)
def publish_catalog(node: Node, now: Instant) -> None:
    """Publishes the catalog as one snapshot."""
    catalog = node.configuration.catalog
    config = catalog.config
    if config is None:
        return
    entries = tuple(catalog.upstream_entries.values())
    zones = {entry.upstream.zone: ZoneState.IN_SERVICE for entry in entries}
    zones.update(dict.fromkeys(catalog.withdrawn_zones, ZoneState.WITHDRAWN))
    services = _services(config.services, entries)
    snapshot = node.snapshot
    if snapshot.version == config.version:
        node.configuration.publish(
            snapshot.with_zones_and_services(zones, services)
        )
    else:
        node.configuration.publish(
            Snapshot(
                zones,
                services,
                config.routes,
                config.customers,
                version=config.version,
            )
        )
    node.health.retain(frozenset(entry.upstream.name for entry in entries))


def _services(
    configs: Iterable[ServiceConfig], entries: Iterable[UpstreamEntry]
) -> list[Service]:
    upstreams: dict[str, list[Upstream]] = {}
    for entry in entries:
        upstreams.setdefault(entry.service, []).append(entry.upstream)
    return [
        Service(
            config.name,
            upstreams.get(config.name, ()),
            SOONEST,
            config.cold_start,
            config.health_path,
        )
        for config in configs
    ]
