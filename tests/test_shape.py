"""Checks that the code follows the structure described in docs/DESIGN.md."""

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
DECISION_MODULES = sorted(
    [*PACKAGE.glob('*.py'), *PACKAGE.glob('commands/*.py')]
    + [*PACKAGE.glob('queries/*.py')]
)
ALL_MODULES = sorted(PACKAGE.rglob('*.py'))
FUNCTION_NODES = (ast.FunctionDef, ast.AsyncFunctionDef)
# These start the command line interface, and so may import any layer.
ENTRY_POINTS = frozenset(('__main__.py', 'cmdline.py'))


def parse(path):
    return ast.parse(path.read_text())


def imported_names(tree):
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f'{node.module}.{alias.name}' for alias in node.names)


def relative_path(path):
    return str(path.relative_to(PACKAGE))


def find_functions(tree):
    return [node for node in ast.walk(tree) if isinstance(node, FUNCTION_NODES)]


@pytest.mark.parametrize('path', DECISION_MODULES, ids=relative_path)
def test_decisions_do_no_io(path):
    if path.name in ENTRY_POINTS:
        return
    roots = {name.split('.')[0] for name in imported_names(parse(path))}
    assert not roots & IO_MODULES


@pytest.mark.parametrize('path', DECISION_MODULES, ids=relative_path)
def test_layers_import_downwards(path):
    forbidden = ['chervilstep.adapters', 'chervilstep.cli']
    if path.parent.name == 'queries':
        forbidden.append('chervilstep.commands')
    if path.parent == PACKAGE and path.name not in ENTRY_POINTS:
        forbidden += ['chervilstep.commands', 'chervilstep.queries']
    if path.name in ENTRY_POINTS:
        return
    for name in imported_names(parse(path)):
        assert not name.startswith(tuple(forbidden)), name


@pytest.mark.parametrize(
    'path', sorted(PACKAGE.glob('commands/*.py')), ids=relative_path
)
def test_commands_return_nothing(path):
    for node in parse(path).body:
        if isinstance(node, FUNCTION_NODES) and not node.name.startswith('_'):
            assert isinstance(node.returns, ast.Constant), node.name
            assert node.returns.value is None, node.name


@pytest.mark.parametrize(
    'path', sorted(PACKAGE.glob('queries/*.py')), ids=relative_path
)
def test_queries_assign_no_attribute(path):
    for function in find_functions(parse(path)):
        if function.name == '__init__':
            continue
        for node in ast.walk(function):
            if isinstance(node, ast.Attribute):
                assert not isinstance(node.ctx, ast.Store), function.name


@pytest.mark.parametrize('path', ALL_MODULES, ids=relative_path)
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


@pytest.mark.parametrize('path', ALL_MODULES, ids=relative_path)
def test_state_changing_methods_return_nothing(path):
    if path.parent != PACKAGE:
        return
    for node in ast.walk(parse(path)):
        if isinstance(node, ast.ClassDef):
            for method in node.body:
                if isinstance(method, FUNCTION_NODES) and assigns_to_self(
                    method
                ):
                    assert isinstance(method.returns, ast.Constant), (
                        node.name,
                        method.name,
                    )


def assigns_to_self(method):
    return any(
        isinstance(node, ast.Attribute)
        and isinstance(node.ctx, ast.Store)
        and isinstance(node.value, ast.Name)
        and node.value.id == 'self'
        for node in ast.walk(method)
    )


@pytest.mark.parametrize('path', ALL_MODULES, ids=relative_path)
def test_modules_are_small(path):
    assert len(path.read_text().splitlines()) <= 400
