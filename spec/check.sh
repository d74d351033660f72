#!/bin/sh
# Checks the specification with spin, and that each mutant is refuted. Installs spin if it is missing.
set -eu
cd "$(dirname "$0")"
if ! command -v spin >/dev/null 2>&1; then
	echo "spin is missing, installing the Debian package"
	apt-get update -qq && apt-get install -y -qq spin gcc
fi
spin -V
