"""Checks that the code keeps the shape that docs/DESIGN.md describes."""

import ast
import pathlib

import pytest

PACKAGE = pathlib.Path(__file__).parent.parent / 'chervilstep'
IO_MODULES = frozenset(
    (
        'asyncio',
        'json',
        'msgpack',
        'socket',
        'structlog',
        'time',
        'tornado',
        'opentelemetry',
    )
)
DECIDING = sorted(
    [*PACKAGE.glob('*.py'), *PACKAGE.glob('commands/*.py')]
    + [*PACKAGE.glob('queries/*.py')]
)
EVERYTHING = sorted(PACKAGE.rglob('*.py'))
FUNCTIONS = (ast.FunctionDef, ast.AsyncFunctionDef)
# These hand over to the command line.
ENTRY_POINTS = frozenset(('__main__.py', 'cmdline.py'))


def parse(path):
    return ast.parse(path.read_text())


def imports_of(tree):
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f'{node.module}.{alias.name}' for alias in node.names)


def name_of(path):
    return str(path.relative_to(PACKAGE))


def functions_of(tree):
    return [node for node in ast.walk(tree) if isinstance(node, FUNCTIONS)]


@pytest.mark.parametrize('path', DECIDING, ids=name_of)
def test_decisions_do_no_io(path):
    if path.name in ENTRY_POINTS:
        return
    roots = {name.split('.')[0] for name in imports_of(parse(path))}
    assert not roots & IO_MODULES


@pytest.mark.parametrize('path', DECIDING, ids=name_of)
def test_layers_import_downwards(path):
    banned = ['chervilstep.adapters', 'chervilstep.cli']
    if path.parent.name == 'queries':
        banned.append('chervilstep.commands')
    if path.parent == PACKAGE and path.name not in ENTRY_POINTS:
        banned += ['chervilstep.commands', 'chervilstep.queries']
    if path.name in ENTRY_POINTS:
        return
    for name in imports_of(parse(path)):
        assert not name.startswith(tuple(banned)), name


@pytest.mark.parametrize(
    'path', sorted(PACKAGE.glob('commands/*.py')), ids=name_of
)
def test_commands_return_nothing(path):
    for node in parse(path).body:
        if isinstance(node, FUNCTIONS) and not node.name.startswith('_'):
            assert isinstance(node.returns, ast.Constant), node.name
            assert node.returns.value is None, node.name


@pytest.mark.parametrize(
    'path', sorted(PACKAGE.glob('queries/*.py')), ids=name_of
)
def test_queries_assign_to_no_argument(path):
    for function in functions_of(parse(path)):
        if function.name == '__init__':
            continue
        for node in ast.walk(function):
            if isinstance(node, ast.Attribute):
                assert not isinstance(node.ctx, ast.Store), function.name


@pytest.mark.parametrize('path', EVERYTHING, ids=name_of)
def test_classes_have_slots(path):
    for node in ast.walk(parse(path)):
        if not isinstance(node, ast.ClassDef):
            continue
        bases = {ast.unparse(base) for base in node.bases}
        if bases & {'enum.Enum', 'enum.IntEnum', 'Protocol'}:
            continue
        names = {
            target.id
            for statement in node.body
            if isinstance(statement, ast.Assign)
            for target in statement.targets
            if isinstance(target, ast.Name)
        }
        assert '__slots__' in names, node.name


@pytest.mark.parametrize('path', EVERYTHING, ids=name_of)
def test_state_changing_methods_return_nothing(path):
    if path.parent != PACKAGE:
        return
    for node in ast.walk(parse(path)):
        if isinstance(node, ast.ClassDef):
            for method in node.body:
                if isinstance(method, FUNCTIONS) and changes_self(method):
                    assert isinstance(method.returns, ast.Constant), (
                        node.name,
                        method.name,
                    )


def changes_self(method):
    return any(
        isinstance(node, ast.Attribute)
        and isinstance(node.ctx, ast.Store)
        and isinstance(node.value, ast.Name)
        and node.value.id == 'self'
        for node in ast.walk(method)
    )


@pytest.mark.parametrize('path', EVERYTHING, ids=name_of)
def test_modules_are_small(path):
    assert len(path.read_text().splitlines()) <= 400
