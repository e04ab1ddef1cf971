#!/usr/bin/env bash
# Builds the stand-ins of the scripts, which use only the standard library, and for the case
# of the upgrade the older build of the project from the history of this repository.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOWORK=off GOTOOLCHAIN=local
mkdir -p target
(cd review/kit && go build -o ../../target/reviewkit .)
older=b3111bb
tree=$(mktemp -d)
trap 'rm -rf "$tree"' EXIT
if ! { git archive "$older" | tar -x -C "$tree" && (cd "$tree" && go build -ldflags=-linkmode=external -o entry ./cmd/lentilpin-entry) && cp "$tree/entry" "target/lentilpin-entry-$older"; }; then
  echo "the older build $older is missing: review/5/run.sh can't run" >&2
fi
