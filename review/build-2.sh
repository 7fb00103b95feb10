#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They are Python
# modules of this repository and of review/lib, so they are only compiled here;
# the packages that they use are in target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:src python3 -m compileall -q \
  src/azureramp_standins/processes.py src/azureramp_standins/fleet review/lib
PYTHONPATH=src:target/deps:review python3 -c \
  "from lib import cases, clients, deployment, poison, searchers"
