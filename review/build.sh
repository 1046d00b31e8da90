#!/usr/bin/env bash
# Checks that the stand-ins compile. They need Python's standard library only, and no
# compiled files are kept, so that this folder holds the cases and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - review/*.py review/*/case.py <<'CHECK'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    compile(Path(name).read_text(), name, "exec")
CHECK
