"""Tests of what is expected from the HTTP library beside its public parts."""

import pathlib
import tomllib

import tornado
from packaging.requirements import Requirement
from tornado import http1connection, httputil

from chervilstep.adapters.answers import AnswerConnection, AnswerReader

ROOT = pathlib.Path(__file__).parent.parent


def test_installed_version_is_one_that_the_project_states():
    """Guards against an install without the lock file."""
    project = tomllib.loads((ROOT / 'pyproject.toml').read_text('utf-8'))
    (stated,) = [
        requirement
        for requirement in map(Requirement, project['project']['dependencies'])
        if requirement.name == 'tornado'
    ]
    assert stated.specifier.contains(tornado.version)
    # Versions that fail tests of broken answers.
    assert not stated.specifier.contains('6.4.2')
    assert not stated.specifier.contains('6.5.2')


def test_replaced_methods_exist_in_the_base_classes():
    """Guards against a replacement that the library no longer calls."""
    for replaced in ('_deliver_body', 'close', 'read_response'):
        assert hasattr(http1connection.HTTP1Connection, replaced)
    for called in ('headers_received', 'data_received', 'finish'):
        assert hasattr(httputil.HTTPMessageDelegate, called)
        assert called in vars(AnswerReader)
    assert '_deliver_body' in vars(AnswerConnection)
