#!/bin/sh
# The stand-ins are Python files without dependencies: nothing is built, only
# checked.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
for file in review/stand/*.py review/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
