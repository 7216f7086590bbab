#!/usr/bin/env bash
# A new owner starts a task on a runner that is draining. Build with the deploy file's command and review/build-2.sh first.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$here/../.." || exit 2
cases=target/review-2/cases
program=target/release/hemlockramp-platform
[ -x "$cases" ] && [ -x "$program" ] || { echo "not built: $cases, $program"; exit 2; }
exec "$cases" draining "$program" "$here"
