"""Writes the results of a trial: JSON, a plot and an HTML page."""

import json
import pathlib
from collections.abc import Mapping, Sequence
from typing import Any, Final

import jinja2
import matplotlib as mpl
from matplotlib import pyplot as plt

from lab.experiment import Trial, TrialRunner
from lab.measures import Measures, to_plain_data
from lab.queries.measuring import TurnResult

mpl.use('Agg')

_MS: Final = 1000
#: Above this p99 of the generators' lateness, the machine was overloaded.
MAX_LATENESS_MS: Final = 20
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
<th>CPU ms per request<th>probes' share of slots<th>lab lateness ms
<th>violations</tr>
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
    runner: TrialRunner,
    measured: Mapping[str, Mapping[str, Measures]],
) -> pathlib.Path:
    """Writes all results to ``folder`` and returns the path of the page."""
    folder.mkdir(parents=True, exist_ok=True)
    about = describe_trial(trial)
    result = {'about': about, 'measures': to_plain_data(measured)}
    (folder / 'result.json').write_text(json.dumps(result, indent=1))
    plots = {}
    for fault in measured:
        plots[fault] = f'{fault}.png'
        _plot(folder / plots[fault], fault, runner, trial.policies)
    page = jinja2.Environment(autoescape=True).from_string(_PAGE)
    path = folder / 'report.html'
    path.write_text(
        page.render(
            title=f'Deployment {trial.plan.name}',
            about=about,
            measured=measured,
            plots=plots,
            checks=_checks_texts(measured),
            limit=MAX_LATENESS_MS,
        )
    )
    return path


def describe_trial(trial: Trial) -> str:
    """Returns one line on the deployment, load and seed of a trial."""
    return (
        f'{trial.plan.name}: load {trial.load}, {trial.rate:.0f} requests/s,'
        f' mean service time {trial.mean_seconds * _MS:.0f} ms,'
        f' {trial.seconds:.0f} s per turn, {trial.rounds} rounds,'
        f' rates {trial.headroom} times the load, seed {trial.seed}'
    )


def print_summary(measured: Mapping[str, Mapping[str, Measures]]) -> None:
    """Prints the measures and the checks."""
    for fault, policies in measured.items():
        for policy, measures in policies.items():
            _print_measures(fault, policy or 'default', measures)


def _print_measures(fault: str, policy: str, measures: Measures) -> None:
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
    overshoot = max(
        customer.overshoot for customer in measures.customers.values()
    )
    print(f'  overshoot        {overshoot:.1f} requests at most')
    print(f'  outcomes         {dict(measures.endings)}')
    for name, window in measures.windows.items():
        after = window.get('last_work_after')
        late = (
            ''
            if after is None
            else f', last answered request {after} s after it'
        )
        print(
            f'  {name}: p99 {window["tail"].p99:.1f} ms{late},'
            f' {window["endings"]}'
        )
    clean = measures.checks.are_clean
    print(f'  checks           {"clean" if clean else _checks_text(measures)}')
    late_ms = measures.lateness.p99
    warning = ', DISTURBED' if late_ms > MAX_LATENESS_MS else ''
    print(f'  lab lateness     p99 {late_ms:.1f} ms{warning}')


def _checks_texts(
    measured: Mapping[str, Mapping[str, Measures]],
) -> dict[str, dict[str, str]]:
    return {
        fault: {
            name: _checks_text(measures) for name, measures in policies.items()
        }
        for fault, policies in measured.items()
    }


def _checks_text(measures: Measures) -> str:
    counts: dict[str, Any] = to_plain_data(measures.checks)
    return ', '.join(f'{name} {count}' for name, count in counts.items())


def _plot(
    path: pathlib.Path, fault: str, runner: TrialRunner, policies: Sequence[str]
) -> None:
    figure, axes = plt.subplots(figsize=(_PLOT_WIDTH, _PLOT_HEIGHT))
    for policy in policies:
        results = runner.results[fault, policy]
        times, worst = _p99_by_bin(results)
        axes.plot(times, worst, label=policy or 'default', linewidth=1)
    for mark in runner.results[fault, policies[0]][0].marks:
        axes.axvline(mark.marked_at, color='grey', linestyle=':')
        axes.text(mark.marked_at, axes.get_ylim()[1], mark.text, fontsize=7)
    axes.set_xlabel('seconds')
    axes.set_ylabel('p99 per half second, ms')
    axes.set_yscale('log')
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)


def _p99_by_bin(
    results: Sequence[TurnResult],
) -> tuple[list[float], list[float]]:
    bins: dict[int, list[float]] = {}
    for result in results:
        for record in result.records:
            if record.is_answered:
                number = int(record.scheduled_at / _BIN_SECONDS)
                bins.setdefault(number, []).append(record.latency * _MS)
    times = sorted(bins)
    worst = [sorted(bins[time])[int(len(bins[time]) * 0.99)] for time in times]
    return [time * _BIN_SECONDS for time in times], worst
