#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/9.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/cases ./review/_kit2
