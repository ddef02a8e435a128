"""Shows the state of the fleet."""

import json
import sys
from collections.abc import Iterator

from chervilstep.adapters.operators import JsonObject, ask_all
from chervilstep.cli.registry import SUBCOMMANDS


@SUBCOMMANDS.register('status')
def status(*admin: str, as_json: bool = False) -> int:
    """Shows instances, sections, zones, upstreams and shares.

    :param admin: admin addresses (ip:port) of one or more instances
    :param as_json: print everything as JSON in place of tables
    """
    answers = ask_all(admin, '/status', {})
    if as_json:
        sys.stdout.write(f'{json.dumps(answers, indent=2)}\n')
        return 0
    for address, answer in answers.items():
        sys.stdout.write(f'== {address}\n')
        for line in _lines(answer):
            sys.stdout.write(f'{line}\n')
    return 0


def _lines(answer: JsonObject) -> Iterator[str]:
    for part, described in answer.items():
        if part in {'burn', 'counters'}:
            continue
        yield f'{part}:'
        yield from _table(described, depth=1)


def _table(described: object, depth: int) -> Iterator[str]:
    """Prints one row for each entry whose values are plain."""
    margin = '  ' * depth
    if not isinstance(described, dict):
        yield f'{margin}{described}'
        return
    for name, entry in described.items():
        if _is_row(entry):
            yield f'{margin}{name:24} {_row(entry)}'
        else:
            yield f'{margin}{name}:'
            yield from _table(entry, depth + 1)


def _is_row(entry: object) -> bool:
    if not isinstance(entry, dict):
        return True
    return bool(entry) and not any(
        isinstance(value, dict) for value in entry.values()
    )


def _row(entry: object) -> str:
    if isinstance(entry, dict):
        return '  '.join(f'{name}={value}' for name, value in entry.items())
    return str(entry)
