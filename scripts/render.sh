#!/usr/bin/env bash
# Renders a deployment into a run folder: generates keys, and writes the settings
# with their digests and one configuration file per control and entry instance.
# Usage: render.sh DEPLOYMENT DIR [ENTRIES] [ENGINES]
# ENTRIES and ENGINES limit the number of instances. PORT_OFFSET is added to every
# port, so that several runs can share a machine.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
deployment=$1 dir=$2 entries=${3:-99} engines=${4:-99}
source_dir=$root/deploy/$deployment

mkdir -p "$dir/keys" "$dir/data" "$dir/events" "$dir/log" "$dir/config"
chmod 700 "$dir/keys"

# make_key NAME writes a new key to keys/NAME and prints its digest.
make_key() {
  local out
  out=$("$root/bin/endivectl" key)
  (umask 077 && sed -n 's/^key=//p' <<<"$out" >"$dir/keys/$1")
  sed -n 's/^sha256=//p' <<<"$out"
}

make_key peer >/dev/null
cp "$source_dir/settings.toml" "$dir/settings.toml"
for name in $(grep -o '@sha256:[a-z0-9.-]*@' "$source_dir/settings.toml" | sort -u | sed 's/@sha256:\(.*\)@/\1/'); do
  digest=$(make_key "$name")
  [ "$name" = operator ] && operator_digest=$digest
  sed -i "s/@sha256:$name@/$digest/g" "$dir/settings.toml"
done

# The instances of this run: those of the deployment, up to ENTRIES and ENGINES.
awk -v entries="$entries" -v engines="$engines" -v offset="${PORT_OFFSET:-0}" '/^#/ {next}
  $1 == "entry" && ++e > entries {next}
  $1 == "engine" && ++g > engines {next}
  {split($5, a, ":"); print $1, $2, $3, $4, a[1] ":" a[2] + offset}' "$source_dir/instances.txt" >"$dir/instances.txt"

members=$(awk '$1 == "control" {printf "\n[[bootstrap]]\nname = \"%s\"\naddress = \"%s\"\n", $2, $5}' "$dir/instances.txt")
controls=$(awk '$1 == "control" {printf "%s\"%s\"", sep, $5; sep = ", "}' "$dir/instances.txt")

while read -r kind name region domain address; do
  case $kind in control | entry) ;; *) continue ;; esac
  text=$(<"$root/deploy/$kind.toml.tmpl")
  text=${text//@name@/$name} text=${text//@region@/$region} text=${text//@failure_domain@/$domain}
  text=${text//@address@/$address} text=${text//@dir@/$dir} text=${text//@operator_digest@/$operator_digest}
  text=${text//@team@/$deployment} text=${text//@members@/$members} text=${text//@control_addresses@/$controls}
  printf '%s\n' "$text" >"$dir/config/$name.toml"
done <"$dir/instances.txt"

printf 'control_addresses = [%s]\noperator_key_file = "%s"\nevents_dir = "%s"\n' "$controls" "$dir/keys/operator" "$dir/events" >"$dir/config/endivectl.toml"
