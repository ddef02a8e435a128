"""Runs an instance and reloads its settings on SIGHUP."""

import asyncio
import signal

from chervilstep.adapters.instance import RunningInstance, serve_instance
from chervilstep.exceptions import SettingsError
from chervilstep.platform.boot import read_boot_file


async def serve(instance: RunningInstance) -> None:
    """Serves until SIGTERM."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload_settings, instance)
    await serve_instance(instance)


def reload_settings(instance: RunningInstance) -> None:
    """Reads the settings again; invalid ones change nothing."""
    node = instance.node
    try:
        settings = read_boot_file()
    except SettingsError as fault:
        node.events.add('reload_refused', fault=str(fault))
        return
    node.replace_settings(settings)
    node.events.add('reloaded', seeds=len(settings.seeds))
