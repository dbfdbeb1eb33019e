#!/usr/bin/env bash
# Prints measurements as `name value unit` lines, and a signature of decisions.
# Usage: scripts/bench.sh [state|placement|calls|capacity]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh >/dev/null
exec "${BUILD_DIR:-build}/mangoplank-bench" "$@"
