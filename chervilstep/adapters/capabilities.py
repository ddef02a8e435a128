"""Imports every module whose decorators fill the registries."""

import importlib
import pkgutil

from chervilstep import adapters, commands, queries


def load_capabilities() -> None:
    """Imports all commands, queries and adapters, once."""
    for package in (queries, commands, adapters):
        for module in pkgutil.iter_modules(package.__path__):
            importlib.import_module(f'{package.__name__}.{module.name}')
