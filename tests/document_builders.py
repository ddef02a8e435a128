"""Builders of sections, and of nodes that are configured with them."""

import math

from chervilstep.commands.configuration import apply_sections
from chervilstep.node import new_node
from chervilstep.queries.document import parse_section
from chervilstep.revisions import Revision
from chervilstep.types import Deadline
from tests.builders import KEY, a_settings, digest_key, set_instances
from tests.wire_builders import an_instance

ZONES = '[zones]\nakl = "in-service"\nham = "in-service"\n'


def zones_text(**states):
    lines = [f'{name} = "{state}"' for name, state in states.items()]
    return '\n'.join(['[zones]', *lines])


def service_text(name='strike', port=9001, zone='akl', prefix=''):
    upstream = prefix or name
    return f"""
[services.{name}]
slots = 3
[[services.{name}.upstreams]]
name = "{upstream}-1"
address = "127.0.0.1:{port}"
zone = "{zone}"
"""


def route_text(name='strike', path=None, access='customers = ["fletcher"]'):
    return f"""
[routes.{name}]
path = "{path or f'/{name}/'}"
service = "{name}"
methods = ["GET", "POST"]
timeout_ms = 2000
{access}
"""


def customer_text(name='fletcher', rate=100, keys=(KEY,)):
    digests = ', '.join(f'"{digest_key(key)}"' for key in keys)
    return f"""
[customers.{name}]
rate = {rate}
burst = 20
keys = [{digests}]
"""


def section_texts(**changes):
    texts = {
        'zones': ZONES,
        'services': service_text(),
        'routes': route_text(),
        'customers': customer_text(),
    }
    texts.update(changes)
    return texts


def section_contents(**changes):
    return {
        name: parse_section(text)
        for name, text in section_texts(**changes).items()
    }


def a_configured_node(name='entry-1', revision=1, **changes):
    node = new_node(a_settings(name), 1)
    revisions = [
        (section, Revision(revision), text)
        for section, text in section_texts(**changes).items()
    ]
    apply_sections(node, revisions, 0)
    return node


def a_node_with_peers(*peers, revision=1):
    """Returns a configured node with live peers."""
    node = a_configured_node(revision=revision)
    names = ('entry-1', *peers)
    set_instances(node, [an_instance(name) for name in names])
    for name in peers:
        node.members.get_or_create_peer(name).record_heartbeat(
            Deadline(math.inf), is_ready=True, is_leaving=False, load=0
        )
    return node
