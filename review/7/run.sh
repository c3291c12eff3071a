#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/case-7
[ -x target/lavendervane-entryd ] && [ -x "$program" ] || exit 2
# The stand-in ends its processes when it ends, whatever the reason.
timeout -k 2 115 "$program" "$here/record.txt"
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
