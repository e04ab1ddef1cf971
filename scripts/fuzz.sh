#!/usr/bin/env bash
# Runs the state machine tests of the given packages with random seeds for half of
# SECONDS, and all fuzz targets for the other half.
# Usage: scripts/fuzz.sh SECONDS PACKAGE...
# A failure prints the command that reproduces it.
set -uo pipefail
seconds=$1
shift
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
status=0

binaries=()
for package in "$@"; do
  binary=$dir/$(echo "$package" | tr / _).test
  go test -c -o "$binary" "$package" || exit 1
  binaries+=("$package $binary")
done

end=$((SECONDS + seconds / 2))
rounds=0
while [ $SECONDS -lt $end ]; do
  seed=$((RANDOM * 32768 + RANDOM + 1))
  for entry in "${binaries[@]}"; do
    read -r package binary <<<"$entry"
    source_dir=$(go list -f '{{.Dir}}' "$package")
    if ! (cd "$source_dir" && "$binary" -test.count=1 -rapid.seed=$seed -rapid.nofailfile >"$dir/log" 2>&1); then
      status=1
      cat "$dir/log"
      echo "FAILED: go test -count=1 $package -rapid.seed=$seed"
    fi
    [ $SECONDS -lt $end ] || break
  done
  rounds=$((rounds + 1))
done
echo "state machines: $rounds rounds with fresh seeds over ${#binaries[@]} packages in about $((seconds / 2)) s"

targets=$(grep -rhoE --include='*_test.go' 'func (Fuzz[A-Za-z0-9_]+)' pkg standin | wc -l)
for file in $(grep -rlE --include='*_test.go' '^func Fuzz' pkg standin); do
  for target in $(grep -oE '^func Fuzz[A-Za-z0-9_]+' "$file" | cut -d' ' -f2); do
    package=./$(dirname "$file")
    if ! go test -run '^$' -fuzz "^$target\$" -fuzztime "$((seconds / 2 / targets + 1))s" "$package"; then
      status=1
      echo "FAILED: go test -run '$target' $package (the input is in its testdata)"
    fi
  done
done
exit $status
