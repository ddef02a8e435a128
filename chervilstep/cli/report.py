"""The ``report`` subcommand, which shows burn rates of error budgets."""

import enum
import json
import sys
from collections.abc import Mapping

from chervilstep.adapters.adminclient import JsonObject, fetch_all
from chervilstep.adapters.htmlreport import burn_rate_page
from chervilstep.cli.registry import SUBCOMMANDS
from chervilstep.queries.burnrate import (
    WINDOW_MINUTES,
    BurnRate,
    WindowCounts,
    merge_event_counts,
)

#: Lets scripts detect that an alert fires.
EXIT_ALERT = 1


class Format(enum.Enum):
    """The output format of a report."""

    TEXT = 'text'
    JSON = 'json'
    HTML = 'html'


@SUBCOMMANDS.register('report')
def report(*admin: str, output: Format = Format.TEXT) -> int:
    """Reports burn rates of error budgets; exits with 1 if an alert fires.

    :param admin: admin addresses (ip:port) of the instances to sum over
    :param output: text, json, or html with plots
    """
    burn_entries = fetch_all(admin, '/status', {}, _burn_entry)
    rows = merge_event_counts(burn_entries.values())
    sys.stdout.write(_FORMATTERS[output](rows))
    return EXIT_ALERT if any(row.alert for row in rows) else 0


def _burn_entry(status: JsonObject) -> Mapping[str, WindowCounts]:
    """Returns the event counts in a status, if they can be merged."""
    burn_entry: Mapping[str, WindowCounts] = status['burn']
    merge_event_counts((burn_entry,))
    return burn_entry


def _as_text(rows: tuple[BurnRate, ...]) -> str:
    windows = ''.join(f'{window:>8}' for window in WINDOW_MINUTES)
    lines = [f'{"indicator":13}{"of":10}{"name":24}{windows}  alert']
    for row in rows:
        rates = ''.join(
            f'{row.rates[window]:8.2f}' for window in WINDOW_MINUTES
        )
        lines.append(
            f'{row.indicator:13}{row.kind:10}{row.subject:24}'
            f'{rates}  {row.alert}'
        )
    return '\n'.join([*lines, ''])


def _as_json(rows: tuple[BurnRate, ...]) -> str:
    entries = [
        {
            'indicator': row.indicator,
            'kind': row.kind,
            'subject': row.subject,
            'rates': row.rates,
            'events': {
                window: [counts.good, counts.bad]
                for window, counts in row.counts.items()
            },
            'alert': row.alert,
        }
        for row in rows
    ]
    return f'{json.dumps(entries, indent=2)}\n'


_FORMATTERS = {
    Format.TEXT: _as_text,
    Format.JSON: _as_json,
    Format.HTML: burn_rate_page,
}
