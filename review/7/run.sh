#!/bin/sh
# Plays the case "idle" against target/mallowlatch-site; see claim.txt. TROUBLE=0 leaves the disruption out.
# It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/mallowlatch-site ] || [ ! -x target/standin-2 ]; then
	echo "build first: the build line of deploy/system.toml, and review/build-2.sh"
	exit 2
fi
exec target/standin-2 idle review/7
