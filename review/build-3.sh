#!/bin/sh
# Checks the stand-ins of cases 9 to 13, which are Python: nothing has to be compiled, and no
# library beside Python's own is needed.
cd "$(dirname "$0")" || exit 1
exec python3 -c '
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in ["standins-3/world.py", *sorted(map(str, pathlib.Path(".").glob("*/case.py")))]:
    ast.parse(pathlib.Path(path).read_text(), path)
'
