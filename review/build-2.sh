#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start.
# They are Python without dependencies; run it after deploy/build.sh.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q stage
for case in 6 7 8 9 10; do
    if [ -f "$case/case.py" ]; then
        python3 -m compileall -q "$case"
    fi
done
