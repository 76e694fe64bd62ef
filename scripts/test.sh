#!/usr/bin/env bash
# Runs formatter, linter and all tests of all modules. Tests that are listed in
# KNOWN-RED.txt are printed and skipped by name; all others must pass.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
# The linter caches results with paths. Those of a checkout that is gone would
# be reported here, without the files that its exclusions look at.
GOLANGCI_LINT_CACHE="$(go env GOCACHE)/lint-$(pwd | cksum | cut -d' ' -f1)"
export GOLANGCI_LINT_CACHE
lint_version=v2.12.2
lint="$(go env GOPATH)/bin/golangci-lint"
if ! "$lint" version 2>/dev/null | grep -q "${lint_version#v}"; then
  go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$lint_version"
fi
# The lines "test: NAME" of KNOWN-RED.txt name the tests with a known fault.
red=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|')
skip=()
if [ -n "$red" ]; then
  echo "known red, not run: $red"
  skip=(-skip "^($red)\$")
fi
for module in . standin; do
  echo "module $module"
  (cd "$module" && "$lint" run ./... && go vet ./... && go test -count=1 -timeout 20m "${skip[@]}" ./...)
done
