# Functions for scripts that start a deployment on loopback; to be sourced.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/bin
# File with one line per started process: id, run folder, name. Signals are sent
# to these processes only.
pids_file=

# start_process DIR NAME COMMAND... starts a program with its output in
# DIR/log/NAME.log.
start_process() {
  local dir=$1 name=$2
  shift 2
  "$@" >"$dir/log/$name.log" 2>&1 &
  echo "$! $dir $name" >>"$pids_file"
}

# pid_of DIR NAME prints the process id of a program's latest start.
pid_of() { awk -v dir="$1" -v name="$2" '$2 == dir && $3 == name {pid = $1} END {print pid}' "$pids_file"; }

# alive PID succeeds while the process exists.
alive() { kill -0 "$1" 2>/dev/null; }

# instances DIR KIND prints name, region, failure domain and address of each
# instance of a kind, one per line.
instances() { awk -v kind="$2" '$1 == kind {print $2, $3, $4, $5}' "$1/instances.txt"; }

# addresses DIR KIND [REGION] prints the addresses of a kind of instance,
# separated by commas.
addresses() {
  awk -v kind="$2" -v region="${3:-}" '$1 == kind && (region == "" || $3 == region) {printf "%s%s", sep, $5; sep = ","}' "$1/instances.txt"
}

# value_of FILE KEY prints the first string value of a key in a TOML file.
value_of() { sed -n "s/^$2 = \"\(.*\)\"/\1/p" "$1" | head -n 1; }

start_controls() {
  local name _
  while read -r name _; do
    start_process "$1" "$name" "$bin/endivetrack-control" run -config "$1/config/$name.toml"
  done < <(instances "$1" control)
}

start_entries() {
  local name _
  while read -r name _; do
    start_process "$1" "$name" "$bin/endivetrack-entry" run -config "$1/config/$name.toml"
  done < <(instances "$1" entry)
}

# start_targets DIR DEPLOYMENT SEED [ENGINE FLAGS...] starts all engines and services.
start_targets() {
  local dir=$1 deployment=$2 seed=$3 name region domain address service n=0
  shift 3
  local load=$root/deploy/$deployment/load.toml
  local plain model engines
  plain=$(value_of "$load" plain_service)
  model=$(value_of "$load" model)
  # In the benchmark, a single proxy can serve all regions.
  local single_entry=
  [ "$(instances "$dir" entry | wc -l)" -gt 1 ] || single_entry=$(addresses "$dir" entry)
  engines=$(instances "$dir" engine | head -n 1 | sed 's/-[0-9]* .*//')
  while read -r name region domain address; do
    n=$((n + 1))
    start_process "$dir" "$name" "$bin/standin-engine" -team "$deployment" -service "$engines" -target "$name" \
      -region "$region" -failure-domain "$domain" -listen "$address" -entries "${single_entry:-$(addresses "$dir" entry "$region")}" \
      -key-file "$dir/keys/target-$engines" -models "$model" -seed $((seed * 1000 + n)) "$@"
  done < <(instances "$dir" engine)
  while read -r name region domain address; do
    start_process "$dir" "$name" "$bin/standin-service" -team "$deployment" -service "$plain" -target "$name" \
      -region "$region" -failure-domain "$domain" -listen "$address" -entries "${single_entry:-$(addresses "$dir" entry "$region")}" \
      -key-file "$dir/keys/target-$plain" -journal "$dir/data/$name.journal" -seed "$seed"
  done < <(instances "$dir" service)
}

# apply_settings DIR DEPLOYMENT FILE applies settings as the next revision and
# writes the output of endivectl to DIR/apply.out.
apply_settings() {
  local dir=$1 revision=0
  [ -f "$dir/revision" ] && revision=$(<"$dir/revision")
  "$bin/endivectl" apply -config "$dir/config/endivectl.toml" -team "$2" -expected-revision "$revision" "$3" >"$dir/apply.out" || return 1
  sed -n 's/.* revision=\([0-9]*\).*/\1/p' "$dir/apply.out" | head -n 1 >"$dir/revision"
}

# wait_for SECONDS WHAT COMMAND... retries the command until it succeeds, for at
# most SECONDS. WHAT describes the awaited condition in the error message.
wait_for() {
  local seconds=$1 what=$2 deadline
  shift 2
  deadline=$((SECONDS + seconds))
  until "$@"; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "timed out after ${seconds}s: $what" >&2
      return 1
    fi
    sleep 0.1
  done
}

# all_entries_known DIR succeeds once the first entry instance returns the
# addresses of all entry instances.
all_entries_known() {
  local first want
  first=$(instances "$1" entry | head -n 1 | cut -d ' ' -f 4)
  want=$(instances "$1" entry | wc -l)
  [ "$(curl -s -m 1 "http://$first/v1/addresses" | grep -o '"address":' | wc -l)" -eq "$want" ]
}

# all_targets_announced DIR succeeds once an announcement of each target was
# accepted.
all_targets_announced() {
  local address
  for address in $(awk '$1 == "service" || $1 == "engine" {print $5}' "$1/instances.txt"); do
    curl -s -m 1 "http://$address/standin/record" | grep -q '"announcements":[1-9]' || return 1
  done
}

# set_in_service FILE DOMAIN true|false sets in_service of a failure domain in a
# settings file.
set_in_service() {
  sed -i "/^\[failure_domains\.$2\]/,/^\[/ s/^in_service = .*/in_service = $3/" "$1"
}

now_micros() { date +%s%6N; }

# stop_all [SECONDS] stops all started processes by id: SIGTERM, then after
# SECONDS (default 3) SIGKILL.
stop_all() {
  [ -n "$pids_file" ] && [ -f "$pids_file" ] || return 0
  local pid _ deadline
  while read -r pid _; do kill -TERM "$pid" 2>/dev/null || true; done <"$pids_file"
  deadline=$((SECONDS + ${1:-3}))
  while [ "$SECONDS" -lt "$deadline" ] && any_alive; do sleep 0.1; done
  while read -r pid _; do kill -KILL "$pid" 2>/dev/null || true; done <"$pids_file"
  wait 2>/dev/null || true
}

any_alive() {
  local pid _
  while read -r pid _; do alive "$pid" && return 0; done <"$pids_file"
  return 1
}
