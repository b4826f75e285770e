#!/usr/bin/env bash
# Runs the case once: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/review-2/cases ] && [ -x target/release/jtally-node ] || exit 2
target/review-2/cases late-job review/9
