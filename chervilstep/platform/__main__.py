"""Runs one instance on the users' platform."""

import asyncio
import sys

from chervilstep import platform
from chervilstep.adapters.capabilities import load_decisions, load_packages
from chervilstep.adapters.instance import new_bare_instance
from chervilstep.adapters.journal import configure_logs
from chervilstep.exceptions import SettingsError
from chervilstep.platform.boot import read_boot_file
from chervilstep.platform.running import serve

if __name__ == '__main__':
    configure_logs()
    load_decisions()
    load_packages(platform)
    try:
        settings = read_boot_file()
    except SettingsError as fault:
        sys.exit(f'chervilstep: {fault}')
    asyncio.run(serve(new_bare_instance(settings)))
