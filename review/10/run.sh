#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Build first: the deploy file's build line, then review/build-2.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -f target/review-2/review2/ForgedBeat.class ] || [ ! -f target/lib/azurestage-platform.jar ]; then
    echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
fi
exec java -Xmx512m -Dreview.root=. -cp target/review-2 review2.ForgedBeat review/10/record.txt
