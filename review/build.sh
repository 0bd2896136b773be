#!/bin/sh
# Builds the stand-ins and the drivers of the scripts. They use the standard library only.
set -e
cd "$(dirname "$0")/harness"
mkdir -p ../bin
CGO_ENABLED=0 go build -o ../bin/review-case .
