#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python and need only
# the packages in target/deps, which the deploy file's build line installs.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -S -c "import h11"
python3 -m compileall -q review
