"""Edits of the operators' document, each as one team would make it.

The sections stay texts, so that what reaches the instances is what a person
would have written.
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
_MS: Final = 1000


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
    """The key whose digest the example documents hold."""
    return f'demo-key-{customer}'


def with_ports(text: str, topology: Topology) -> str:
    """Moves every upstream to its port in the topology."""
    for place in topology.upstreams:
        text = _replaced(
            f'(name = "{re.escape(place.name)}"\naddress = )"[^"]*"',
            rf'\g<1>"127.0.0.1:{place.port}"',
            text,
        )
    return text


def with_policy(text: str, policy: str) -> str:
    """Gives every service this policy; an empty one changes nothing."""
    if not policy:
        return text
    text = re.sub('(?m)^policy = .*\n', '', text)
    return _replaced(
        r'(?m)^(\[services\.[^\]]+\])$', rf'\g<1>\npolicy = "{policy}"', text
    )


def with_timeouts(text: str, seconds: float) -> str:
    """Gives every route this timeout."""
    return _replaced(
        '(?m)^timeout_ms = .*$', f'timeout_ms = {int(seconds * _MS)}', text
    )


def with_zone(text: str, zone: str, state: str) -> str:
    """Sets the state of one zone."""
    return _replaced(
        f'(?m)^({re.escape(zone)} = )"[^"]*"', rf'\g<1>"{state}"', text
    )


def with_upstream_leaving(text: str, name: str) -> str:
    """Takes one upstream out."""
    return _replaced(
        f'(?m)^(name = "{re.escape(name)}")$', r'\g<1>\nstate = "leaving"', text
    )


def with_limits(text: str, limits: Mapping[str, Limit]) -> str:
    """Sets the rate and burst of the customers."""
    for name, limit in limits.items():
        text = _replaced(
            rf'(\[customers\.{re.escape(name)}\]\n)rate = .*\nburst = .*\n',
            rf'\g<1>rate = {limit.rate:.2f}\nburst = {limit.burst:.2f}\n',
            text,
        )
    return text


def without_keys(text: str, customer: str) -> str:
    """Revokes every key of one customer."""
    return _replaced(
        rf'(?s)(\[customers\.{re.escape(customer)}\]\n.*?keys = )\[.*?\]',
        r'\g<1>[]',
        text,
    )


def document(
    topology: Topology, limits: Mapping[str, Limit], policy: str
) -> dict[str, str]:
    """The sections of a deployment at its ports, by section."""
    texts = dict(topology.plan.section_texts)
    moved = with_ports(texts[SERVICES], topology)
    texts[SERVICES] = with_policy(moved, policy)
    texts[CUSTOMERS] = with_limits(texts[CUSTOMERS], limits)
    return texts


def section_values(texts: Mapping[str, str]) -> dict[str, str]:
    """The sections as items of the store."""
    return {_SECTION_PREFIX + name: text for name, text in texts.items()}


def _replaced(pattern: str, replacement: str, text: str) -> str:
    changed, count = re.subn(pattern, replacement, text)
    if not count:
        raise ValueError(f'the document has nothing like {pattern}')
    return changed
