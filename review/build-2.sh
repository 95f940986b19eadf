#!/bin/sh
# Builds what the scripts of this review start, besides the build of the deploy file. Their
# stand-ins are the Python module in standins-2 and the run.py of each case: nothing of the
# project's own is started. This checks that they compile, and writes nothing into the folders.
set -e
cd "$(dirname "$0")"
for file in standins-2/world.py [4-8]/run.py; do
    python3 - "$file" <<'CHECK'
import sys
with open(sys.argv[1]) as file:
    compile(file.read(), sys.argv[1], "exec")
CHECK
done
