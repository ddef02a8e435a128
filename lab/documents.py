"""Edits of the operators' document, each as one team would make it.

Sections are edited as text, so that instances parse the same syntax as an
operator writes.
"""

import re
from collections.abc import Mapping
from typing import Final, final

from lab.topology import Topology

SERVICES: Final = 'services'
ZONES: Final = 'zones'
CUSTOMERS: Final = 'customers'
ROUTES: Final = 'routes'
_SECTION_PREFIX: Final = 'sections/'
_MS_PER_SECOND: Final = 1000


@final
class RateLimit:
    """The rate and burst of one customer."""

    __slots__ = ('_burst', '_rate')

    def __init__(self, rate: float, burst: float) -> None:
        """Creates a limit of ``rate`` requests per second."""
        self._rate = rate
        self._burst = burst

    @property
    def rate(self) -> float:
        """The sustained rate in requests per second."""
        return self._rate

    @property
    def burst(self) -> float:
        """The number of requests that may arrive at once."""
        return self._burst


def customer_key(customer: str) -> str:
    """Returns the key whose digest is in the example documents."""
    return f'demo-key-{customer}'


def with_ports(text: str, topology: Topology) -> str:
    """Sets the address of every upstream to its port in the topology."""
    for upstream in topology.upstreams:
        text = _substitute(
            f'(name = "{re.escape(upstream.name)}"\naddress = )"[^"]*"',
            rf'\g<1>"127.0.0.1:{upstream.port}"',
            text,
        )
    return text


def with_policy(text: str, policy: str) -> str:
    """Sets the policy of every service; an empty one changes nothing."""
    if not policy:
        return text
    text = re.sub('(?m)^policy = .*\n', '', text)
    return _substitute(
        r'(?m)^(\[services\.[^\]]+\])$', rf'\g<1>\npolicy = "{policy}"', text
    )


def with_timeouts(text: str, seconds: float) -> str:
    """Sets the timeout of every route."""
    return _substitute(
        '(?m)^timeout_ms = .*$',
        f'timeout_ms = {int(seconds * _MS_PER_SECOND)}',
        text,
    )


def with_zone(text: str, zone: str, state: str) -> str:
    """Sets the state of one availability zone."""
    return _substitute(
        f'(?m)^({re.escape(zone)} = )"[^"]*"', rf'\g<1>"{state}"', text
    )


def with_upstream_leaving(text: str, name: str) -> str:
    """Sets the state of one upstream to leaving."""
    return _substitute(
        f'(?m)^(name = "{re.escape(name)}")$', r'\g<1>\nstate = "leaving"', text
    )


def with_limits(text: str, limits: Mapping[str, RateLimit]) -> str:
    """Sets the rate and burst of each customer in ``limits``."""
    for name, limit in limits.items():
        text = _substitute(
            rf'(\[customers\.{re.escape(name)}\]\n)rate = .*\nburst = .*\n',
            rf'\g<1>rate = {limit.rate:.2f}\nburst = {limit.burst:.2f}\n',
            text,
        )
    return text


def without_keys(text: str, customer: str) -> str:
    """Removes all keys of one customer."""
    return _substitute(
        rf'(?s)(\[customers\.{re.escape(customer)}\]\n.*?keys = )\[.*?\]',
        r'\g<1>[]',
        text,
    )


def new_document(
    topology: Topology, limits: Mapping[str, RateLimit], policy: str
) -> dict[str, str]:
    """Returns the texts of a deployment's sections, by name."""
    texts = dict(topology.plan.section_texts)
    services_text = with_ports(texts[SERVICES], topology)
    texts[SERVICES] = with_policy(services_text, policy)
    texts[CUSTOMERS] = with_limits(texts[CUSTOMERS], limits)
    return texts


def section_values(texts: Mapping[str, str]) -> dict[str, str]:
    """Returns the sections as items of the store."""
    return {_SECTION_PREFIX + name: text for name, text in texts.items()}


def _substitute(pattern: str, replacement: str, text: str) -> str:
    changed, count = re.subn(pattern, replacement, text)
    if not count:
        raise ValueError(f'document has no match for {pattern}')
    return changed
