"""The ``trace`` subcommand, which follows a request through logs."""

import pathlib
import sys
from collections.abc import Iterator

from chervilstep.adapters.logs import format_line, parse_line
from chervilstep.cli.registry import SUBCOMMANDS
from chervilstep.exceptions import LogError
from chervilstep.loglines import LogLine
from chervilstep.queries.tracing import trace_request

EXIT_FOUND = 0
EXIT_NOT_FOUND = 1
EXIT_UNREADABLE = 2


@SUBCOMMANDS.register('trace')
def trace(request: str, *logs: str) -> int:
    """Traces a request id through the logs of several instances.

    Prints the log lines of the request by time, with changes of state that the
    same instances logged in the seconds before. The exit code is 0 if the id
    was found, 1 if no log contains it, and 2 if a log cannot be read.

    :param request: the request id that the client sent
    :param logs: files, each with the standard output of one instance
    """
    try:
        lines = list(_read_lines(logs))
    except OSError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_UNREADABLE
    matches = trace_request(request, lines)
    for line in matches:
        sys.stdout.write(f'{format_line(line)}\n')
    return EXIT_FOUND if matches else EXIT_NOT_FOUND


def _read_lines(logs: tuple[str, ...]) -> Iterator[LogLine]:
    for log in logs:
        path = pathlib.Path(log)
        for text in path.read_text('utf-8', errors='replace').splitlines():
            try:
                yield parse_line(path.stem, text)
            except LogError as fault:
                # Lines of libraries and of the interpreter have other formats.
                sys.stderr.write(f'line skipped: {fault}\n')
