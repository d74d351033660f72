#!/bin/sh
# run-case.sh CASE DIR: runs a case of the rig. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
dir=$(cd "$2" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
for program in quetzalmount review-rig; do
	[ -x "$root/target/$program" ] || { echo "target/$program is missing: run the build of the deploy file and review/build.sh"; exit 2; }
done
REPO="$root" "$root/target/review-rig" "$1" "$dir"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
