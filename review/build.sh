#!/bin/sh
# Builds the stand-ins of the scripts. They are Python files that need nothing
# but the packages that the build line of the deploy file has put into
# target/deps, so this only checks that they compile and find those packages.
set -e
cd "$(dirname "$0")"
export PYTHONPATH=../target/deps:common PYTHONDONTWRITEBYTECODE=1
python3 -c 'import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
import site_model'
