#!/bin/sh
# The stand-ins need no build: they use only Python's standard library.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q .
