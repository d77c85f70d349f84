#!/usr/bin/env bash
# Installs what is needed, builds, and passes all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh
scripts/build.sh
if [ -s KNOWN-RED.txt ]; then
  echo "Known faults, passed over:"
  cat KNOWN-RED.txt
fi
exec ctest --test-dir build --output-on-failure
