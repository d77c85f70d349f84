#!/usr/bin/env bash
# Installs the packages to build, lint and test cactuswick on Debian 12.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
run_as_root=()
if [ "$(id -u)" -ne 0 ]; then
  run_as_root=(sudo)
fi
"${run_as_root[@]}" apt-get update -qq
"${run_as_root[@]}" apt-get install -y -qq \
  g++ cmake make ninja-build ccache mold pkg-config \
  clang-format clang-tidy \
  libevent-dev libwebsocketpp-dev nlohmann-json3-dev libabsl-dev \
  libboost-dev libboost-log-dev libboost-thread-dev libboost-filesystem-dev \
  libtclap-dev libinih-dev libxxhash-dev libssl-dev zlib1g-dev \
  libgtest-dev librapidcheck-dev \
  python3 python3-pytest python3-pytest-xdist python3-pytest-timeout >/dev/null
