#!/usr/bin/env bash
# Builds the daemon of the previous release from the history, for the tests of
# fleets of two releases; does nothing when it is there already.
#
# Usage: build-previous-release.sh [BUILD_FOLDER]
# The daemon is at BUILD_FOLDER/previous-release/build/bin/cactuswickd.
set -euo pipefail
cd "$(dirname "$0")/.."

commit=$(cat scripts/previous-release)
folder=${1:-build}/previous-release
if [[ $(cat "$folder/done" 2>/dev/null) == "$commit" ]]; then
  exit
fi

rm -rf "$folder"
mkdir -p "$folder"
git archive "$commit" -- . ':!review' ':!journal' | tar -x -C "$folder"
# A build folder inside the source gives the same relative paths as an ordinary
# build, so that the compiler cache serves both.
cmake -S "$folder" -B "$folder/build" -G Ninja -DCACTUSWICK_TESTS=OFF \
  >/dev/null
cmake --build "$folder/build" --target cactuswickd
echo "$commit" >"$folder/done"
