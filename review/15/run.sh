#!/bin/sh
# Plays the case and writes record.txt here: 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/stand ] && [ -x target/rattantide-gateway ] || exit 2
exec target/review-3/stand -case headers -program target/rattantide-gateway -record review/15/record.txt
