#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15. They are modules of Python that use its
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in review/1[1-5]; do
    python3 -m compileall -q "$folder"
done
