#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same without the disruption. Needs target/peridotpier and review/build.sh.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/peridotpier ] && [ -x target/review-standin ] || exit 2
exec target/review-standin take-up review/earlier/take-up/record.txt
