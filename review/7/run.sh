#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")"
root=$(cd ../.. && pwd)
if [ ! -x "$root/target/review-2/cases" ] || [ ! -x "$root/target/basilstall" ]; then
  echo "not built: run the build line of deploy/system.toml and review/build-2.sh"
  exit 2
fi
exec "$root/target/review-2/cases" blackout . "$root"
