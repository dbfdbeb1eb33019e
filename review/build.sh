#!/bin/sh
# The stand-ins of the scripts are Python files of the standard library: nothing is compiled.
# Checks that they can be read by this machine's python3 (3.11 or later).
set -eu
cd "$(dirname "$0")"
exec python3 - common/*.py [0-9]/run.py <<'PY'
import ast, sys
assert sys.version_info >= (3, 11), "python3 is older than 3.11"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as f:
        ast.parse(f.read(), path)
PY
