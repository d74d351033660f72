#!/bin/sh
# Builds the stand-ins of the cases. The routers come from the build line of the deploy file.
set -eu
cd "$(dirname "$0")/rig"
mkdir -p ../../target
go build -o ../../target/review-rig .
