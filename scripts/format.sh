#!/usr/bin/env bash
# Formats the sources; with --check only reports differences.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
if [ "${1:-}" = --check ]; then
  mode=(--dry-run --Werror)
fi
git ls-files -co --exclude-standard '*.cpp' '*.h' |
  xargs clang-format "${mode[@]}"
