#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python and use the standard
# library alone, so all that is to be done is to check that this machine's Python can read them.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python - review/parts_2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py <<'PYTHON'
import pathlib
import sys

for path in sys.argv[1:]:
    compile(pathlib.Path(path).read_text(), path, "exec")
PYTHON
