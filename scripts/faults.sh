#!/usr/bin/env bash
# Runs the fault matrix with real processes. Usage: faults.sh SEED MINUTES.
set -euo pipefail
cd "$(dirname "$0")/.."
exec bin/standin-faults -seed "$1" -minutes "$2"
