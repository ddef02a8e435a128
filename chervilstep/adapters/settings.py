"""Reads the settings of an instance from a file."""

import pathlib

from chervilstep.exceptions import SettingsError
from chervilstep.queries.settings import parse_settings
from chervilstep.settings import Settings


def read_settings(path: str) -> Settings:
    """Reads and validates the settings in the TOML file at ``path``.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    try:
        text = pathlib.Path(path).read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: {error}') from error
    try:
        return parse_settings(text)
    except SettingsError as error:
        raise SettingsError(
            '\n'.join(f'{path}: {line}' for line in str(error).splitlines())
        ) from error
