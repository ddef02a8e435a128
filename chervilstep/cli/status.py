"""The ``status`` subcommand, which shows the state of instances."""

import json
import sys
from collections.abc import Iterator

from chervilstep.adapters.adminclient import JsonObject, fetch_all
from chervilstep.cli.registry import SUBCOMMANDS


@SUBCOMMANDS.register('status')
def status(*admin: str, as_json: bool = False) -> int:
    """Shows instances, sections, zones, upstreams and shares.

    :param admin: admin addresses (ip:port) of one or more instances
    :param as_json: print the whole status as JSON instead of tables
    """
    answers = fetch_all(admin, '/status', {}, dict)
    if as_json:
        sys.stdout.write(f'{json.dumps(answers, indent=2)}\n')
        return 0
    for address, answer in answers.items():
        sys.stdout.write(f'== {address}\n')
        for line in _format_status(answer):
            sys.stdout.write(f'{line}\n')
    return 0


def _format_status(answer: JsonObject) -> Iterator[str]:
    for name, entry in answer.items():
        if name in {'burn', 'counters'}:
            continue
        yield f'{name}:'
        yield from _format_table(entry, depth=1)


def _format_table(table: object, depth: int) -> Iterator[str]:
    """Yields one row for each entry without nested tables."""
    margin = '  ' * depth
    if not isinstance(table, dict):
        yield f'{margin}{table}'
        return
    for name, entry in table.items():
        if _fits_one_row(entry):
            yield f'{margin}{name:24} {_format_row(entry)}'
        else:
            yield f'{margin}{name}:'
            yield from _format_table(entry, depth + 1)


def _fits_one_row(entry: object) -> bool:
    if not isinstance(entry, dict):
        return True
    return bool(entry) and not any(
        isinstance(value, dict) for value in entry.values()
    )


def _format_row(entry: object) -> str:
    if isinstance(entry, dict):
        return '  '.join(f'{name}={value}' for name, value in entry.items())
    return str(entry)
