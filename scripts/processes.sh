#!/usr/bin/env bash
# Runs a trial in which the stand-ins, each entry and the load driver are separate processes. Under
# load it kills one entry, suspends one for three seconds and stops one gracefully.
#
#   scripts/processes.sh examples/trials/processes.jsonc
#
# Prints the figures as JSON and exits with the status of the driver: 0 if every bound was met.
# BIN is the folder of the console scripts, by default .venv/bin.
set -euo pipefail
trial_file=$1
bin=${BIN:-.venv/bin}
folder=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$folder"' EXIT

"$bin/radishmount-trial" standins "$trial_file" --settings-dir "$folder" >"$folder/standins.log" 2>&1 &
pids+=($!)
for _ in $(seq 100); do
    [ -f "$folder/standins.json" ] && break
    sleep 0.1
done

entries=()
for settings in "$folder"/*.jsonc; do
    "$bin/radishmount-entry" --settings "$settings" >"${settings%.jsonc}.log" 2>&1 &
    entries+=($!)
    pids+=($!)
done

"$bin/radishmount-trial" drive "$trial_file" --settings-dir "$folder" --json >"$folder/result.json" &
driver=$!
pids+=("$driver")
sleep 6
kill -KILL "${entries[0]}"
kill -STOP "${entries[1]}"
sleep 3
kill -CONT "${entries[1]}"
kill -TERM "${entries[2]}"
status=0
wait "$driver" || status=$?
cat "$folder/result.json"
exit "$status"
