#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chestnutmux ] && [ -x target/standin3 ] || { echo "build first: the build line of deploy/system.toml, then review/build-3.sh" >&2; exit 2; }
exec target/standin3 id-of-two-tenants review/12/record.txt
