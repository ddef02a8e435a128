"""Answers callers that ask which entry instances to use."""

import random
from typing import Final, final

from chervilstep.members import Instance
from chervilstep.node import Node
from chervilstep.queries.load import accepts_callers
from chervilstep.types import Instant


@final
class Directions:
    """Entry addresses in the order to try them, and how long they hold."""

    __slots__ = ('_addresses', '_keep_seconds')

    def __init__(self, addresses: tuple[str, ...], keep_seconds: float) -> None:
        """Creates an answer to a caller."""
        self._addresses = addresses
        self._keep_seconds = keep_seconds

    @property
    def addresses(self) -> tuple[str, ...]:
        """The ``ip:port`` of each instance, the first one to try first."""
        return self._addresses

    @property
    def keep_seconds(self) -> float:
        """How long the caller may use the answer."""
        return self._keep_seconds


def directions(
    node: Node, now: Instant, caller_zone: str | None = None
) -> Directions:
    """Orders the usable instances for one caller.

    Each caller gets another order, drawn with weights that fall with the
    load that an instance last reported, so that callers spread without
    following each other to the instance that was idle a moment ago. The
    caller's own zone, when it names one, goes first; with enough instances
    there, traffic between zones is spared.
    """
    terms = node.settings.locator
    usable = usable_instances(node, now)
    near = [each for each in usable if each.zone == caller_zone]
    ranked = sorted(
        near if len(near) >= terms.enough_near else usable,
        key=lambda instance: (
            instance.zone != caller_zone,
            _draw(node, instance),
        ),
    )
    addresses = tuple(
        instance.address for instance in ranked[: terms.max_addresses]
    )
    return Directions(addresses, terms.keep_seconds)


def usable_instances(node: Node, now: Instant) -> tuple[Instance, ...]:
    """The instances to which a caller may be sent.

    Leaving ones, those in withdrawn zones and those that were heard of
    before but not lately are left out.
    """
    return tuple(
        instance
        for instance in node.members.listed.values()
        if _is_usable(node, instance, now)
    )


def _is_usable(node: Node, instance: Instance, now: Instant) -> bool:
    if node.snapshot.is_withdrawn(instance.zone):
        return False
    if instance.name == node.members.self_name:
        return accepts_callers(node, now)
    view = node.members.views.get(instance.name)
    if view is None:
        return False
    return view.is_alive(now) and view.is_ready and not view.is_leaving


def _draw(node: Node, instance: Instance) -> float:
    """An exponential draw, longer the more the instance is loaded.

    Sorting by such draws picks without replacement in proportion to the
    weights (Efraimidis and Spirakis, 2006).
    """
    view = node.members.views.get(instance.name)
    load = view.load if view else float(0)
    weight = max(1 - load, _SMALLEST_WEIGHT)
    return _exponential(node.rng) / weight


def _exponential(rng: random.Random) -> float:
    return rng.expovariate(1)


_SMALLEST_WEIGHT: Final = 0.05
