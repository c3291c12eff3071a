#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lavendervane-entryd ] && [ -x target/review/case-5 ] || { echo "build first: deploy file, review/build.sh"; exit 2; }
exec target/review/case-5 review/5/record.txt
