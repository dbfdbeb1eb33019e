#!/usr/bin/env bash
# Runs the command blocks marked sh of docs/OPERATIONS.md in order against a
# cell on loopback, in one shell. Each line of a block is one command. Comment
# lines under it say what is checked:
#   # exits: N           exit code, else 0
#   # expects: REGEX     a line of the output matches
#   # within: SECONDS    the command is repeated until all of this holds
# Ends all it started by id. Exits 1 at the first command that differs.
# BUILD_DIR names the folder of the binaries, else build. With OUTPUT_DIR, the
# output of block N is kept there in a file N.
set -uo pipefail
cd "$(dirname "$0")/.."
PAGE=$PWD/docs/OPERATIONS.md
BIN=$(realpath "${BUILD_DIR:-build}")
# Below the range from which the system takes ports for outgoing connections;
# one of those in use keeps a process from listening.
BASE_PORT=${BASE_PORT:-24000}
LIMIT_S=115
CELL_DIR=$(mktemp -d)
EXAMPLES=$PWD/examples/declarations
export WORKER_LEASE_MS=3000
. scripts/cell_lib.sh

end_all() {
  local pid
  for pid in $(jobs -p); do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$CELL_DIR"
}
trap end_all EXIT

# The files and variables that the page takes as given.
prepare() {
  local i
  for i in 1 2 3; do
    write_control "$i" 3 create
    # Small files let the page reach the next one of the log within seconds.
    printf '[consensus]\nsnapshot_after = 4096\n' >>"$CELL_DIR/control-$i.ini"
    declare -g "C$i=127.0.0.1:$(control_http_port "$i")"
  done
  for i in 1 2; do
    write_entry "$i" 3
    declare -g "E$i=127.0.0.1:$(http_port "$i")"
    declare -g "W$i=127.0.0.1:$(worker_port "$i")"
  done
  cp -r "$EXAMPLES" "$CELL_DIR/declarations"
  PATH=$BIN:$PATH
  export MANGOPLANK_SERVER=$E1 MANGOPLANK_TOKEN=$ADMIN_TOKEN WORKER_TOKEN
}

fail() {
  printf 'docs/OPERATIONS.md:%s: %s\n  command: %s\n  output:\n' "$1" "$2" "$command" >&2
  sed 's/^/    /' "$CELL_DIR/.out" >&2
  tail -n 5 "$CELL_DIR"/*.log >&2
  [ -z "${OUTPUT_DIR:-}" ] || cp "$CELL_DIR"/*.log "$OUTPUT_DIR"
  exit 1
}

# attempt: runs the command once; sets difference, empty if all holds.
attempt() {
  local code pattern
  eval "$command" >"$CELL_DIR/.out" 2>&1
  code=$?
  difference=
  [ "$code" -eq "$exits" ] || { difference="exit code $code, not $exits"; return; }
  for pattern in "${expects[@]}"; do
    grep -qE -- "$pattern" "$CELL_DIR/.out" || { difference="no line matches: $pattern"; return; }
  done
}

# run_command: runs what was collected, repeated within its time.
run_command() {
  [ -n "$command" ] || return 0
  local end=$((SECONDS + within))
  attempt
  while [ -n "$difference" ] && [ "$SECONDS" -lt "$end" ]; do
    sleep 0.2
    attempt
  done
  [ -z "$difference" ] || fail "$line_of_command" "$difference"
  [ "$SECONDS" -lt "$LIMIT_S" ] || fail "$line_of_command" "more than $LIMIT_S s in all"
  count=$((count + 1))
  [ -z "${OUTPUT_DIR:-}" ] || cat "$CELL_DIR/.out" >>"$OUTPUT_DIR/$block"
  command=
}

take_line() {
  case $1 in
    '# exits: '*) exits=${1#\# exits: } ;;
    '# expects: '*) expects+=("${1#\# expects: }") ;;
    '# within: '*) within=${1#\# within: } ;;
    '#'* | '') ;;
    *)
      run_command
      command=$1 line_of_command=$number exits=0 within=0 expects=()
      ;;
  esac
}

prepare
cd "$CELL_DIR"
# An unset variable in a command of the page must fail that command only.
set +u
SECONDS=0
command='' block=0 count=0 number=0 inside=no
while IFS= read -r line <&3; do
  number=$((number + 1))
  if [ "$inside" = yes ] && [ "$line" = '```' ]; then
    run_command
    inside=no
  elif [ "$inside" = yes ]; then
    take_line "$line"
  elif [ "$line" = '```sh' ]; then
    inside=yes
    block=$((block + 1))
  fi
done 3<"$PAGE"
[ "$inside" = no ] && [ "$count" -gt 0 ] || { echo "docs/OPERATIONS.md: no commands, or an open block" >&2; exit 1; }
echo "$count commands in $block blocks did what docs/OPERATIONS.md says, in $SECONDS s"
