#!/bin/sh
# Runs the case after the build of the deploy file and review/build.sh. Exit codes: 1 the rule
# was broken, 0 it held, 2 not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec review/bin/stand -case exposure-later -record review/5/record.txt -trouble=$trouble
