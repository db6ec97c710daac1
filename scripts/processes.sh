#!/usr/bin/env bash
# Runs the stand-ins of Kathmandu and two entry hosts as processes of their own
# on loopback, sends streams, whole answers, service calls and calls that may
# not be repeated, stops one host with SIGTERM while streams run through it,
# and says by the callers' and the stand-ins' records whether all was whole.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

build
start_site kathmandu 2
start_host 1
leaving=$host_pid
start_host 2

"$work/pierctl" drive --dir "$work/site" --for 8s >"$work/report" 2>"$work/drive.err" &
drive=$!
started+=("$drive")

# The host is stopped once requests are in flight through it: after a fixed time
# there might be none yet on a busy machine, and the run would show nothing.
operator=$(grep -o '"operator": "[^"]*"' "$work/site/layout.json" | head -n 1 | cut -d'"' -f4)
for _ in $(seq 300); do
  in_flight=$("$work/pierctl" status --json --node "http://$operator" --key-file "$work/site/operator-key" 2>/dev/null |
    grep -o '"in_flight":[0-9]*' | cut -d: -f2 || true)
  [ "${in_flight:-0}" -ge 5 ] && break
  sleep 0.1
done
if [ "${in_flight:-0}" -lt 5 ]; then
  echo "FAILED: nothing came in flight through the host that was to leave"
  cat "$work/drive.err"
  exit 1
fi
kill -TERM "$leaving"
status=0
wait "$leaving" || status=$?
if [ "$status" -ne 0 ]; then
  echo "FAILED: the host that was stopped ended with status $status"
  tail -n 5 "$work/entry-1.log"
  exit 1
fi
if ! wait "$drive"; then
  echo "FAILED: $(cat "$work/report" "$work/drive.err")"
  exit 1
fi

drained=$(grep -o '"in_flight":[0-9]*' "$work/entry-1.log" | head -n 1 || true)
echo "host 1 was stopped with ${drained:-an unknown number} in flight and ended cleanly"
cat "$work/report"
echo "SOUND: nothing lost, doubled, cut or crossed by stopping a host"
