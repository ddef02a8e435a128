"""Queries that describe the state of an instance for operators."""

from chervilstep.hooks import STATUS_ENTRIES
from chervilstep.node import Node
from chervilstep.types import Instant


@STATUS_ENTRIES.register('instance')
def describe_instance(node: Node, now: Instant) -> dict[str, object]:
    """Returns the name and zone of the instance, and whether it is leaving."""
    return {
        'name': node.settings.name,
        'zone': node.settings.zone,
        'leaving': node.members.is_leaving,
    }


@STATUS_ENTRIES.register('members')
def describe_members(node: Node, now: Instant) -> dict[str, object]:
    """Returns the known instances and the state of each as a peer."""
    peers = node.members.peers
    return {
        'instances': {
            name: {
                'zone': instance.zone,
                'address': instance.address,
                'leaving': name in peers and peers[name].is_leaving,
                'alive': name in peers and peers[name].is_alive(now),
            }
            for name, instance in node.members.active.items()
        },
    }


@STATUS_ENTRIES.register('configuration')
def describe_configuration(node: Node, now: Instant) -> dict[str, object]:
    """Returns revisions, faults, conflicts, and states of store and zones."""
    configuration = node.configuration
    return {
        'sections': {
            name: section.revision.number
            for name, section in configuration.sections.items()
        },
        'faults': {
            name: {
                'revision': fault.revision.number,
                'message': fault.message,
            }
            for name, fault in configuration.faults.items()
        },
        'conflicts': list(configuration.conflicts),
        'store': _describe_store(node, now),
        'zones': {
            name: state.value for name, state in node.snapshot.zones.items()
        },
    }


def _describe_store(node: Node, now: Instant) -> dict[str, object]:
    replica = node.replica
    unavailable_seconds = (
        0
        if replica.unavailable_since is None
        else now - replica.unavailable_since
    )
    return {
        'as_of': replica.as_of.number,
        'epoch': replica.as_of.epoch,
        'away_seconds': round(unavailable_seconds, 1),
    }


@STATUS_ENTRIES.register('upstreams')
def describe_upstreams(node: Node, now: Instant) -> dict[str, object]:
    """Returns the number of requests in flight at each upstream."""
    return {
        name: {'in_flight': load.in_flight}
        for name, load in node.loads.by_upstream.items()
    }


@STATUS_ENTRIES.register('counters')
def describe_counters(node: Node, now: Instant) -> dict[str, int]:
    """Returns the total of each counter, with the labels in its name."""
    return {
        _counter_name(name, labels): total
        for (name, labels), total in node.counters
    }


def _counter_name(name: str, labels: tuple[tuple[str, str], ...]) -> str:
    if not labels:
        return name
    label_text = ','.join(f'{label}={text}' for label, text in labels)
    return f'{name}{{{label_text}}}'
