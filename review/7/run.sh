#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-cases-2 ] && [ -x target/lilackeel-platform ] || exit 2
exec target/review-cases-2 departure review/7/record.txt
