"""Tests of the rules for headers."""

import pytest

from chervilstep.queries.headers import (
    MAX_MILLISECONDS,
    parse_milliseconds,
    request_headers,
)


def test_every_connection_header_names_headers_to_remove():
    headers = [
        ('Connection', 'A, b'),
        ('A', '1'),
        ('Connection', 'c'),
        ('B', '2'),
        ('C', '3'),
        ('D', '4'),
    ]
    assert request_headers(headers) == (('D', '4'),)


@pytest.mark.parametrize(
    ('text', 'milliseconds'),
    [('0', 0), ('250', 250), ('9' * 20, MAX_MILLISECONDS)],
)
def test_milliseconds_are_parsed(text, milliseconds):
    assert parse_milliseconds(text) == milliseconds


@pytest.mark.parametrize(
    'text', [None, '', '-1', '1.5', '٣', '²', 'inf', '9' * 5000]
)
def test_malformed_milliseconds_are_ignored(text):
    assert parse_milliseconds(text) is None
