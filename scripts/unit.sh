#!/bin/sh
# Runs all Go tests, without cached results, because the end-to-end tests build programs that the cache does not know of,
# but those that KNOWN-RED.txt lists, which it prints. An entry's first word is the test's name.
# Tests named TestCrowd measure memory and descriptors of whole processes, and run after the others, one at a time.
set -eu
cd "$(dirname "$0")/.."
red=$(sed -e '/^#/d' -e '/^[[:space:]]/d' -e '/^$/d' -e 's/[[:space:]].*//' KNOWN-RED.txt | paste -sd'|' -)
echo "not run, listed in KNOWN-RED.txt: ${red:-none}"
red="^(${red:-none})\$"
go test -count=1 -timeout 20m -skip "$red|^TestCrowd" ./...
exec go test -count=1 -timeout 20m -p 1 -run '^TestCrowd' -skip "$red" ./platform ./internal/entry/e2e
