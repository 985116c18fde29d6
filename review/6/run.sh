#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/identical_requests ] && [ -x target/madderdeckd-platform ] || exit 2
exec target/review-2/identical_requests review/6
