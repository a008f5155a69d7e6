#!/bin/sh
# Builds the stand-ins of the second review's scripts. They are Python programs:
# this checks that each can be compiled. Nothing is written.
set -eu
cd "$(dirname "$0")/.."
for file in review/standins-2/*.py review/[4-8]/*.py tests/soak/store.py \
    tests/soak/wire.py; do
    [ -e "$file" ] || continue
    /usr/bin/python3 -c 'import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' \
        "$file"
done
