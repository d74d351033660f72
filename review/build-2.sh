#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The programs under test come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target/review-2
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2/standins-2 .
