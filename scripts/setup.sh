#!/usr/bin/env bash
# Installs the Debian packages that the build and the checks need.
set -euo pipefail
packages="g++ cmake ninja-build pkg-config clang-format clang-tidy \
curl libglib2.0-dev libsoup-3.0-dev libcurl4-gnutls-dev libzmq3-dev libprotobuf-dev libboost-dev \
libabsl-dev libfmt-dev libxxhash-dev nlohmann-json3-dev libgtest-dev libgmock-dev"
# shellcheck disable=SC2086
if dpkg -s $packages >/dev/null 2>&1; then exit 0; fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -q >/dev/null
# shellcheck disable=SC2086
apt-get install -y $packages >/dev/null
