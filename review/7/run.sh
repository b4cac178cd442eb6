#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/relayd ] && [ -x target/standins-2 ] || exit 2
exec timeout --kill-after=5 110 target/standins-2 crash-then-cut "$folder"
