#!/usr/bin/env bash
# Starts the stand-ins and three entries on loopback, sends reads and one order
# twice, kills an entry and sends another order, shows the responses to callers and
# operators, and terminates every process by its ID.
set -euo pipefail
cd "$(dirname "$0")/.."
out=out/demo
mkdir -p "$out"
pids=()
start() { # usage: start NAME COMMAND...
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pids+=($!)
  declare -g "pid_${name//-/_}=$!"
}
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT

backends=()
for port in 7300 7301 7302 7303 7304 7305 7306 7307 7308; do backends+=(--listen "127.0.0.1:$port"); done

echo "== start"
start backends bin/standin-backend "${backends[@]}" --admin 127.0.0.1:7290 --service-time exp:5
start platform bin/standin-platform --read 127.0.0.1:7200 --admin 127.0.0.1:7201 --tree demo/tree.json --instances demo/instances.json --lag-ms 500
for i in 1 2 3; do start "entry-$i" bin/lentilpin-entry --settings "demo/entry-$i.json"; done
bin/standin-caller --wait-ready 127.0.0.1:7212,127.0.0.1:7222,127.0.0.1:7232
echo "three entries are ready"

echo "== callers"
bin/standin-caller --order order-1 | tee "$out/callers.txt"

echo "== one entry is killed; the order is sent again"
kill -KILL "$pid_entry_2"
wait "$pid_entry_2" 2>/dev/null || true
bin/standin-caller --entries 127.0.0.1:7210,127.0.0.1:7230 --order order-2 | tee "$out/after-kill.txt"

echo "== runs of each order at the backend servers"
bin/standin-caller --runs 127.0.0.1:7290 --expect-orders 2

if [ -x bin/lentilpinctl ]; then
  echo "== the operator asks"
  id=$(awk '/^request-id/ {print $2}' "$out/callers.txt" | tail -1)
  bin/lentilpinctl request "$id" --settings demo/ctl.json || echo "exit code $?"
  bin/lentilpinctl refusals --minutes 5 --settings demo/ctl.json || echo "exit code $?"
  bin/lentilpinctl instances --settings demo/ctl.json || echo "exit code $?"
fi

echo "== graceful stop"
status=0
for name in entry-1 entry-3 platform backends; do
  var="pid_${name//-/_}"
  kill -TERM "${!var}"
  wait "${!var}" || { echo "$name ended with exit code $?"; status=1; }
done
trap - EXIT
echo "== end, exit code $status; logs are in $out"
exit $status
