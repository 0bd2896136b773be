#!/usr/bin/env bash
# Measures how control's cost grows with size (docs/CAPACITY.md).
set -euo pipefail
cd "$(dirname "$0")/.."
exec bin/endivetrack-slopes -bin bin
