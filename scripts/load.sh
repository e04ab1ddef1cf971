#!/usr/bin/env bash
# Measures one entry in front of backend stand-ins on loopback: the latency through
# the entry and over direct connections in the same run, and the processor time and
# resident memory of the entry. RATE is in requests per second; each gets a run.
# Usage: scripts/load.sh RATE...
# Environment: SERVICE_TIME of the backend servers (default const:1), ENTRY_PROCS
# for GOMAXPROCS of the entry (default 2), IDLE_S for the idle measurement (default
# 5) and DURATION_MS of each run (default 6000).
set -euo pipefail
cd "$(dirname "$0")/.."
out=out/load
mkdir -p "$out"
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT

list=()
direct=()
instances='{"name":"entry-1","kind":"entry","address":"127.0.0.1:7411","failureDomain":"fi-1","state":"live","ordinal":0}'
for i in $(seq 0 7); do
  port=$((7500 + i))
  service=varasto
  [ "$i" -ge 6 ] && service=tilaus
  list+=(--listen "127.0.0.1:$port")
  [ "$i" -lt 6 ] && direct+=(--direct "127.0.0.1:$port")
  instances+=",{\"name\":\"b$i\",\"kind\":\"backend\",\"service\":\"$service\",\"address\":\"127.0.0.1:$port\",\"failureDomain\":\"fi-1\",\"state\":\"live\",\"ordinal\":0}"
done
echo "[$instances]" >"$out/instances.json"
sed -e 's/72\(1[0-2]\)/74\1/g; s/7200/7400/' demo/entry-1.json | sed -e '/seedPeers/,/\]/d' >"$out/entry.json"

bin/standin-backend "${list[@]}" --admin 127.0.0.1:7490 --slots 64 --service-time "${SERVICE_TIME:-const:1}" >"$out/backends.log" 2>&1 &
pids+=($!)
bin/standin-platform --read 127.0.0.1:7400 --admin 127.0.0.1:7401 --tree demo/tree.json --instances "$out/instances.json" >"$out/platform.log" 2>&1 &
pids+=($!)
GOMAXPROCS=${ENTRY_PROCS:-2} bin/lentilpin-entry --settings "$out/entry.json" >"$out/entry.log" 2>&1 &
entry=$!
pids+=($entry)
bin/standin-caller --wait-ready 127.0.0.1:7412

ticks() { awk '{print $14 + $15}' "/proc/$entry/stat"; }
hz=$(getconf CLK_TCK)
before=$(ticks)
sleep "${IDLE_S:-5}"
echo "== idle for ${IDLE_S:-5} s: processor time of the entry $((($(ticks) - before) * 1000 / hz)) ms"
for rate in "$@"; do
  before=$(ticks)
  bin/lentilpin-load --target 127.0.0.1:7410 "${direct[@]}" --rate "$rate" --duration-ms "${DURATION_MS:-6000}" --seed "$rate" --verify 127.0.0.1:7490 >"$out/load-$rate.txt" 2>&1 || echo "load at $rate/s ended with exit code $?"
  after=$(ticks)
  echo "== rate $rate/s, half of the reads direct; processor time of the entry $(((after - before) * 1000 / hz)) ms; resident $(awk '/VmRSS/ {print $2, $3}' "/proc/$entry/status")"
  cat "$out/load-$rate.txt"
done
