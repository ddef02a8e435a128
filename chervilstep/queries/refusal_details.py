"""Details of refusals for the log."""

from collections.abc import Mapping

from chervilstep.calls import Call
from chervilstep.node import Node
from chervilstep.queries.rates import (
    fleet_tokens,
    report_coverage,
    share_rate,
    share_tokens,
)
from chervilstep.queries.replica import store_age
from chervilstep.queries.routing import resolve
from chervilstep.queries.throttling import describe_limits
from chervilstep.refusals import RATE_EXCEEDED, UPSTREAMS_LIMITED, Refusal
from chervilstep.snapshot import Route
from chervilstep.types import Instant


def view_details(node: Node, now: Instant) -> Mapping[str, object]:
    """Returns the version of the configuration and the age of the view."""
    return {
        'configuration': node.snapshot.version,
        'store_age': store_age(node, now),
    }


def refusal_details(
    node: Node, call: Call, refusal: Refusal, now: Instant
) -> Mapping[str, object]:
    """Returns the numbers that a refusal is based on.

    The result is empty where the reason of the refusal is sufficient.
    """
    if refusal is UPSTREAMS_LIMITED:
        route = resolve(node.snapshot, call.method, call.path, call.host)
        service = node.snapshot.services.get(
            route.service if isinstance(route, Route) else ''
        )
        return describe_limits(node, service.upstreams if service else (), now)
    customer = node.snapshot.customer_by_digest(call.key_digest or '')
    if refusal is not RATE_EXCEEDED or customer is None:
        return {}
    bucket = node.rates.buckets.get(customer.name)
    if bucket is None:
        return {'customer': customer.name}
    coverage = report_coverage(node, bucket, now)
    share = share_tokens(node, customer, bucket, coverage, now)
    own_rate = share_rate(node, customer, bucket, coverage, now)
    return {
        'customer': customer.name,
        'rate': customer.rate,
        'burst': customer.burst,
        'tokens': round(fleet_tokens(customer, bucket, coverage, now), 1),
        'part': round(share, 2),
        'part_rate': round(own_rate, 2),
        'demand': round(bucket.demand, 1),
        'silent': coverage.silent,
        'known': coverage.known,
    }
