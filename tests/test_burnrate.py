"""Tests of service-level events, burn rates, metrics and error exit codes."""

import json
from typing import Any

import pytest

from chervilstep import cmdline
from chervilstep.adapters.capabilities import load_capabilities
from chervilstep.adapters.htmlreport import burn_rate_page
from chervilstep.adapters.metrics import new_metrics
from chervilstep.calls import Answer
from chervilstep.commands.replying import discard_stale_subjects, record_reply
from chervilstep.queries.burnrate import describe_burn, merge_event_counts
from chervilstep.queries.explaining import explain
from chervilstep.refusals import (
    NO_UPSTREAM,
    RATE_EXCEEDED,
    UPSTREAM_LOST,
)
from chervilstep.slo import RETENTION_MINUTES, SECONDS_PER_MINUTE, EventSeries
from tests.builders import (
    a_node,
    a_route,
    a_service,
    a_snapshot,
    a_ticket,
    an_unlimited_node,
)

load_capabilities()

GOOD = Answer(200, 'OK', (), b'')


def burn_status(node, now) -> Any:
    return describe_burn(node, now)


def event_pair(series, minutes, now):
    counts = series.counts(minutes, now)
    return counts.good, counts.bad


def test_events_expire_minute_by_minute():
    series = EventSeries()
    series.add(0, is_good=True)
    series.add(SECONDS_PER_MINUTE, is_good=False)
    assert event_pair(series, 5, SECONDS_PER_MINUTE) == (1, 1)
    assert event_pair(series, 1, SECONDS_PER_MINUTE) == (0, 1)
    assert event_pair(series, 5, 5 * SECONDS_PER_MINUTE) == (0, 1)
    series.add((RETENTION_MINUTES + 1) * SECONDS_PER_MINUTE, is_good=True)
    late = (RETENTION_MINUTES + 1) * SECONDS_PER_MINUTE
    assert event_pair(series, RETENTION_MINUTES, late) == (1, 0)


def test_series_is_empty_long_after_its_last_event():
    series = EventSeries()
    series.add(0, is_good=True)
    late = 10 * RETENTION_MINUTES * SECONDS_PER_MINUTE
    assert event_pair(series, RETENTION_MINUTES, late) == (0, 0)


@pytest.mark.parametrize(
    ('reply', 'seconds', 'availability', 'latency'),
    [
        (GOOD, 0.1, [1, 0], [1, 0]),
        (GOOD, 0.9, [1, 0], [0, 1]),
        (Answer(500, 'Broken', (), b''), 0.1, [0, 1], [1, 0]),
        (UPSTREAM_LOST, 0.1, [0, 1], None),
        (NO_UPSTREAM, 0.1, [0, 1], None),
        (RATE_EXCEEDED, 0.1, None, None),
    ],
)
def test_reply_counts_for_service_and_customer(
    reply, seconds, availability, latency
):
    node = a_node()
    record_reply(node, a_ticket(now=0), reply, seconds)
    described = burn_status(node, seconds)
    for subject in ('service/strike', 'customer/fletcher'):
        for name, expected in (
            ('availability', availability),
            ('latency', latency),
        ):
            counts = described.get(f'{name}/{subject}', {'5m': None})
            assert counts['5m'] == expected


def test_burn_rates_are_summed_over_instances():
    nodes = [a_node(name='a'), a_node(name='b')]
    for node in nodes:
        for _ in range(49):
            record_reply(node, a_ticket(now=0), GOOD, 0.1)
        record_reply(node, a_ticket(now=0), UPSTREAM_LOST, 0.1)
    rows = merge_event_counts(burn_status(node, 1) for node in nodes)
    worst = rows[0]
    assert (worst.indicator, worst.counts['1h'].bad) == ('availability', 2)
    assert worst.rates['1h'] == pytest.approx(20)
    assert worst.alert == 'page'
    assert rows[-1].alert == ''
    assert 'fletcher' in burn_rate_page(rows)


def test_series_of_removed_subjects_are_discarded():
    node = a_node()
    record_reply(node, a_ticket(), GOOD, 0.1)
    node.configuration.publish(a_snapshot(services=[a_service('curing')]))
    discard_stale_subjects(node, 1)
    assert all('/service/' not in name for name in burn_status(node, 1))


def test_metrics_contain_counters_but_no_key():
    node = a_node()
    record_reply(node, a_ticket(now=0), GOOD, 0.25)
    record_reply(node, a_ticket(now=0), RATE_EXCEEDED, 0.25)
    metrics = new_metrics(node, lambda: 1)
    text = metrics.exposition().decode()
    text = metrics.exposition().decode()
    assert 'chervilstep_answers_total{' in text
    assert 'reason="rate-exceeded"' in text
    assert 'chervilstep_latency_seconds_bucket{' in text
    assert a_ticket().call.key_digest not in text


@pytest.mark.parametrize(
    ('path', 'customer', 'outcome'),
    [
        ('/strike/1', 'fletcher', 'by policy random'),
        ('/strike/1', '', 'missing-key'),
        ('/strike/1', 'beca', 'unknown-key'),
        ('/nowhere/1', 'fletcher', 'unknown-route'),
    ],
)
def test_explanation_ends_with_the_outcome(path, customer, outcome):
    node = an_unlimited_node(a_snapshot(routes=[a_route()]))
    explanation = explain(node, 'GET', path, customer, 1)
    assert outcome in explanation.outcome


def test_unreachable_instance_sets_the_exit_code(capsys):
    assert cmdline.main(['status', '127.0.0.1:1']) == 2
    assert '127.0.0.1:1' in capsys.readouterr().err


def test_serve_reports_every_settings_fault(tmp_path, capsys):
    path = tmp_path / 'settings.toml'
    path.write_text('nmae = "entry-1"\nzone = 3\n')
    assert cmdline.main(['serve', '--settings', str(path)]) == 2
    printed = capsys.readouterr().err
    assert "nmae: unknown name; did you mean 'name'?" in printed
    assert 'zone: must be a non-empty string' in printed
    assert 'entry_address: is missing' in printed


def test_no_series_exist_before_a_reply():
    node = a_node()
    assert json.dumps(burn_status(node, 0)) == '{}'
