#!/usr/bin/env bash
# Installs the Debian packages that the build needs, if any is missing.
set -euo pipefail
packages="g++ cmake ninja-build ccache clang-format clang-tidy
  libgtest-dev libgmock-dev libssl-dev libboost1.81-dev
  libboost-program-options1.81-dev libcapnp-dev capnproto libspdlog-dev
  libfmt-dev curl python3"
missing=""
for p in $packages; do
  dpkg -s "$p" >/dev/null 2>&1 || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing >/dev/null
