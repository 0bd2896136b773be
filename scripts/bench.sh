#!/usr/bin/env bash
# Compares the system with baseline policies, using real processes at the sizes
# in docs/design.md, section 1. The policies run one after the other with the same
# seeded arrivals; for each policy, both deployments run at the same time.
# Usage: bench.sh [SEED]; POLICIES="endivetrack ..." selects the policies, of
# which the first is the one under test; KEEP=1 keeps the run folder.
set -euo pipefail
source "$(dirname "$0")/lib.sh"
seed=${1:-1}
read -r -a policies <<<"${POLICIES:-endivetrack least-outstanding two-choices fixed-concurrency}"
run=$(mktemp -d)
pids_file=$run/pids
touch "$pids_file"
deployments=(balle-sahel maktabat)
out_domain=(dakar-b nord-fes)

# Memory limits the engines: 12 sequences of the profiles' mix with max_tokens
# nearly fill memory_tokens. An engine then serves rate_per_engine requests per
# second, which is its capacity; at higher rates it preempts sequences.
max_tokens=600
memory_tokens=9000
rate_per_engine=3.6
steady_span=20 over_span=8 domain_span=8
# Sequences per engine with the policy fixed-concurrency.
fixed_limit=12

finish() {
  local status=$?
  stop_all 1
  if [ "$status" -ne 0 ] && [ -z "${KEEP:-}" ]; then tail -n 3 "$run"/*/*/log/*.log >&2 || true; fi
  if [ -n "${KEEP:-}" ]; then echo "run folder: $run" >&2; else rm -rf "$run"; fi
  exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM

go build -o "$bin/" "$root/bench/cmd/..."

# request_rate PERCENT ENGINES prints PERCENT of the capacity of ENGINES engines, in
# requests per second.
request_rate() { awk -v p="$1" -v n="$2" -v r="$rate_per_engine" 'BEGIN {print p / 100 * n * r}'; }

# run_load DIR DEPLOYMENT PHASE SPAN PERCENT [FLAGS...] runs the load of a phase for
# SPAN seconds at PERCENT of the engines' capacity.
run_load() {
  local dir=$1 name=$2 phase=$3 span=$4 percent=$5
  shift 5
  "$bin/standin-loadgen" -profile "$root/deploy/$name/load.toml" -entries "$(addresses "$dir" entry)" -keys "$dir/keys" \
    -out "$dir/$phase.json" -seed "$seed" -duration "${span}s" -drain 25s -max-tokens "$max_tokens" -repeat-share 0 \
    -gap "$(sed -n 's/^target_gap_ms = //p' "$dir/settings.toml")ms" -generate-rate "$(request_rate "$percent" "$(instances "$dir" engine | wc -l)")" -read-rate 20 -write-rate 10 "$@" &
  local id=$!
  echo "$id $dir loadgen" >>"$pids_file"
  wait "$id"
}

# switch_domain POLICY DIR DEPLOYMENT NAME true|false puts a failure domain in
# service (true) or takes it out of service (false).
switch_domain() {
  if [ "$1" = "$system" ]; then
    set_in_service "$2/settings.toml" "$4" "$5"
    apply_settings "$2" "$3" "$2/settings.toml"
  else
    curl -sf -X POST "http://$(addresses "$2" entry)/bench/domain?name=$4&in_service=$5"
  fi
}

# run_policy POLICY DEPLOYMENT DOMAIN runs all phases for one deployment. In the
# last phase, it takes the failure domain DOMAIN out of service for 3 s.
run_policy() {
  local policy=$1 name=$2 out=$3 dir=$run/$1/$2 address
  if [ "$policy" = "$system" ]; then
    start_controls "$dir"
    wait_for 10 "$name: settings accepted" apply_settings "$dir" "$name" "$dir/settings.toml"
    start_entries "$dir"
    wait_for 10 "$name: entry instances serve" all_entries_known "$dir"
  else
    start_process "$dir" proxy "$bin/bench-proxy" -policy "$policy" -limit "$fixed_limit" -seed "$seed" -listen "$(addresses "$dir" entry)"
  fi
  # Engines start warm and become cold at random times (-mean-warm).
  start_targets "$dir" "$name" "$seed" -warm-start -mean-warm 120s -memory-tokens $memory_tokens
  wait_for 10 "$name: targets announced" all_targets_announced "$dir"
  # An unmeasured load fills the caches and lets each policy adapt.
  run_load "$dir" "$name" warm 4 60 -seed $((seed + 1000)) -burst-factor 1 &
  sleep 4
  run_load "$dir" "$name" steady "$steady_span" 85 -burst-factor 3 -burst-period 20s -burst-length 6s
  run_load "$dir" "$name" over "$over_span" 130 -burst-factor 1
  run_load "$dir" "$name" domain "$domain_span" 60 -burst-factor 1 &
  local callers=$!
  sleep 2
  switch_domain "$policy" "$dir" "$name" "$out" false
  sleep 3
  switch_domain "$policy" "$dir" "$name" "$out" true
  wait "$callers"
  mkdir -p "$dir/records"
  for address in $(addresses "$dir" engine | tr ',' ' '); do
    curl -sf "http://$address/standin/record" >"$dir/records/${address##*:}.json"
  done
}

system=endivetrack
for policy in "${policies[@]}"; do
  jobs=()
  for i in "${!deployments[@]}"; do
    name=${deployments[i]}
    "$root/scripts/render.sh" "$name" "$run/$policy/$name" "$([ "$policy" = "$system" ] || echo 1)"
    run_policy "$policy" "$name" "${out_domain[i]}" &
    jobs+=($!)
  done
  failed=0
  for job in "${jobs[@]}"; do wait "$job" || failed=1; done
  [ "$failed" -eq 0 ]
  stop_all 0
  : >"$pids_file"
  echo "$policy measured after ${SECONDS}s" >&2
done
"$bin/standin-measure" -run "$run" -warm 12 -policies "$(IFS=,; echo "${policies[*]}")" -deployments "$(IFS=,; echo "${deployments[*]}")" \
  -spans "steady=${steady_span}s,over=${over_span}s,domain=${domain_span}s"
