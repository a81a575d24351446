#!/bin/sh
# Checks that the stand-ins of all cases compile; they need nothing but Python 3.11.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review
