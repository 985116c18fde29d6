#!/bin/sh
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review/trial && test -x target/madderdeckd-platform || { echo "run the build of deploy/system.toml and review/build.sh first"; exit 2; }
exec target/review/trial crashing_engines "$PWD/review/3/record.txt"
