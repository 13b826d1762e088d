#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/review-2 ] && [ -x target/release/fulmartrestle-sidecar ] || exit 2
exec target/review-2/review-2 stale-config target/release/fulmartrestle-sidecar review/10/record.txt
