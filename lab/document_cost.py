"""Measures the cost of the document for an instance.

Run as ``python -m lab.document_cost``. Each service has a section with its
route, and customers are in sections of twenty. Prints the time to accept all
sections at startup, the time to accept a change, the time to find the route
and the customer of a request, and the memory.
"""

import random
import statistics
import sys
import time
import tracemalloc
from typing import Final

from chervilstep.adapters.capabilities import load_capabilities
from chervilstep.commands.configuration import apply_sections
from chervilstep.node import Node, new_node
from chervilstep.queries.access import authenticate
from chervilstep.queries.headers import digest_key
from chervilstep.queries.routing import resolve
from chervilstep.refusals import Refusal
from chervilstep.revisions import Revision
from chervilstep.settings import Settings

#: Services, servers and customers; the last is the design size.
SIZES: Final = ((4, 36, 8), (87, 470, 100), (870, 4700, 1000))
CHANGES: Final = 30
REQUESTS: Final = 20000
CUSTOMERS_PER_SECTION: Final = 20
BYTES_PER_KB: Final = 1000
MS_PER_SECOND: Final = 1000
US_PER_SECOND: Final = 1_000_000


def print_costs() -> int:
    """Prints the measurements of each size; returns the exit code."""
    load_capabilities()
    for services, servers, customers in SIZES:
        texts = new_section_texts(services, servers, customers)
        size = sum(map(len, texts.values())) / BYTES_PER_KB
        print(
            f'{services} services, {servers} servers, {customers} customers,'
            f' {len(texts)} sections, {size:.0f} kB:'
            f' start {startup_seconds(texts) * MS_PER_SECOND:.1f} ms,'
            f' change {change_seconds(texts) * MS_PER_SECOND:.2f} ms,'
            f' request {request_seconds(texts) * US_PER_SECOND:.1f} us,'
            f' memory {memory_bytes(texts) / BYTES_PER_KB:.0f} kB'
        )
    return 0


def new_section_texts(
    services: int, servers: int, customers: int
) -> dict[str, str]:
    """Returns the sections of a document of this size."""
    texts = {'zones': '[zones]\nakl = "in-service"\n'}
    for service in range(services):
        numbers = range(service, servers, services)
        texts[f'service-{service}'] = _service_text(service, numbers)
    for first in range(0, customers, CUSTOMERS_PER_SECTION):
        last = min(customers, first + CUSTOMERS_PER_SECTION)
        texts[f'customers-{first}'] = ''.join(
            map(_customer_text, range(first, last))
        )
    return texts


def startup_seconds(texts: dict[str, str]) -> float:
    """Returns the time to accept all sections together."""
    started_at = time.perf_counter()
    _configured_node(texts)
    return time.perf_counter() - started_at


def change_seconds(texts: dict[str, str]) -> float:
    """Returns the median time to accept a change of one section."""
    node = _configured_node(texts)
    durations = []
    for number in range(CHANGES):
        started_at = time.perf_counter()
        revision = Revision(len(texts) + number + 1)
        section_revision = 'service-0', revision, texts['service-0']
        apply_sections(node, [section_revision], 0)
        durations.append(time.perf_counter() - started_at)
    return statistics.median(durations)


def request_seconds(texts: dict[str, str]) -> float:
    """Returns the mean time to find the route and customer of a request."""
    node = _configured_node(texts)
    digest = _key_digest(0)
    started_at = time.perf_counter()
    for _ in range(REQUESTS):
        route = resolve(node.snapshot, 'GET', '/service-1/some/path')
        if not isinstance(route, Refusal):
            authenticate(node.snapshot, route, digest)
    return (time.perf_counter() - started_at) / REQUESTS


def memory_bytes(texts: dict[str, str]) -> int:
    """Returns the memory that the accepted sections use."""
    tracemalloc.start()
    node = _configured_node(texts)
    traced_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(node.configuration.sections) == len(texts)
    return traced_bytes


def _configured_node(texts: dict[str, str]) -> Node:
    settings = Settings(
        name='entry-1',
        zone='akl',
        entry_address='127.0.0.1:1',
        peer_address='127.0.0.1:2',
        admin_address='127.0.0.1:3',
        configuration_source='file:unused',
        peer_secret='unused',
    )
    node = new_node(settings, 1)
    names = random.Random(1).sample(sorted(texts), len(texts))
    section_revisions = [
        (name, Revision(revision), texts[name])
        for revision, name in enumerate(names, start=1)
    ]
    apply_sections(node, section_revisions, 0)
    return node


def _service_text(service: int, numbers: range) -> str:
    lines = [f'[services.service-{service}]', 'slots = 3']
    for number in numbers:
        host = f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}'
        lines += [
            f'[[services.service-{service}.upstreams]]',
            f'name = "server-{number}"',
            f'address = "{host}:9000"',
            'zone = "akl"',
        ]
    lines += [
        f'[routes.service-{service}]',
        f'path = "/service-{service}/"',
        f'service = "service-{service}"',
        'methods = ["GET", "POST"]',
        'customers = ["customer-0", "customer-1"]',
        'timeout_ms = 2000',
    ]
    return '\n'.join(lines)


def _customer_text(number: int) -> str:
    return (
        f'[customers.customer-{number}]\nrate = 100\nburst = 20\n'
        f'keys = ["{_key_digest(number)}"]\n'
    )


def _key_digest(number: int) -> str:
    return digest_key(f'key-{number}')


if __name__ == '__main__':
    sys.exit(print_costs())
