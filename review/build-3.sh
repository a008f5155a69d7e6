#!/bin/sh
# Builds the stand-ins of the cases 9 to 13. All of them, and the modules of
# tests/soak that they use, are Python: there is only their syntax to check.
cd "$(dirname "$0")/.." || exit 2
exec /usr/bin/python3 -B - <<'PYTHON'
import ast
import glob

for name in sorted(glob.glob("review/standins-3/*.py")
                   + glob.glob("review/9/*.py")
                   + glob.glob("review/1[0-3]/*.py")
                   + ["tests/soak/store.py", "tests/soak/wire.py"]):
    with open(name, encoding="utf-8") as source:
        ast.parse(source.read(), name)
    print("checked", name)
PYTHON
