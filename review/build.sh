#!/bin/sh
# Checks the stand-ins of the scripts. They are Python programs that need no building and no library.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
CHECK
