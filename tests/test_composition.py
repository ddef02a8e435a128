"""Tests of merging sections into a snapshot."""

import pytest

from chervilstep.adapters.capabilities import load_capabilities
from chervilstep.queries.access import authenticate
from chervilstep.queries.composition import compose
from chervilstep.queries.document import parse_section
from chervilstep.queries.kinds import DEFAULT_POLICY
from chervilstep.queries.routing import resolve
from chervilstep.refusals import (
    BAD_REQUEST,
    FORBIDDEN_ROUTE,
    METHOD_NOT_ALLOWED,
    MISSING_KEY,
    NOT_READY,
    UNKNOWN_KEY,
    UNKNOWN_ROUTE,
)
from chervilstep.snapshot import Route, new_empty_snapshot
from tests.builders import KEY, digest_key
from tests.document_builders import (
    customer_text,
    route_text,
    section_contents,
    service_text,
    zones_text,
)

OPEN = 'open = true'

load_capabilities()


def matching_route(snapshot, method, path):
    route = resolve(snapshot, method, path)
    assert isinstance(route, Route)
    return route


def access_decision(snapshot, path='/strike/1', key=KEY, method='GET'):
    route = matching_route(snapshot, method, path)
    return authenticate(snapshot, route, digest_key(key) if key else None)


def test_valid_sections_have_no_conflicts():
    composition = compose(section_contents())
    assert composition.conflicts == ()
    assert access_decision(composition.snapshot).name == 'fletcher'


def test_missing_service_has_no_upstreams():
    composition = compose(section_contents(services=''))
    assert composition.snapshot.services['strike'].upstreams == ()
    assert composition.conflicts == (
        "route 'strike': service 'strike' is missing",
    )


def test_missing_customer_is_refused():
    composition = compose(section_contents(customers=''))
    assert access_decision(composition.snapshot) is UNKNOWN_KEY
    assert 'customer' in composition.conflicts[0]


def test_missing_zone_counts_as_withdrawn():
    composition = compose(section_contents(zones=''))
    assert composition.snapshot.is_withdrawn('akl')
    assert 'zone' in composition.conflicts[0]


def test_zone_with_conflicting_states_is_withdrawn():
    other = zones_text(akl='withdrawn')
    snapshot = compose(section_contents(other=other)).snapshot
    assert snapshot.is_withdrawn('akl')
    assert not snapshot.is_withdrawn('ham')


def test_key_of_two_customers_is_refused():
    composition = compose(section_contents(other=customer_text('hiway')))
    assert access_decision(composition.snapshot) is UNKNOWN_KEY
    assert 'fletcher, hiway' in composition.conflicts[0]


def test_conflicting_customer_definitions_are_left_out():
    other = customer_text(keys=['stolen'])
    snapshot = compose(section_contents(other=other)).snapshot
    assert access_decision(snapshot, key='stolen') is UNKNOWN_KEY
    assert access_decision(snapshot) is UNKNOWN_KEY


def test_conflicting_service_definitions_are_left_out():
    other = service_text(port=6666, prefix='evil')
    snapshot = compose(section_contents(other=other)).snapshot
    assert snapshot.services['strike'].upstreams == ()


def test_upstream_of_two_services_is_left_out():
    other = service_text('intake', port=9999, prefix='strike')
    composition = compose(section_contents(other=other))
    assert composition.snapshot.services['strike'].upstreams == ()
    assert composition.snapshot.services['intake'].upstreams == ()
    assert "upstream 'strike-1'" in composition.conflicts[0]


@pytest.mark.parametrize(
    'other', [route_text('b', '/strike/', OPEN), route_text(access=OPEN)]
)
def test_conflicting_route_does_not_fall_through(other):
    everything = route_text('everything', '/', OPEN)
    snapshot = compose(section_contents(other=other, more=everything)).snapshot
    assert access_decision(snapshot) is FORBIDDEN_ROUTE
    assert access_decision(snapshot, key=None) is MISSING_KEY
    assert access_decision(snapshot, '/elsewhere') is None


def test_both_paths_of_a_conflicting_route_are_closed():
    other = route_text(path='/other/')
    snapshot = compose(section_contents(other=other)).snapshot
    assert access_decision(snapshot) is FORBIDDEN_ROUTE
    assert access_decision(snapshot, '/other/1') is FORBIDDEN_ROUTE


def test_equal_definitions_let_names_move_between_sections():
    composition = compose(
        section_contents(other=customer_text() + route_text())
    )
    assert composition.conflicts == ()
    assert access_decision(composition.snapshot).name == 'fletcher'


def test_two_keys_of_one_customer_work_during_rotation():
    snapshot = compose(
        section_contents(customers=customer_text(keys=['old', 'new']))
    ).snapshot
    assert access_decision(snapshot, key='old') is access_decision(
        snapshot, key='new'
    )


def test_keys_of_open_and_closed_routes():
    other = route_text('open', access=OPEN) + customer_text('hiway', keys='h')
    snapshot = compose(section_contents(other=other)).snapshot
    assert access_decision(snapshot, key=None) is MISSING_KEY
    assert access_decision(snapshot, key='revoked') is UNKNOWN_KEY
    assert access_decision(snapshot, key='h') is FORBIDDEN_ROUTE
    assert access_decision(snapshot, '/open/1', key=None) is None
    assert access_decision(snapshot, '/open/1', key='revoked') is None


@pytest.mark.parametrize(
    ('method', 'path', 'expected'),
    [
        ('GET', '/', UNKNOWN_ROUTE),
        ('GET', '/strike', UNKNOWN_ROUTE),
        ('PUT', '/strike/1', METHOD_NOT_ALLOWED),
        ('GET', '/open/../strike/1', BAD_REQUEST),
        ('GET', '/open/%2e%2e/strike/1', BAD_REQUEST),
        ('GET', '/open/..%2Fstrike/1', BAD_REQUEST),
        ('GET', '//strike/1', BAD_REQUEST),
        ('GET', '/open/..', BAD_REQUEST),
        ('GET', '/open/%5c..', BAD_REQUEST),
    ],
)
def test_refused_paths(method, path, expected):
    assert (
        resolve(compose(section_contents()).snapshot, method, path) is expected
    )


@pytest.mark.parametrize(
    'path', ['/strike/', '/strike/a/b', '/%73trike/1', '/strike/a.b/..c']
)
def test_longest_prefix_matches(path):
    other = route_text('everything', '/', OPEN)
    snapshot = compose(section_contents(other=other)).snapshot
    assert matching_route(snapshot, 'GET', path).name == 'strike'


def test_empty_configuration_refuses_as_not_ready():
    assert resolve(new_empty_snapshot(), 'GET', '/') is NOT_READY


def test_conflicts_do_not_depend_on_section_order():
    given = section_contents(
        other=customer_text(keys=['x']) + route_text('b', '/s/')
    )
    backwards = dict(reversed(given.items()))
    assert compose(given).conflicts == compose(backwards).conflicts
    assert parse_section(zones_text()).zones == {}


def test_unknown_policy_is_replaced_by_the_default():
    text = service_text().replace('slots', 'policy = "two-choice"\nslots')
    composition = compose(section_contents(services=text))
    assert composition.snapshot.services['strike'].policy == DEFAULT_POLICY
    assert "mean 'two-choices'" in composition.conflicts[0]
