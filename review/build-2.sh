#!/bin/sh
# Checks that the stand-ins of review/6 and later compile, with the project's stand-in
# for the store. They need Python's standard library only; no compiled files are kept.
set -e
cd "$(dirname "$0")/.."
python3 -B - review/bed.py review/[6-9]/case.py soak/store.py <<'CHECK'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    compile(Path(name).read_text(), name, "exec")
CHECK
