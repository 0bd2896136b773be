#!/usr/bin/env bash
# Runs both example deployments on loopback under load, changes a setting, takes
# a failure domain out of service and back, stops an entry instance gracefully,
# and compares the callers' results with the stand-ins' records.
# Usage: demo.sh [SEED]; KEEP=1 keeps the run folder, ENGINE_FLAGS is passed to
# each engine, PORT_OFFSET is added to every port.
set -euo pipefail
source "$(dirname "$0")/lib.sh"
seed=${1:-1}
run=$(mktemp -d)
pids_file=$run/pids
touch "$pids_file"
deployments=(balle-sahel maktabat)
out_domain=(dakar-b nord-fes)
stopped_entry=entry-4

finish() {
  local status=$?
  stop_all 2
  if [ "$status" -ne 0 ] && [ -z "${KEEP:-}" ]; then
    echo "logs of the failed run:" >&2
    tail -n 3 "$run"/*/log/*.log >&2 || true
  fi
  if [ -n "${KEEP:-}" ]; then echo "run folder: $run" >&2; else rm -rf "$run"; fi
  exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM

started=$SECONDS
say() { printf '%3ds %s\n' $((SECONDS - started)) "$*"; }

# run_deployment DEPLOYMENT DOMAIN runs the demo for one deployment. It takes the
# failure domain DOMAIN out of service for 6 s.
run_deployment() {
  local name=$1 domain=$2 dir=$run/$1 from until t0 pid
  start_controls "$dir"
  wait_for 10 "$name: settings accepted" apply_settings "$dir" "$name" "$dir/settings.toml"
  start_entries "$dir"
  start_targets "$dir" "$name" "$seed" -cold-for 3s ${ENGINE_FLAGS:-}
  wait_for 10 "$name: entry instances serve" all_entries_known "$dir"
  wait_for 10 "$name: targets announced" all_targets_announced "$dir"
  say "$name: $(instances "$dir" control | wc -l) control and $(instances "$dir" entry | wc -l) entry instances, $(instances "$dir" engine | wc -l) engines and $(instances "$dir" service | wc -l) services run"

  "$bin/standin-loadgen" -profile "$root/deploy/$name/load.toml" -entries "$(addresses "$dir" entry)" -keys "$dir/keys" \
    -out "$dir/load.json" -seed "$seed" -duration 22s -drain 20s -generate-rate 10 -read-rate 15 -write-rate 8 -max-tokens 400 &
  local load=$!
  echo "$load $dir loadgen" >>"$pids_file"

  sleep 3
  sed -i '0,/^weight = .*/ s//weight = 12/' "$dir/settings.toml"
  apply_settings "$dir" "$name" "$dir/settings.toml"
  say "$name: weight of an account changed under load; $(tail -n 1 "$dir/apply.out")"

  sleep 1
  set_in_service "$dir/settings.toml" "$domain" false
  t0=$(now_micros)
  apply_settings "$dir" "$name" "$dir/settings.toml"
  from=$((t0 + 1000 * $(sed -n 's/^accepted .*after=\([0-9]*\)ms/\1/p' "$dir/apply.out")))
  say "$name: failure domain $domain out of service; $(tail -n 1 "$dir/apply.out")"
  sleep 6
  set_in_service "$dir/settings.toml" "$domain" true
  until=$(now_micros)
  echo "$domain $from $until" >"$dir/windows.txt"
  apply_settings "$dir" "$name" "$dir/settings.toml"
  say "$name: failure domain $domain back; $(tail -n 1 "$dir/apply.out")"

  sleep 1
  pid=$(pid_of "$dir" "$stopped_entry")
  kill -TERM "$pid"
  local status=0
  wait "$pid" || status=$?
  say "$name: $stopped_entry stopped gracefully with status $status"
  [ "$status" -eq 0 ]
  wait "$load"
}

for i in "${!deployments[@]}"; do
  "$root/scripts/render.sh" "${deployments[i]}" "$run/${deployments[i]}" 7 6
done
jobs=()
for i in "${!deployments[@]}"; do
  run_deployment "${deployments[i]}" "${out_domain[i]}" &
  jobs+=($!)
done
failed=0
for job in "${jobs[@]}"; do wait "$job" || failed=1; done
[ "$failed" -eq 0 ]
for name in "${deployments[@]}"; do
  events=$("$bin/endivectl" timeline -dir "$run/$name/events" | wc -l)
  say "$name: timeline of all processes has $events events; the last ones:"
  "$bin/endivectl" timeline -dir "$run/$name/events" -last 4 | sed 's/^/       /'
done
"$bin/standin-verify" -label demo "${deployments[@]/#/$run/}"
