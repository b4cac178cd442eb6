#!/bin/sh
# Plays the case of claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the
# disruption is left out. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
test -x target/relayd && test -x target/review-3/standins-3 || exit 2
exec target/review-3/standins-3 lostwrite target/relayd review/14/record.txt
