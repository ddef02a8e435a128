"""Decides for which customer a request runs."""

from chervilstep.refusals import (
    FORBIDDEN_ROUTE,
    MISSING_KEY,
    UNKNOWN_KEY,
    Refusal,
)
from chervilstep.snapshot import Customer, Route, Snapshot


def authenticate(
    snapshot: Snapshot, route: Route, key_digest: str | None
) -> Customer | Refusal | None:
    """Returns the customer of a request, or why it may not use the route.

    The answer is None on an open route: such a request runs for no customer,
    whether it carries a key or not. The lookup is by digest, so its timing
    tells nothing about a key.
    """
    if route.is_open:
        return None
    if key_digest is None:
        return MISSING_KEY
    customer = snapshot.customer_by_digest(key_digest)
    if customer is None:
        return UNKNOWN_KEY
    if customer.name not in route.customers:
        return FORBIDDEN_ROUTE
    return customer
