"""Parses the settings of an instance."""

from typing import Final

from chervilstep.exceptions import SettingsError
from chervilstep.queries.tables import Table, parse_toml
from chervilstep.settings import (
    DEFAULT_BODY_LIMIT_BYTES,
    DEFAULT_HEADER_LIMIT_BYTES,
    Limits,
    Profile,
    Settings,
)

#: The names that a settings file may contain.
SETTING_NAMES: Final = (
    'name',
    'zone',
    'entry_address',
    'peer_address',
    'admin_address',
    'configuration_source',
    'peer_secret',
    'body_limit_bytes',
    'header_limit_bytes',
    'seeds',
)
MIN_LIMIT_BYTES: Final = 1024
MAX_BODY_LIMIT_BYTES: Final = 64 * 1024 * 1024
MAX_HEADER_LIMIT_BYTES: Final = 256 * 1024


def parse_settings(text: str) -> Settings:
    """Parses settings from TOML.

    Raises:
        SettingsError: The settings have faults. The message lists all of
            them, one per line, each with the name of the setting.
    """
    faults: list[str] = []
    table = Table(parse_toml(text, faults), '', faults)
    if not faults:
        table.allow_only(SETTING_NAMES)
    settings = _read_settings(table)
    if faults:
        raise SettingsError('\n'.join(faults))
    return settings


def _read_settings(table: Table) -> Settings:
    return Settings(
        name=table.name('name'),
        zone=table.name('zone'),
        entry_address=table.address('entry_address'),
        peer_address=table.address('peer_address'),
        admin_address=table.address('admin_address'),
        configuration_source=table.text('configuration_source'),
        peer_secret=table.text('peer_secret'),
        profile=Profile(limits=_read_limits(table)),
        seeds=_read_seeds(table.table('seeds')),
    )


def _read_limits(table: Table) -> Limits:
    return Limits(
        table.integer(
            'body_limit_bytes',
            MIN_LIMIT_BYTES,
            MAX_BODY_LIMIT_BYTES,
            DEFAULT_BODY_LIMIT_BYTES,
        ),
        table.integer(
            'header_limit_bytes',
            MIN_LIMIT_BYTES,
            MAX_HEADER_LIMIT_BYTES,
            DEFAULT_HEADER_LIMIT_BYTES,
        ),
    )


def _read_seeds(table: Table) -> dict[str, str]:
    return {name: table.address(name) for name in table.names}
