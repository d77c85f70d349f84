#!/usr/bin/env bash
# Demonstrates the system: installs dependencies, builds, runs a small
# deployment on loopback, sends a streamed request and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh
scripts/build.sh
exec /usr/bin/python3 tools/demo.py
