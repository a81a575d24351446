#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python and need no packages; this checks that
# they compile with the interpreter that the deploy file uses, and leaves nothing behind.
cd "$(dirname "$0")" || exit 1
exec python3 -S - <<'PYTHON'
import pathlib
import sys

files = [pathlib.Path("common-3/stand.py"), *pathlib.Path().glob("1[1-5]/case.py")]
for path in files:
    compile(path.read_text(), str(path), "exec")
print(f"{len(files)} stand-ins and cases compile with Python {sys.version.split()[0]}")
PYTHON
