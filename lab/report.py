"""Writes the results of a trial: JSON, a plot and an HTML page."""

import json
import pathlib
from collections.abc import Mapping, Sequence
from typing import Any, Final

import jinja2
import matplotlib as mpl
from matplotlib import pyplot as plt

from lab.experiment import Bench, Trial
from lab.measures import Measures, data_of
from lab.queries.measuring import TurnResult

mpl.use('Agg')

_MS: Final = 1000
#: Above this the lab measures the machine rather than the instances.
LATENESS_LIMIT_MS: Final = 20
_BIN_SECONDS: Final = 0.5
_PLOT_HEIGHT: Final = 3.2
_PLOT_WIDTH: Final = 10
_PAGE: Final = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{ title }}</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; margin: 2em auto;
       max-width: 70em; color: #222; padding: 0 1em }
table { border-collapse: collapse; margin: 1em 0 }
th, td { padding: .25em .7em; text-align: right; border-bottom: 1px solid #ddd }
th:first-child, td:first-child { text-align: left }
.bad { color: #b00020; font-weight: 600 }
img { max-width: 100% }
</style>
<h1>{{ title }}</h1>
<p>{{ about }}</p>
{% for fault, policies in measured.items() %}
<h2>{{ fault }}</h2>
<table>
<tr><th>policy<th>sent<th>answered<th>p50 ms<th>p99 ms<th>p99.9 ms
<th>wrongly refused<th>worst-served<th>its share answered<th>its p99 ms
<th>CPU ms a request<th>probes' share of slots<th>lab late ms<th>faults</tr>
{% for policy, m in policies.items() %}
<tr><td>{{ policy or 'default' }}<td>{{ m.sent }}<td>{{ m.tail.count }}
<td>{{ '%.1f'|format(m.tail.p50) }}<td>{{ '%.1f'|format(m.tail.p99) }}
<td>{{ '%.1f'|format(m.tail.p999) }}<td>{{ m.wrongful.values()|sum }}
<td>{{ m.worst }}
<td>{{ '%.2f %%'|format(100 * m.customers[m.worst].answered_share) }}
<td>{{ '%.1f'|format(m.customers[m.worst].tail.p99) }}
<td>{{ '%.2f'|format(m.cost.entry_cpu_ms_a_request) }}
<td>{{ '%.2f %%'|format(100 * m.cost.probe_share_of_slots) }}
<td{% if m.lateness.p99 > limit %} class="bad"{% endif %}>
{{ '%.1f'|format(m.lateness.p99) }}
<td{% if not m.checks.are_clean %} class="bad"{% endif %}>
{{ 'none' if m.checks.are_clean else checks[fault][policy] }}</tr>
{% endfor %}
</table>
<img src="{{ plots[fault] }}" alt="Latency over the turn">
{% endfor %}
</html>
"""


def write_report(
    folder: pathlib.Path,
    trial: Trial,
    bench: Bench,
    measured: Mapping[str, Mapping[str, Measures]],
) -> pathlib.Path:
    """Writes all results to ``folder``; returns the path of the page."""
    folder.mkdir(parents=True, exist_ok=True)
    about = describe(trial)
    result = {'about': about, 'measures': data_of(measured)}
    (folder / 'result.json').write_text(json.dumps(result, indent=1))
    plots = {}
    for fault in measured:
        plots[fault] = f'{fault}.png'
        _plot(folder / plots[fault], fault, bench, trial.policies)
    page = jinja2.Environment(autoescape=True).from_string(_PAGE)
    path = folder / 'report.html'
    path.write_text(
        page.render(
            title=f'Deployment {trial.plan.name}',
            about=about,
            measured=measured,
            plots=plots,
            checks=_checks_texts(measured),
            limit=LATENESS_LIMIT_MS,
        )
    )
    return path


def describe(trial: Trial) -> str:
    """One line on what was run."""
    return (
        f'{trial.plan.name}: load {trial.load}, {trial.rate:.0f} requests/s,'
        f' mean service time {trial.mean_seconds * _MS:.0f} ms,'
        f' {trial.seconds:.0f} s a turn, {trial.rounds} rounds,'
        f' rates {trial.headroom} times the load, seed {trial.seed}'
    )


def print_summary(measured: Mapping[str, Mapping[str, Measures]]) -> None:
    """Prints the five measures and the checks."""
    for fault, policies in measured.items():
        for policy, measures in policies.items():
            _print_one(fault, policy or 'default', measures)


def _print_one(fault: str, policy: str, measures: Measures) -> None:
    tail, worst = measures.tail, measures.customers[measures.worst]
    print(f'\n{fault}, {policy}')
    print(
        f'  tail latency     p50 {tail.p50:.1f}  p99 {tail.p99:.1f}'
        f'  p99.9 {tail.p999:.1f} ms over {tail.count} answers of'
        f' {measures.sent}'
    )
    print(f'  cost             {dict(measures.cost)}')
    print(
        f'  worst customer   {measures.worst}: answered'
        f' {worst.answered_share:.4f}, p99 {worst.tail.p99:.1f} ms'
    )
    print(f'  wrongly refused  {dict(measures.wrongful) or "none"}')
    overshoot = max(fare.overshoot for fare in measures.customers.values())
    print(f'  overshoot        {overshoot:.1f} requests at most')
    print(f'  endings          {dict(measures.endings)}')
    for name, window in measures.windows.items():
        after = window.get('last_work_after')
        late = '' if after is None else f', last work {after} s after'
        print(
            f'  {name}: p99 {window["tail"].p99:.1f} ms{late},'
            f' {window["endings"]}'
        )
    clean = measures.checks.are_clean
    print(f'  by request id    {"clean" if clean else _text_of(measures)}')
    late_ms = measures.lateness.p99
    note = ', DISTURBED' if late_ms > LATENESS_LIMIT_MS else ''
    print(f'  lab lateness     p99 {late_ms:.1f} ms{note}')


def _checks_texts(
    measured: Mapping[str, Mapping[str, Measures]],
) -> dict[str, dict[str, str]]:
    return {
        fault: {name: _text_of(part) for name, part in policies.items()}
        for fault, policies in measured.items()
    }


def _text_of(measures: Measures) -> str:
    counts: dict[str, Any] = data_of(measures.checks)
    return ', '.join(f'{name} {count}' for name, count in counts.items())


def _plot(
    path: pathlib.Path, fault: str, bench: Bench, policies: Sequence[str]
) -> None:
    figure, axes = plt.subplots(figsize=(_PLOT_WIDTH, _PLOT_HEIGHT))
    for policy in policies:
        results = bench.results[fault, policy]
        times, worst = _worst_in_bins(results)
        axes.plot(times, worst, label=policy or 'default', linewidth=1)
    for mark in bench.results[fault, policies[0]][0].marks:
        axes.axvline(mark.at, color='grey', linestyle=':')
        axes.text(mark.at, axes.get_ylim()[1], mark.text, fontsize=7)
    axes.set_xlabel('seconds')
    axes.set_ylabel('p99 in half a second, ms')
    axes.set_yscale('log')
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)


def _worst_in_bins(
    results: Sequence[TurnResult],
) -> tuple[list[float], list[float]]:
    bins: dict[int, list[float]] = {}
    for result in results:
        for record in result.records:
            if record.is_answered:
                number = int(record.at / _BIN_SECONDS)
                bins.setdefault(number, []).append(record.latency * _MS)
    times = sorted(bins)
    worst = [sorted(bins[time])[int(len(bins[time]) * 0.99)] for time in times]
    return [time * _BIN_SECONDS for time in times], worst
