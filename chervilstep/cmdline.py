"""The command line interface."""

import importlib
import pkgutil
import sys
from typing import Final

import defopt

from chervilstep import cli
from chervilstep.cli.registry import SUBCOMMANDS
from chervilstep.exceptions import ChervilstepError
from chervilstep.version import __version__

#: The exit code of a subcommand that fails with an error of this package.
EXIT_FAILURE: Final = 2


def main(arguments: list[str] | None = None) -> int:
    """Runs the subcommand named in ``arguments`` and returns its exit code."""
    for module in pkgutil.iter_modules(cli.__path__):
        importlib.import_module(f'{cli.__name__}.{module.name}')
    subcommands = {name: SUBCOMMANDS.find(name) for name in SUBCOMMANDS.names}
    try:
        return int(
            defopt.run(
                subcommands,
                argv=sys.argv[1:] if arguments is None else arguments,
                version=__version__,
            )
        )
    except ChervilstepError as error:
        sys.stderr.write(f'chervilstep: {error}\n')
        return EXIT_FAILURE
