#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves
# the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/review-2/cases ] && [ -x target/release/jtally-node ] || exit 2
TROUBLE="${TROUBLE:-1}" target/review-2/cases reserved review/10
