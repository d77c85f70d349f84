#!/usr/bin/env bash
# Configures and builds everything into build/, with warnings as errors.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja -DCACTUSWICK_WERROR=ON >/dev/null
cmake --build build
