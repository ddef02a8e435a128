"""Imports the modules whose decorators fill the registries."""

import importlib
import pkgutil
from types import ModuleType

from chervilstep import adapters, commands, platform, queries


def load_capabilities() -> None:
    """Imports all modules of queries, commands, adapters and platform."""
    load_packages(queries, commands, adapters, platform)


def load_commands_and_queries() -> None:
    """Imports all modules of queries and commands, without adapters."""
    load_packages(queries, commands)


def load_packages(*packages: ModuleType) -> None:
    """Imports every module of the packages."""
    for package in packages:
        for module in pkgutil.iter_modules(package.__path__):
            importlib.import_module(f'{package.__name__}.{module.name}')
