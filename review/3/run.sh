#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves
# the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/review/standin ] || [ ! -x target/release/jtally-node ]; then
  echo "build the deploy file and review/build.sh first"
  exit 2
fi
target/review/standin large-job "$here" &
id=$!
# Ends the processes that the case has started, also if it is broken off.
trap 'kill -KILL $(cat /proc/$id/task/*/children) $id 2>/dev/null; exit 2' INT TERM
wait $id
exit $?
