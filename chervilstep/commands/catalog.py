"""Puts what the platform's store says in force."""

from collections.abc import Iterable

from chervilstep.catalog import Listing, ServiceTerms, Terms
from chervilstep.exceptions import ItemError
from chervilstep.hooks import PUBLISHERS
from chervilstep.node import Node
from chervilstep.queries.soonest import SOONEST
from chervilstep.services import Service, Upstream
from chervilstep.snapshot import Snapshot, ZoneState
from chervilstep.types import Instant, new_deadline


def agree_terms(node: Node, terms: Terms) -> None:
    """Takes in a configuration; an older version never replaces a newer.

    Raises:
        ItemError: The version is not newer than the one in force.
    """
    known = node.configuration.catalog.terms
    if known is not None and terms.version <= known.version:
        raise ItemError(f'version {terms.version} is not newer')
    node.configuration.catalog.agree(terms)
    node.events.add(
        'configuration_accepted',
        version=terms.version,
        routes=len(terms.routes),
        customers=len(terms.customers),
    )


def enlist_upstream(
    node: Node, key: str, listing: Listing, now: Instant
) -> None:
    """Takes in the entry of an upstream."""
    known = node.configuration.catalog.listings.get(key)
    node.configuration.catalog.enlist(key, listing)
    upstream = listing.upstream
    if listing.cold_seconds > 0:
        until = new_deadline(now, listing.cold_seconds)
        node.health.upstream_health(upstream.name).mark_cold(until)
    was_leaving = known is not None and known.upstream.is_leaving
    if known is None or upstream.is_leaving != was_leaving:
        node.events.add(
            'upstream_listed',
            upstream=upstream.name,
            service=listing.service,
            zone=upstream.zone,
            leaving=upstream.is_leaving,
        )


def strike_upstream(node: Node, key: str) -> None:
    """Removes the entry of an upstream."""
    if key in node.configuration.catalog.listings:
        node.events.add('upstream_struck', key=key)
    node.configuration.catalog.strike(key)


def withdraw_zone(node: Node, zone: str) -> None:
    """Sends nothing to the upstreams of a zone."""
    node.configuration.catalog.withdraw(zone)
    node.events.add('zone_withdrawn', zone=zone)


def restore_zone(node: Node, zone: str, now: Instant) -> None:
    """Sends to the upstreams of a zone again.

    They may have been restarted meanwhile, and count as cold for the time
    that their service names.
    """
    if zone not in node.configuration.catalog.withdrawn:
        return
    node.configuration.catalog.restore(zone)
    node.events.add('zone_restored', zone=zone)
    for service in node.snapshot.services.values():
        if service.cold_start is None:
            continue
        until = new_deadline(now, service.cold_start.seconds)
        for upstream in service.upstreams:
            if upstream.zone == zone:
                node.health.upstream_health(upstream.name).mark_cold(until)


@PUBLISHERS.register(rank=20)
def publish_catalog(node: Node, now: Instant) -> None:
    """Puts the catalog in force as one snapshot."""
    catalog = node.configuration.catalog
    terms = catalog.terms
    if terms is None:
        return
    listings = tuple(catalog.listings.values())
    zones = {
        listing.upstream.zone: ZoneState.IN_SERVICE for listing in listings
    }
    zones.update(dict.fromkeys(catalog.withdrawn, ZoneState.WITHDRAWN))
    services = _services(terms.services, listings)
    snapshot = node.snapshot
    if snapshot.version == terms.version:
        node.configuration.publish(snapshot.revised(zones, services))
    else:
        node.configuration.publish(
            Snapshot(
                zones,
                services,
                terms.routes,
                terms.customers,
                version=terms.version,
            )
        )
    node.health.retain(frozenset(each.upstream.name for each in listings))


def _services(
    terms: Iterable[ServiceTerms], listings: Iterable[Listing]
) -> list[Service]:
    upstreams: dict[str, list[Upstream]] = {}
    for listing in listings:
        upstreams.setdefault(listing.service, []).append(listing.upstream)
    return [
        Service(
            each.name,
            upstreams.get(each.name, ()),
            SOONEST,
            each.cold_start,
            each.health_path,
        )
        for each in terms
    ]
