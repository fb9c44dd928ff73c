#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chestnut-gateway ] && [ -x target/review-2/scenarios ] || exit 2
exec target/review-2/scenarios spoiled-header review/10
