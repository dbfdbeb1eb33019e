#!/usr/bin/env bash
# Checks the format of all sources and runs clang-tidy over those that changed
# since main and have no clean run of the same content and headers.
# `lint.sh all` looks at all sources; `lint.sh format` at the format only.
# LINT_JOBS: processes at once (3).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
mapfile -t sources < <(git ls-files -co --exclude-standard '*.cpp' '*.h' |
  grep -v '\.capnp\.' | while read -r f; do [ -e "$f" ] && echo "$f"; done)
clang-format --dry-run --Werror "${sources[@]}"
[ "${1:-}" = format ] && exit 0
[ -f "$build/compile_commands.json" ] || cmake -S . -B "$build" -G Ninja >/dev/null
# clang-tidy does not read GCC's precompiled header.
mkdir -p "$build/tidy"
sed -E 's/-include [^ ]*cmake_pch\.hxx//; s/-fpch-preprocess//; s/-Winvalid-pch//' \
  "$build/compile_commands.json" >"$build/tidy/compile_commands.json"
headers=$(git ls-files -co --exclude-standard '*.h' '.clang-tidy' | xargs cat | sha256sum | cut -c1-32)
cache=${XDG_CACHE_HOME:-$HOME/.cache}/mangoplank-tidy
mkdir -p "$cache"
check() {
  stamp=$cache/$(cat "$1" <(echo "$headers") | sha256sum | cut -c1-32)
  [ -e "$stamp" ] && return 0
  clang-tidy --quiet -p "$build/tidy" "$1" 2>"$build/tidy/err.$$" || { cat "$build/tidy/err.$$"; return 1; }
  touch "$stamp"
}
export -f check
export build headers cache
if [ "${1:-}" = all ]; then
  changed=("${sources[@]}")
else
  mapfile -t changed < <({ git diff --name-only main -- '*.cpp'; git ls-files -o --exclude-standard '*.cpp'; } | sort -u)
fi
printf '%s\n' "${changed[@]}" | { grep '\.cpp$' || true; } | grep -v '\.capnp\.' | while read -r f; do [ -e "$f" ] && echo "$f"; done |
  xargs -r -P "${LINT_JOBS:-3}" -I{} bash -c 'check {}'
