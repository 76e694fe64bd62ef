#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Run it after the build of the
# deploy file; it needs no module besides the standard library.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/platform"
GOWORK=off GOTOOLCHAIN=local go build -o "$root/target/review-platform" .
