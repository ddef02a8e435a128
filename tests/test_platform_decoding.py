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
    a_changed_entry,
    a_configuration,
    a_rule,
    a_server_entry,
    an_entry_without,
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


#: Values that another process may write in the place of a number.
NO_NUMBERS: tuple[object, ...] = (
    '7',
    True,
    None,
    [3],
    {},
    -1,
    10**29,
    float('inf'),
    float('nan'),
    '1000000000',
)
#: Values that another process may write in the place of a name.
NO_NAMES: tuple[object, ...] = (
    '',
    5,
    True,
    None,
    ['akl'],
    'a\nb',
    'a\r\nX-Tenant-Id: other',
    '\ud800',
    'x' * 100_000,
)


@pytest.mark.parametrize('field', (*NO_NUMBERS, 0, 2.5, 10**9))
def test_slots_are_a_bounded_integer(field):
    """Guards against slots as text, over which every instance looped."""
    entry = a_changed_entry('info.slots', field)
    with pytest.raises(ItemError):
        decode_upstream_entry('i-1', encode_json(entry))


@pytest.mark.parametrize('field', (*NO_NUMBERS, 2.5))
@pytest.mark.parametrize('path', ['status.seqNo', 'born'])
def test_counts_of_an_entry_are_integers(path, field):
    entry = a_changed_entry(path, field)
    with pytest.raises(ItemError):
        decode_upstream_entry('i-1', encode_json(entry))


@pytest.mark.parametrize('field', (*NO_NUMBERS, 1e300))
def test_cold_time_is_a_bounded_number(field):
    entry = a_changed_entry('status.coldLeftS', field)
    with pytest.raises(ItemError):
        decode_upstream_entry('i-1', encode_json(entry))


@pytest.mark.parametrize('field', NO_NAMES)
@pytest.mark.parametrize(
    'path', ['info.service', 'info.zone', 'info.version', 'status.state']
)
def test_names_of_an_entry_are_short_printable_texts(path, field):
    entry = a_changed_entry(path, field)
    with pytest.raises(ItemError):
        decode_upstream_entry('i-1', encode_json(entry))


@pytest.mark.parametrize(
    'path',
    [
        'address',
        'info',
        'info.service',
        'info.version',
        'info.zone',
        'info.slots',
        'status',
        'status.state',
        'status.seqNo',
        'status.coldLeftS',
    ],
)
def test_entry_without_a_field_is_refused(path):
    """Guards against a partial entry that sent requests to another service."""
    with pytest.raises(ItemError):
        decode_upstream_entry('i-1', encode_json(an_entry_without(path)))


@pytest.mark.parametrize(
    'address',
    [
        '127.0.0.1:0',
        '127.0.0.1:00080',
        '127.0.0.1:-1',
        '127.0.0.1:70000',
        '127.0.0.1:8080x',
        '127.0.0.1: 80',
        '0.0.0.0:80',
        '224.0.0.1:80',
        '[::1%a\r\nX-Tenant-Id: other]:80',
        ['127.0.0.1:80'],
    ],
)
def test_address_is_that_of_one_host(address):
    entry = a_server_entry(address=address)
    with pytest.raises(ItemError):
        decode_upstream_entry('i-1', encode_json(entry))


@pytest.mark.parametrize(
    'identity', ['', 'i-1\r\nX-Tenant-Id: other', 'i-\xe9', 'i' * 1000]
)
def test_identity_is_a_header_value(identity):
    with pytest.raises(ItemError):
        decode_upstream_entry(identity, encode_json(a_server_entry()))


def test_largest_sound_entry_is_decoded():
    entry = a_changed_entry('info.slots', 65535)
    entry['status'].update(seqNo=2**63 - 1, coldLeftS=10**6)
    decoded = decode_upstream_entry('i-1', encode_json(entry))
    assert decoded.upstream.slots == 65535
    assert decoded.cold_seconds == 10**6


@pytest.mark.parametrize(
    'changes',
    [
        {'version': '0x0c'},
        {'version': ' 12'},
        {'version': 'f' * 16},
        {'rules': [a_rule(sloS='0.2')]},
        {'rules': [a_rule(sloS=float('nan'))]},
        {'rules': [a_rule(public='no')]},
        {'rules': [a_rule(priority='0')]},
        {'rules': [a_rule(name='\ud800')]},
        {'tenants': [{'name': 'cuka620', 'ratePerS': float('inf')}]},
        {'tenants': [{'name': 'cuka620', 'burst': '77'}]},
        {'tenants': [{'name': 'cuka620', 'apiKeys': ['\ud800']}]},
        {'clusters': [{'name': 'huvo11a', 'coldStartS': True}]},
    ],
)
def test_fields_of_a_configuration_are_not_converted(changes):
    with pytest.raises(ItemError):
        decode_config(encode_json(a_configuration(**changes)))
