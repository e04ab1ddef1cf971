#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use only the standard library.
set -euo pipefail
cd "$(dirname "$0")/kit"
GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/reviewkit .
