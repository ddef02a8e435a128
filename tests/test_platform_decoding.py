"""Tests of decoding the items of the platform's store."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilstep.exceptions import ItemError
from chervilstep.platform.decoding import (
    decode_config,
    decode_upstream_entry,
)
from chervilstep.queries.headers import digest_key
from chervilstep.snapshot import Priority
from tests.platform_builders import (
    HOST,
    KEY,
    a_configuration,
    a_rule,
    a_server_entry,
    encode_json,
)


def a_decoded_route(**changes):
    rules = [a_rule(**changes)]
    return decode_config(encode_json(a_configuration(rules=rules))).routes[0]


def test_configuration_is_decoded():
    config = decode_config(encode_json(a_configuration(version=12)))
    assert config.version == 12
    assert config.limits.idle_seconds == 15
    (customer,) = config.customers
    assert (customer.rate, customer.burst) == (77, 77)
    assert customer.digests == {digest_key(KEY)}
    assert customer.priority is Priority.NORMAL
    (service,) = config.services
    assert service.health_path == '/health'
    assert service.cold_start is not None
    assert service.cold_start.calls_per_second == 12


def test_route_is_decoded():
    route = a_decoded_route()
    assert (route.host, route.path) == (HOST, '/leny950/')
    assert route.max_attempts == 2
    assert route.objective_seconds == pytest.approx(0.2)
    assert route.is_idempotent('POST')
    assert not route.is_open


def test_only_safe_routes_are_idempotent():
    assert not a_decoded_route(kind='unsafe').is_idempotent('GET')
    assert not a_decoded_route(kind='unheard-of').is_idempotent('GET')


def test_split_route_keeps_the_weights():
    action = {
        'weightedServices': [
            {'service': 'a', 'weight': 90},
            {'service': 'b', 'weight': 10},
        ],
        'timeoutS': 1,
        'maxAttempts': 1,
    }
    weighted = a_decoded_route(action=action).weighted_routes
    assert [(weight, route.service) for weight, route in weighted] == [
        (90, 'a'),
        (10, 'b'),
    ]


def test_routes_are_open_without_customers():
    config = decode_config(encode_json(a_configuration(tenants=[])))
    assert config.routes[0].is_open


@pytest.mark.parametrize('priority', [-1, 0, 1, 2, 9])
def test_priority_is_clamped(priority):
    assert a_decoded_route(priority=priority).priority == min(
        max(priority, 0), 2
    )


def test_upstream_entry_is_decoded():
    entry = decode_upstream_entry('i-1', encode_json(a_server_entry(born=1700)))
    assert entry.service == 'huvo11a'
    assert entry.upstream.identity == 'i-1'
    assert entry.upstream.slots == 3
    assert not entry.upstream.is_leaving


def test_restarted_server_is_a_new_upstream():
    first = decode_upstream_entry('i-1', encode_json(a_server_entry(born=1700)))
    second = decode_upstream_entry(
        'i-1', encode_json(a_server_entry(born=1800))
    )
    assert first.upstream.name != second.upstream.name
    assert first.upstream.identity == second.upstream.identity


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'{',
        b'[]',
        b'\xff\xfe',
        encode_json({}),
        encode_json(a_server_entry(address=5)),
        encode_json(a_server_entry(state='dancing')),
        encode_json(a_server_entry(born='yesterday')),
        encode_json(a_server_entry(info={'service': 'x'})),
        encode_json(a_server_entry(status=None)),
        encode_json(a_server_entry(address='127.0.0.1')),
        encode_json(a_server_entry(address='localhost:80')),
        encode_json(a_server_entry(address='127.0.0.1:65536')),
        encode_json(a_server_entry(address='127.0.0.1:' + '9' * 5000)),
        b'[' * 100_000,
    ],
)
def test_malformed_upstream_entries_are_refused(content):
    with pytest.raises(ItemError):
        decode_upstream_entry('i-1', content)


@pytest.mark.parametrize(
    'changes',
    [
        {'version': 'new'},
        {'limits': {}},
        {'listeners': [{'host': HOST}]},
        {'tenants': [{}]},
        {'tenants': [{'name': ['cuka620']}]},
        {'clusters': [{'name': ['huvo11a']}]},
        {'clusters': [{'name': ''}]},
        {'clusters': [{'name': 'huvo11a', 'healthPath': ['/health']}]},
        {'listeners': [{'host': [HOST], 'ruleSet': [a_rule()]}]},
        {'rules': [a_rule(name=['r-1'])]},
        {'rules': [a_rule(match={'prefix': ['/']})]},
        {'rules': [a_rule(action={'service': ['a'], 'timeoutS': 1})]},
        {'limits': {'maxHeaderBytes': float('inf')}},
    ],
)
def test_malformed_configurations_are_refused(changes):
    with pytest.raises(ItemError):
        decode_config(encode_json(a_configuration(**changes)))


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(sorted(a_server_entry())), inner, max_size=4
        )
    ),
    max_leaves=8,
)


@given(JSON_VALUES)
def test_any_json_value_is_decoded_or_refused(value):
    content = encode_json(value)
    for decode in (decode_config, lambda raw: decode_upstream_entry('i', raw)):
        try:
            decode(content)
        except ItemError:
            continue
