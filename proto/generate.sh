#!/usr/bin/env bash
# Regenerates wire/v1 from control.proto. Needs protoc, protoc-gen-go and
# protoc-gen-connect-go; a build does not need them, since the result is committed.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf wire && mkdir -p wire
protoc -I proto --go_out=. --go_opt=module=github.com/kingcuppitch/kingcuppitch \
  --connect-go_out=. --connect-go_opt=module=github.com/kingcuppitch/kingcuppitch proto/control.proto
