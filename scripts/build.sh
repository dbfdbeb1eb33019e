#!/usr/bin/env bash
# Builds everything into build/, or into the folder named by BUILD_DIR.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja >"${TMPDIR:-/tmp}/mangoplank-cmake.$$" 2>&1 ||
  { cat "${TMPDIR:-/tmp}/mangoplank-cmake.$$"; exit 1; }
rm -f "${TMPDIR:-/tmp}/mangoplank-cmake.$$"
cmake --build "$build" -- -k 0 "$@"
