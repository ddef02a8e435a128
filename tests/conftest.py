"""Lets the tests that KNOWN-RED.txt lists fail without failing the run."""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'


def known_red_tests():
    """Returns the ids of the listed tests; without the file, none."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text('utf-8').splitlines()
    return frozenset(
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    )


def pytest_collection_modifyitems(items):
    """Marks exactly the listed tests as expected failures.

    A strict mark fails the run when a listed test passes, so that no entry
    outlives its fault.
    """
    listed = known_red_tests()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(
                pytest.mark.xfail(reason='listed in KNOWN-RED.txt', strict=True)
            )
