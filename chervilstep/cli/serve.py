"""The ``serve`` subcommand, which runs an entry instance."""

import asyncio
import sys

from chervilstep.adapters.instance import serve_until_signalled
from chervilstep.adapters.logsetup import configure_logging
from chervilstep.adapters.settings import read_settings
from chervilstep.cli.registry import SUBCOMMANDS
from chervilstep.exceptions import SettingsError


@SUBCOMMANDS.register('serve')
def serve(*, settings: str) -> int:
    """Runs an entry instance until SIGTERM, then stops it gracefully.

    :param settings: path of the TOML file with the settings
    """
    try:
        loaded = read_settings(settings)
    except SettingsError as fault:
        sys.stderr.write(f'{fault}\n')
        return 2
    configure_logging()
    asyncio.run(serve_until_signalled(loaded))
    return 0
