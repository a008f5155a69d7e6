#!/bin/sh
exec /usr/bin/python3 -B "$(dirname "$0")/case.py"
