#!/usr/bin/env bash
# Runs the case of claim.txt: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it
# runs without the disruption. The product and review/build.sh have to be built before.
set -euo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/basilstall ] || [ ! -x target/review-cases ]; then
  echo "target/basilstall or target/review-cases is not built" >&2
  exit 2
fi
exec target/review-cases lost-at-sigterm review/3/record.txt
