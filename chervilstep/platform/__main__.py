"""Runs one instance on the users' platform."""

import asyncio
import sys

from chervilstep import platform
from chervilstep.adapters.capabilities import (
    load_commands_and_queries,
    load_packages,
)
from chervilstep.adapters.instance import new_preloaded_instance
from chervilstep.adapters.logsetup import configure_logging
from chervilstep.exceptions import SettingsError
from chervilstep.platform.boot import read_boot_file
from chervilstep.platform.running import serve

if __name__ == '__main__':
    configure_logging()
    load_commands_and_queries()
    load_packages(platform)
    try:
        settings = read_boot_file()
    except SettingsError as fault:
        sys.exit(f'chervilstep: {fault}')
    asyncio.run(serve(new_preloaded_instance(settings)))
