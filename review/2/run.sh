#!/usr/bin/env bash
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/rig ] && [ -x target/release/hemlockramp-platform ] || {
    echo "build the deploy file and review/build.sh first" >&2
    exit 2
}
temporary=$(mktemp -d) || exit 2
# Job control gives the rig and the hosts that it starts a process group of their own.
set -m
target/review/rig cut-runners "$here" "$temporary" &
rig=$!
set +m
trap 'kill -KILL -- -$rig 2>/dev/null; rm -rf "$temporary"' EXIT
trap 'exit 2' INT TERM
wait $rig
code=$?
[ $code -le 1 ] || code=2
exit $code
