#!/usr/bin/env bash
# Checks the stand-ins of the third review, which need Python 3.8 or later and nothing else. The program
# under test is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - world3.py 1[1-5]/case.py <<'PY'
import sys

if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
