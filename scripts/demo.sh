#!/usr/bin/env bash
# The main job in one command: installs what is needed, builds, runs a small
# deployment on loopback, sends a streamed request and stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh
scripts/build.sh
exec /usr/bin/python3 tools/demo.py
