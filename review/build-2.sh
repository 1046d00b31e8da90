#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review soak fuchsiapin platform
