"""Tests of what the platform's store says, decoded into our types."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilstep.exceptions import ItemError
from chervilstep.platform.decoding import (
    decode_listing,
    decode_terms,
)
from chervilstep.queries.headers import digest_key
from chervilstep.snapshot import Priority
from tests.platform_builders import (
    HOST,
    KEY,
    a_configuration,
    a_rule,
    an_entry,
    encoded,
)


def the_route(**changes):
    rules = [a_rule(**changes)]
    return decode_terms(encoded(a_configuration(rules=rules))).routes[0]


def test_configuration():
    terms = decode_terms(encoded(a_configuration(version=12)))
    assert terms.version == 12
    assert terms.limits.idle_seconds == 15
    (customer,) = terms.customers
    assert (customer.rate, customer.burst) == (77, 77)
    assert customer.digests == {digest_key(KEY)}
    assert customer.priority is Priority.NORMAL
    (service,) = terms.services
    assert service.health_path == '/health'
    assert service.cold_start is not None
    assert service.cold_start.calls_per_second == 12


def test_route():
    route = the_route()
    assert (route.host, route.path) == (HOST, '/leny950/')
    assert route.max_attempts == 2
    assert route.objective_seconds == pytest.approx(0.2)
    assert route.is_idempotent('POST')
    assert not route.is_open


def test_only_safe_routes_may_be_repeated():
    assert not the_route(kind='unsafe').is_idempotent('GET')
    assert not the_route(kind='unheard-of').is_idempotent('GET')


def test_split_route_keeps_the_weights():
    action = {
        'weightedServices': [
            {'service': 'a', 'weight': 90},
            {'service': 'b', 'weight': 10},
        ],
        'timeoutS': 1,
        'maxAttempts': 1,
    }
    parts = the_route(action=action).weighted_routes
    assert [(weight, part.service) for weight, part in parts] == [
        (90, 'a'),
        (10, 'b'),
    ]


def test_without_customers_no_route_asks_for_a_key():
    terms = decode_terms(encoded(a_configuration(tenants=[])))
    assert terms.routes[0].is_open


@pytest.mark.parametrize('rank', [-1, 0, 1, 2, 9])
def test_ranks_beyond_ours_count_as_the_nearest(rank):
    assert the_route(priority=rank).priority == min(max(rank, 0), 2)


def test_entry():
    listing = decode_listing('i-1', encoded(an_entry(born=1700)))
    assert listing.service == 'huvo11a'
    assert listing.upstream.identity == 'i-1'
    assert listing.upstream.slots == 3
    assert not listing.upstream.is_leaving


def test_restart_under_the_same_name_is_another_upstream():
    first = decode_listing('i-1', encoded(an_entry(born=1700)))
    second = decode_listing('i-1', encoded(an_entry(born=1800)))
    assert first.upstream.name != second.upstream.name
    assert first.upstream.identity == second.upstream.identity


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'{',
        b'[]',
        b'\xff\xfe',
        encoded({}),
        encoded(an_entry(address=5)),
        encoded(an_entry(state='dancing')),
        encoded(an_entry(born='yesterday')),
        encoded(an_entry(info={'service': 'x'})),
        encoded(an_entry(status=None)),
    ],
)
def test_entries_of_another_writer_name_no_upstream(content):
    with pytest.raises(ItemError):
        decode_listing('i-1', content)


@pytest.mark.parametrize(
    'changes',
    [
        {'version': 'new'},
        {'limits': {}},
        {'listeners': [{'host': HOST}]},
        {'tenants': [{}]},
    ],
)
def test_bad_configurations_are_refused(changes):
    with pytest.raises(ItemError):
        decode_terms(encoded(a_configuration(**changes)))


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(sorted(an_entry())), inner, max_size=4
        )
    ),
    max_leaves=8,
)


@given(JSON_VALUES)
def test_whatever_the_store_holds_ends_in_a_refusal_or_an_entry(value):
    content = encoded(value)
    for decode in (decode_terms, lambda raw: decode_listing('i', raw)):
        try:
            decode(content)
        except ItemError:
            continue
