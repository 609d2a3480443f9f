#!/bin/sh
# Plays the case "zone": exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 plays it without the disruption. Needs the build of the deploy
# file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] || exit 2
exec target/review-standin zone review/5/record.txt
