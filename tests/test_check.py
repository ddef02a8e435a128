"""Tests of the ``check`` subcommand."""

import pytest

from chervilstep.cli.check import check
from chervilstep.queries.linenumbers import line_number
from tests.builders import SETTINGS
from tests.document_builders import customer_text, route_text, service_text


def check_files(capsys, folder, **texts):
    for name, text in texts.items():
        (folder / f'{name}.toml').write_text(text)
    code = check(str(folder))
    printed = capsys.readouterr().out.replace(f'{folder}/', '')
    return code, printed.splitlines()


def test_valid_files_have_no_faults(capsys, tmp_path):
    assert check_files(
        capsys, tmp_path, settings=SETTINGS, customers=customer_text()
    ) == (0, [])


def test_faults_are_reported_with_file_and_line(capsys, tmp_path):
    code, lines = check_files(
        capsys,
        tmp_path,
        routes=route_text(path='strike'),
        services=service_text(zone='A'),
        settings=SETTINGS.replace('zone', 'zoen'),
        syntax='[zones\n',
    )
    assert code == 1
    assert [line.partition(': ')[0] for line in lines] == [
        'routes.toml:3',
        'services.toml:7',
        'settings.toml:3',
        'settings.toml',
        'syntax.toml',
    ]
    assert "zoen: unknown name; did you mean 'zone'?" in lines[2]
    assert 'zone: is missing' in lines[3]
    assert 'line 1' in lines[4]


def test_sections_are_checked_against_each_other(capsys, tmp_path):
    code, lines = check_files(
        capsys, tmp_path, routes=route_text(), customers=customer_text()
    )
    assert code == 1
    assert lines == ["route 'strike': service 'strike' is missing"]


def test_unreadable_paths_set_the_exit_code(tmp_path):
    assert check(str(tmp_path / 'missing.toml')) == 2
    assert check(str(tmp_path)) == 2


@pytest.mark.parametrize(
    ('path', 'line'),
    [
        ('services.a', 1),
        ('services.a.slots', 2),
        ('services.a.upstreams[1].name', 6),
        ('services.a.upstreams[1].zone', 5),
        ('services.a.upstreams', 3),
        ('services.b', None),
    ],
)
def test_line_numbers_of_document_paths(path, line):
    text = (
        '[services.a]\nslots = 3\n'
        '[[services.a.upstreams]]\nname = "x"\n'
        '[[services.a.upstreams]]\nname = "y"\n'
    )
    assert line_number(text, path) == line
