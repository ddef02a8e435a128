"""Plans of any size, to measure how costs scale with it."""

from typing import Final

from chervilstep.queries.headers import digest_key
from lab.documents import CUSTOMERS, ROUTES, SERVICES, ZONES, customer_key
from lab.plans import Plan

#: The number of availability zones planned for the next two years.
ZONE_COUNT: Final = 7
_CONNECTION_LIMIT: Final = 250
_RATE: Final = 100
_BURST: Final = 20


def new_scaled_plan(
    instances: int, services: int, servers: int, customers: int
) -> Plan:
    """Creates a plan with ``servers`` upstreams spread over the services."""
    zones = [f'zone-{number}' for number in range(ZONE_COUNT)]
    service_names = [f'service-{number}' for number in range(services)]
    customer_names = [f'customer-{number}' for number in range(customers)]
    texts = {
        ZONES: '[zones]\n'
        + ''.join(f'{zone} = "in-service"\n' for zone in zones),
        SERVICES: _services_text(service_names, servers, zones),
        ROUTES: ''.join(
            _route_text(name, customer_names) for name in service_names
        ),
        CUSTOMERS: ''.join(_customer_text(name) for name in customer_names),
    }
    return Plan(
        f'scaled-{services}-{servers}-{customers}',
        texts,
        instances=instances,
        connection_limit=_CONNECTION_LIMIT,
    )


def _services_text(names: list[str], servers: int, zones: list[str]) -> str:
    lines = []
    for index, name in enumerate(names):
        lines += [f'[services.{name}]', 'slots = 3']
        for number in range(index, servers, len(names)):
            lines += [
                f'[[services.{name}.upstreams]]',
                f'name = "server-{number}"',
                f'address = "127.0.0.1:{number + 1}"',
                f'zone = "{zones[number % len(zones)]}"',
            ]
    return '\n'.join([*lines, ''])


def _route_text(name: str, customers: list[str]) -> str:
    quoted = ', '.join(f'"{customer}"' for customer in customers)
    return (
        f'[routes.{name}]\npath = "/{name}/"\nservice = "{name}"\n'
        f'methods = ["GET"]\ncustomers = [{quoted}]\n'
        'priority = "normal"\ntimeout_ms = 2000\n'
    )


def _customer_text(name: str) -> str:
    digest = digest_key(customer_key(name))
    return (
        f'[customers.{name}]\nrate = {_RATE}\nburst = {_BURST}\n'
        f'keys = ["{digest}"]\n'
    )
