#!/usr/bin/env bash
# Runs this case; see claim.txt. Exit code 1: the rule was broken, 0: it held, 2: not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/reviewkit ] && [ -x target/lentilpin-entry ] || { echo "build the deploy file and review/build.sh first" >&2; exit 2; }
exec target/reviewkit long-timeout review/5
