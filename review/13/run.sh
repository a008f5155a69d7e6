#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/springstaird ] || exit 2
exec /usr/bin/python3 -B review/13/case.py
