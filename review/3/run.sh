#!/usr/bin/env bash
# Runs the case secondOrder of review/platform and writes record.txt beside this file. It exits with
# 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With
# TROUBLE=0 the disruption is left out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
for program in kingcuppitchd review-platform; do
  [ -x "$root/target/$program" ] || { echo "target/$program is missing: run the build of deploy/system.toml and review/build.sh" >&2; exit 2; }
done
exec "$root/target/review-platform" -root "$root" -record "$here/record.txt" -trouble="$trouble" secondOrder
