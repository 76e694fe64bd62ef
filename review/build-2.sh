#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into target/.
set -euo pipefail
cd "$(dirname "$0")/meshcheck/platform"
GOWORK=off GOTOOLCHAIN=local go build -o ../../../target/meshcheck .
