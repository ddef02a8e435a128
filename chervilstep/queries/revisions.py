"""Compares the revisions of the sections that instances know."""

import hashlib
from collections.abc import Mapping
from typing import Final

from chervilstep.configuration import Configuration, Section
from chervilstep.fields import MAX_ITEMS
from chervilstep.sync_messages import Revisions, RevisionsPage
from chervilstep.values import PlatformAnswer

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


def revisions_page(
    configuration: Configuration, below: int | None, entries: int
) -> RevisionsPage:
    """Lists accepted revisions lower than ``below``, the highest first.

    Deletions found in one listing share a revision; the page runs on so that
    the next one can start below its last revision.
    """
    known = sorted(
        (
            (section.revision, name)
            for name, section in configuration.sections.items()
            if below is None or section.revision < below
        ),
        reverse=True,
    )
    above = known[entries - 1][0] - 1 if len(known) > entries else 0
    page = [(name, revision) for revision, name in known if revision > above]
    return RevisionsPage(below, above, tuple(page[:MAX_ITEMS]))


def newer_than_page(
    configuration: Configuration, page: RevisionsPage
) -> Revisions:
    """Lists accepted revisions in the page's range that the page lacks."""
    listed = dict(page.revisions)
    return tuple(
        (name, section.revision)
        for name, section in configuration.sections.items()
        if section.revision > max(page.above, listed.get(name, 0))
        and (page.below is None or section.revision < page.below)
    )


def highest_revision(configuration: Configuration) -> int:
    """The platform's highest revision that this instance knows of."""
    accepted = [item.revision for item in configuration.sections.values()]
    refused = [fault.revision for fault in configuration.faults.values()]
    return max((configuration.seen_revision, *accepted, *refused))


def missing_sections(
    configuration: Configuration, answer: PlatformAnswer
) -> tuple[str, ...]:
    """Names the sections that a complete answer does not have.

    Those newer than the answer are not deleted by it; the revision tells.
    """
    present = {item.name for item in answer.values}
    return tuple(
        name
        for name, section in configuration.sections.items()
        if section.text is not None and name not in present
    )
