"""Reports how fast the error budgets burn."""

import enum
import json
import sys

from chervilstep.adapters.operators import ask_all
from chervilstep.adapters.pages import burn_page
from chervilstep.cli.registry import SUBCOMMANDS
from chervilstep.queries.burning import WINDOWS, BurnRow, merge_burn

#: The exit code when an alert fires, for scripts.
EXIT_ALERT = 1


class Format(enum.Enum):
    """How a report is written."""

    TEXT = 'text'
    JSON = 'json'
    HTML = 'html'


@SUBCOMMANDS.register('report')
def report(*admin: str, output: Format = Format.TEXT) -> int:
    """Reports service-level burn; exits with 1 when an alert fires.

    :param admin: admin addresses (ip:port) of all instances to add up
    :param output: text, json, or html with plots
    """
    answers = ask_all(admin, '/status', {})
    rows = merge_burn(answer['burn'] for answer in answers.values())
    sys.stdout.write(_FORMATS[output](rows))
    return EXIT_ALERT if any(row.alert for row in rows) else 0


def _as_text(rows: tuple[BurnRow, ...]) -> str:
    windows = ''.join(f'{window:>8}' for window in WINDOWS)
    lines = [f'{"indicator":13}{"of":10}{"name":24}{windows}  alert']
    for row in rows:
        rates = ''.join(f'{row.rates[window]:8.2f}' for window in WINDOWS)
        lines.append(
            f'{row.indicator:13}{row.kind:10}{row.subject:24}'
            f'{rates}  {row.alert}'
        )
    return '\n'.join([*lines, ''])


def _as_json(rows: tuple[BurnRow, ...]) -> str:
    described = [
        {
            'indicator': row.indicator,
            'kind': row.kind,
            'subject': row.subject,
            'rates': row.rates,
            'events': {
                window: [events.good, events.bad]
                for window, events in row.counts.items()
            },
            'alert': row.alert,
        }
        for row in rows
    ]
    return f'{json.dumps(described, indent=2)}\n'


_FORMATS = {
    Format.TEXT: _as_text,
    Format.JSON: _as_json,
    Format.HTML: burn_page,
}
