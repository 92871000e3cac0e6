#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the outages out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/mallowlatch-site ] && [ -x target/review-standin ] || exit 2
exec target/review-standin store-back target/mallowlatch-site "$here/record.txt"
