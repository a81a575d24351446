#!/bin/sh
# Plays the case on loopback addresses: 1 if the rule is broken, 0 if it holds, 2 if
# the case can't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/5/case.py
