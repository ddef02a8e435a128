"""Tests of tracing a request through the logs of several instances."""

import pytest

from chervilstep import cmdline
from chervilstep.adapters.logs import format_line, parse_line
from chervilstep.exceptions import LogError
from chervilstep.platform.edge import PLATFORM_EDGE
from chervilstep.queries.tracing import trace_request
from tests.answer_builders import REQUEST_ID, a_raw_answer
from tests.entry_builders import fetch_through
from tests.log_builders import a_log_line

ID = '9c41d07be2a35f68'


def parse_logs(**logs):
    return [
        parse_line(source, text)
        for source, texts in logs.items()
        for text in texts
    ]


def traced_events(lines):
    return [line.event for line in trace_request(ID, lines)]


def test_lines_of_a_request_are_sorted_by_time():
    lines = parse_logs(
        one=[a_log_line('request_refused', 9, request=ID)],
        two=[
            a_log_line('request_answered', 12, request=ID),
            a_log_line('attempt_ended', 11, request=ID, upstream='i-1'),
            a_log_line('attempt_ended', 11, request='other', upstream='i-1'),
        ],
    )
    assert traced_events(lines) == [
        'request_refused',
        'attempt_ended',
        'request_answered',
    ]


def test_earlier_events_of_the_instance_are_included():
    lines = parse_logs(
        one=[
            a_log_line('store_lost', 1),
            a_log_line('peer_lost', 20, peer='b'),
            a_log_line('store_regained', 31),
            a_log_line('request_refused', 30, request=ID),
        ],
        two=[a_log_line('zone_withdrawn', 29, zone='akl')],
    )
    assert traced_events(lines) == ['peer_lost', 'request_refused']


def test_events_of_untried_upstreams_are_left_out():
    lines = parse_logs(
        one=[
            a_log_line('upstream_struck', 1, key='servers/i-1'),
            a_log_line('upstream_struck', 1, key='servers/i-2'),
            a_log_line('upstream_closed', 2, upstream='i-1'),
            a_log_line('attempt_ended', 3, request=ID, upstream='i-1'),
        ]
    )
    assert traced_events(lines) == [
        'upstream_struck',
        'upstream_closed',
        'attempt_ended',
    ]


def test_events_of_an_upstream_named_with_its_start_are_included():
    lines = parse_logs(
        one=[
            a_log_line('upstream_struck', 1, key='servers/i-1'),
            a_log_line('limit_stated', 2, upstream='i-1/17'),
            a_log_line('limit_stated', 2, upstream='i-2/17'),
            a_log_line('attempt_ended', 3, request=ID, upstream='i-1/17'),
        ]
    )
    assert traced_events(lines) == [
        'upstream_struck',
        'limit_stated',
        'attempt_ended',
    ]


def test_broken_health_answers_of_a_tried_upstream_are_included():
    lines = parse_logs(
        one=[
            a_log_line(
                'check_broken', 1, upstream='i-1/17', fault='status 000'
            ),
            a_log_line(
                'check_broken', 1, upstream='i-2/17', fault='status 000'
            ),
            a_log_line('attempt_ended', 2, request=ID, upstream='i-1/17'),
        ]
    )
    assert traced_events(lines) == ['check_broken', 'attempt_ended']


def test_trace_names_the_upstream_and_the_fault_of_a_broken_answer():
    _, entry, _ = fetch_through(PLATFORM_EDGE, a_raw_answer(b'000 None'))
    texts = [a_log_line(name, 1, **fields) for name, fields in entry.events]
    traced = trace_request(REQUEST_ID, parse_logs(one=texts))
    (attempt,) = [line for line in traced if line.event == 'attempt_ended']
    printed = format_line(attempt)
    assert 'upstream="strike-1"' in printed
    assert 'fault="status 000 is not within 100 to 599"' in printed


def test_format_of_a_line():
    text = a_log_line('request_refused', 3.5, request=ID, reason='queue-full')
    assert (
        format_line(parse_line('entry-1', text))
        == '10:00:03.500 entry-1 request_refused reason="queue-full"'
    )


@pytest.mark.parametrize('text', ['', '[]', '{}', '{"event": "x"}', 'null'])
def test_invalid_lines_raise_log_error(text):
    with pytest.raises(LogError):
        parse_line('entry-1', text)


def test_trace_command_reads_several_logs(tmp_path, capsys):
    logs = {
        'a': [a_log_line('request_refused', 3, request=ID), 'Traceback'],
        'b': [a_log_line('request_answered', 4, request=ID)],
    }
    paths = []
    for name, texts in logs.items():
        path = tmp_path / f'{name}.log'
        path.write_text('\n'.join(texts))
        paths.append(str(path))
    assert cmdline.main(['trace', ID, *paths]) == 0
    printed = capsys.readouterr()
    assert [line.split()[1] for line in printed.out.splitlines()] == ['a', 'b']
    assert 'line skipped' in printed.err
    assert cmdline.main(['trace', 'nobody', *paths]) == 1
    assert cmdline.main(['trace', ID, str(tmp_path / 'none.log')]) == 2
