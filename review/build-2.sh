#!/bin/sh
# Builds every stand-in that review/6/run.sh to review/10/run.sh start, into
# target/review-2. They are Python without dependencies; run it after
# deploy/build.sh.
set -eu
cd "$(dirname "$0")"
built=../target/review-2
rm -rf "$built"
mkdir -p "$built"
cp scene.py store.py caller.py load.py replica.py "$built/"
python3 -m compileall -q "$built"
