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
from chervilstep.shares import (
    DEFAULT_PROCESS_BYTES,
    DEFAULT_SOCKETS,
    Shares,
    new_shares,
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
    'memory_mb',
    'max_sockets',
    'seeds',
)
MIN_LIMIT_BYTES: Final = 1024
MAX_BODY_LIMIT_BYTES: Final = 64 * 1024 * 1024
MAX_HEADER_LIMIT_BYTES: Final = 256 * 1024
MIN_MEMORY_MB: Final = 80
MAX_MEMORY_MB: Final = 64 * 1024
MIN_SOCKETS: Final = 64
MAX_SOCKETS: Final = 2**20
BYTES_PER_MB: Final = 10**6


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
        _read_shares(table),
    )


def _read_shares(table: Table) -> Shares:
    memory_mb = table.integer(
        'memory_mb',
        MIN_MEMORY_MB,
        MAX_MEMORY_MB,
        DEFAULT_PROCESS_BYTES // BYTES_PER_MB,
    )
    sockets = table.integer(
        'max_sockets', MIN_SOCKETS, MAX_SOCKETS, DEFAULT_SOCKETS
    )
    return new_shares(memory_mb * BYTES_PER_MB, sockets)


def _read_seeds(table: Table) -> dict[str, str]:
    return {name: table.address(name) for name in table.names}
