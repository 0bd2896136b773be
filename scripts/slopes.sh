#!/usr/bin/env bash
# Measures how the cost of a control instance grows with the size of the
# deployment (docs/CAPACITY.md).
set -euo pipefail
cd "$(dirname "$0")/.."
exec bin/endivetrack-slopes -bin bin
