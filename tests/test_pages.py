"""Checks of the names and links in the documentation."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
TROUBLES = (ROOT / 'docs' / 'TROUBLES.md').read_text('utf-8')
TEST_SOURCES = '\n'.join(
    path.read_text('utf-8') for path in (ROOT / 'tests').glob('test_*.py')
)
DAYS = sorted((ROOT / 'deploy' / 'days').glob('*.toml'))


@pytest.mark.parametrize('name', re.findall('`(test_[a-z0-9_]+)`', TROUBLES))
def test_quoted_tests_exist(name):
    assert f'def {name}(' in TEST_SOURCES


@pytest.mark.parametrize('path', DAYS, ids=lambda path: path.stem)
def test_standard_days_are_documented(path):
    assert f'`{path.stem}`' in TROUBLES


@pytest.mark.parametrize('path', sorted((ROOT / 'docs').glob('**/*.md')))
def test_links_between_pages_resolve(path):
    for target in re.findall(r'\]\(([^)#:]+)(?:#[^)]*)?\)', path.read_text()):
        assert (path.parent / target).exists(), target
