"""Tests of parsing the settings, and of their reference page."""

import pathlib

import pytest

from chervilstep import settings as defaults
from chervilstep.exceptions import SettingsError
from chervilstep.queries import settings as rules
from tests.builders import SETTINGS

REFERENCE = pathlib.Path(__file__).parent.parent / 'docs/CONFIGURATION.md'


def reference_rows():
    for line in REFERENCE.read_text().splitlines():
        cells = [cell.strip() for cell in line.split('|')]
        if line.startswith('| `') and cells[2] in {'yes', 'no'}:
            yield cells[1].strip('`'), cells[2:5]


def test_reference_names_every_setting():
    assert tuple(name for name, _ in reference_rows()) == rules.SETTING_NAMES


def test_reference_lists_required_settings():
    with pytest.raises(SettingsError) as caught:
        rules.parse_settings('')
    missing = {line.partition(':')[0] for line in str(caught.value).split('\n')}
    assert missing == {
        name for name, cells in reference_rows() if cells[0] == 'yes'
    }


@pytest.mark.parametrize(
    ('name', 'limits'),
    [
        (
            'body_limit_bytes',
            (
                defaults.DEFAULT_BODY_LIMIT_BYTES,
                rules.MIN_LIMIT_BYTES,
                rules.MAX_BODY_LIMIT_BYTES,
            ),
        ),
        (
            'header_limit_bytes',
            (
                defaults.DEFAULT_HEADER_LIMIT_BYTES,
                rules.MIN_LIMIT_BYTES,
                rules.MAX_HEADER_LIMIT_BYTES,
            ),
        ),
    ],
)
def test_reference_states_defaults_and_bounds(name, limits):
    default, low, high = limits
    cells = dict(reference_rows())[name]
    assert cells[1] == str(default)
    assert cells[2].endswith(f'{low} to {high}')


def test_seed_addresses_are_parsed():
    text = f'{SETTINGS}[seeds]\nentry-2 = "127.0.0.1:9002"\n'
    assert rules.parse_settings(text).seeds == {'entry-2': '127.0.0.1:9002'}
    with pytest.raises(SettingsError, match='seeds.entry-2: .*ip:port'):
        rules.parse_settings(f'{SETTINGS}[seeds]\nentry-2 = "host:1"\n')


def test_all_faults_are_listed():
    text = SETTINGS.replace('127.0.0.1:8001', 'host').replace('zone', 'zoen')
    with pytest.raises(SettingsError) as caught:
        rules.parse_settings(f'{text}body_limit_bytes = true\n')
    names = [line.partition(':')[0] for line in str(caught.value).split('\n')]
    assert sorted(names) == [
        'body_limit_bytes',
        'entry_address',
        'zoen',
        'zone',
    ]
