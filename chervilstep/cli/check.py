"""The ``check`` subcommand, which validates configuration files."""

import pathlib
import sys
from collections.abc import Iterable, Iterator
from typing import Final

from chervilstep.adapters.capabilities import load_capabilities
from chervilstep.cli.registry import SUBCOMMANDS
from chervilstep.content import SectionContent
from chervilstep.exceptions import SectionError, SettingsError
from chervilstep.queries.composition import compose
from chervilstep.queries.document import parse_section
from chervilstep.queries.linenumbers import line_number
from chervilstep.queries.settings import SETTING_NAMES, parse_settings
from chervilstep.queries.tables import parse_toml

EXIT_VALID: Final = 0
EXIT_FAULTS: Final = 1
EXIT_UNREADABLE: Final = 2


@SUBCOMMANDS.register('check')
def check(*paths: str) -> int:
    """Checks sections of the document, or settings, and lists all faults.

    Sections in one invocation are also checked against each other. The exit
    code is 0 if all files are valid, 1 if there are faults, and 2 if a file
    cannot be read.

    :param paths: TOML files, or directories of TOML files
    """
    load_capabilities()
    try:
        texts = {path: path.read_text('utf-8') for path in _toml_files(paths)}
    except (OSError, UnicodeDecodeError) as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_UNREADABLE
    if not texts:
        sys.stderr.write('no TOML file found in the given paths\n')
        return EXIT_UNREADABLE
    faults = list(_find_faults(texts))
    for fault in faults:
        sys.stdout.write(f'{fault}\n')
    return EXIT_FAULTS if faults else EXIT_VALID


def _toml_files(paths: Iterable[str]) -> Iterator[pathlib.Path]:
    for path in map(pathlib.Path, paths):
        if path.is_dir():
            yield from sorted(path.glob('*.toml'))
        else:
            yield path


def _find_faults(texts: dict[pathlib.Path, str]) -> Iterator[str]:
    contents: dict[str, SectionContent] = {}
    for path, text in texts.items():
        try:
            if _is_settings(text):
                parse_settings(text)
            else:
                contents[str(path)] = parse_section(text)
        except (SectionError, SettingsError) as error:
            yield from _locate_faults(path, text, str(error))
    if len(contents) > 1:
        yield from compose(contents).conflicts


def _is_settings(text: str) -> bool:
    return any(name in SETTING_NAMES for name in parse_toml(text, []))


def _locate_faults(
    path: pathlib.Path, text: str, message: str
) -> Iterator[str]:
    for fault in message.splitlines():
        line = line_number(text, fault.partition(':')[0])
        location = f'{path}:{line}' if line else str(path)
        yield f'{location}: {fault}'
