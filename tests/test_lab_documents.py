"""Tests of edits of the document and of the ports in it."""

import pytest

from chervilstep.adapters.capabilities import load_capabilities
from chervilstep.queries.composition import compose
from chervilstep.queries.document import parse_section
from lab import documents
from lab.documents import RateLimit
from tests.lab_builders import a_document, a_topology


def compose_snapshot(texts):
    # A document may only name policies that are loaded, as in an instance.
    load_capabilities()
    section_contents = {
        name: parse_section(text) for name, text in texts.items()
    }
    return compose(section_contents).snapshot


@pytest.mark.parametrize('name', ['nz', 'sk'])
def test_document_has_the_ports_of_the_topology(name):
    topology = a_topology(name)
    snapshot = compose_snapshot(a_document(topology, policy='two-choices'))
    addresses = {
        upstream.name: upstream.address
        for service in snapshot.services.values()
        for upstream in service.upstreams
    }
    assert addresses == {
        endpoint.name: f'127.0.0.1:{endpoint.port}'
        for endpoint in topology.upstreams
    }
    policies = {service.policy for service in snapshot.services.values()}
    assert policies == {'two-choices'}


def test_limits_replace_rate_and_burst():
    limits = {'fletcher': RateLimit(7, 3)}
    customer = compose_snapshot(a_document(limits=limits)).customers['fletcher']
    assert (customer.rate, customer.burst) == (7, 3)


def test_revoked_customer_has_no_keys():
    texts = a_document()
    text = documents.without_keys(texts[documents.CUSTOMERS], 'downer')
    customers = parse_section(text).customers
    assert not customers['downer'].digests
    assert all(
        customer.digests
        for name, customer in customers.items()
        if name != 'downer'
    )


def test_zone_and_upstream_are_withdrawn():
    texts = a_document()
    zones = documents.with_zone(texts[documents.ZONES], 'ham', 'withdrawn')
    services = documents.with_upstream_leaving(
        texts[documents.SERVICES], 'strike-2'
    )
    snapshot = compose_snapshot(
        {**texts, documents.ZONES: zones, documents.SERVICES: services}
    )
    assert snapshot.is_withdrawn('ham')
    leaving = [
        upstream.name
        for upstream in snapshot.services['strike'].upstreams
        if upstream.is_leaving
    ]
    assert leaving == ['strike-2']


def test_edit_without_a_match_raises():
    with pytest.raises(ValueError, match='nowhere'):
        documents.with_zone('[zones]\n', 'nowhere', 'withdrawn')
