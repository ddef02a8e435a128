"""Compares the revisions of the sections that instances know."""

import hashlib
from collections.abc import Mapping
from typing import Final

from chervilstep.configuration import Configuration, Section

FINGERPRINT_BYTES: Final = 8


def fingerprint_of(sections: Mapping[str, Section]) -> bytes:
    """Returns a digest that is equal where the revisions are equal."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for name in sorted(sections):
        digest.update(f'{name}={sections[name].revision}\n'.encode())
    return digest.digest()


def is_newer(configuration: Configuration, name: str, revision: int) -> bool:
    """Whether a text at ``revision`` could replace what is known.

    A refused revision is not tried again: the verdict would be the same.
    """
    fault = configuration.faults.get(name)
    if fault is not None and revision == fault.revision:
        return False
    section = configuration.sections.get(name)
    return section is None or revision > section.revision
