"""Tests of the parsing of sections."""

import pathlib

import pytest

from chervilstep.adapters.capabilities import load_capabilities
from chervilstep.exceptions import SectionError
from chervilstep.queries.composition import compose
from chervilstep.queries.document import parse_section
from chervilstep.snapshot import Priority
from tests.document_builders import (
    customer_text,
    route_text,
    section_texts,
    service_text,
)

load_capabilities()
EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'


def parse_faults(text):
    with pytest.raises(SectionError) as caught:
        parse_section(text)
    return str(caught.value).splitlines()


def test_valid_document_is_parsed():
    content = parse_section('\n'.join(section_texts().values()))
    route = content.routes['strike']
    assert route.priority is Priority.NORMAL
    assert route.timeout_seconds == 2
    assert route.is_idempotent('GET')
    assert not route.is_idempotent('POST')
    assert content.services['strike'].upstreams[0].slots == 3
    assert content.customers['fletcher'].rate == 100


@pytest.mark.parametrize(
    ('text', 'fault'),
    [
        ('[zones\n', 'syntax: .*line 1'),
        ('[route.x]\n', "route: unknown name; did you mean 'routes'?"),
        ('[zones]\nakl = "widthdrawn"', "zones.akl: .*mean 'withdrawn'"),
        (
            route_text() + 'prioritty = "bulk"',
            "routes.strike.prioritty: unknown name; did you mean 'priority'",
        ),
        (route_text(path='strike'), 'routes.strike.path: .*slash'),
        (route_text(path='/a/../'), 'routes.strike.path: .*relative'),
        (route_text(access='open = 1'), 'routes.strike.open: must be true'),
        (route_text(access=''), 'routes.strike.customers: a route must'),
        (
            route_text(access='open = true\ncustomers = ["x"]'),
            'routes.strike.open: .*not both',
        ),
        (route_text() + route_text('b', '/strike/'), 'routes.b.path: .*same'),
        (customer_text(rate='nan'), 'customers.fletcher.rate: must be'),
        (customer_text(rate='true'), 'customers.fletcher.rate: must be'),
        (
            customer_text() + customer_text('hiway'),
            "customers.hiway.keys: a key of 'fletcher'",
        ),
        (
            service_text() + service_text('intake'),
            'services.intake.upstreams.0.: duplicate address',
        ),
        (service_text(zone='A K L'), 'services.strike.upstreams.0..zone: .*'),
        (service_text(port=70000), 'services.strike.upstreams.0..address: .*'),
        ('[services]\nstrike = 1', 'services.strike: must be a table'),
        ('services = 1', 'services: must be a table'),
        ('[services.x]\nupstreams = [1]\nslots = 1', 'services.x.upstreams: '),
    ],
)
def test_fault_names_its_path(text, fault):
    with pytest.raises(SectionError, match=fault):
        parse_section(text)


def test_all_faults_are_listed():
    faults = parse_faults(route_text(path='x') + '[customers.a]\nrat = 1')
    paths = [fault.partition(':')[0] for fault in faults]
    assert paths == [
        'customers.a.rat',
        'customers.a.rate',
        'customers.a.burst',
        'routes.strike.path',
    ]


def test_invalid_digest_is_not_in_the_message():
    text = '[customers.a]\nrate = 1\nburst = 1\nkeys = ["a-secret-key"]'
    assert 'a-secret-key' not in '\n'.join(parse_faults(text))


@pytest.mark.parametrize('deployment', ['nz', 'sk'])
def test_examples_are_valid(deployment):
    contents = {
        path.stem: parse_section(path.read_text())
        for path in (EXAMPLES / deployment).glob('*.toml')
    }
    composition = compose(contents)
    snapshot = composition.snapshot
    assert composition.conflicts == ()
    assert len(snapshot.zones) == 4
    assert len(snapshot.services) == 4
    assert len(snapshot.customers) == 8
