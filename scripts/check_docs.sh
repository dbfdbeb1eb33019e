#!/usr/bin/env bash
# Compares docs/configuration.md with the settings that the binaries print and
# docs/metrics.md with the names that a running cell exposes.
#   scripts/check_docs.sh           exits 1 and prints the difference, if any
#   scripts/check_docs.sh --write   writes both pages anew
# BUILD_DIR names the folder of the binaries, else build.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BUILD_DIR:-build}
# Below the range from which the system takes ports for outgoing connections;
# one of those in use keeps a process from listening.
BASE_PORT=${BASE_PORT:-24000}
CELL_DIR=$(mktemp -d)
. scripts/cell_lib.sh
trap 'stop_cell; rm -rf "$CELL_DIR"' EXIT

# Counters that are made at the first event of a kind that this script can't
# bring about within its time. Their meaning is taken from the sources.
RARE='call_faults_total call_worker_refusals_total wire_slow_peers_total'
# Counters of controllers, which this cell does not run.
BY_TENANT='tenant_forbidden_total tenant_jobs_accepted_total tenant_unauthenticated_total'

write_configuration() {
  echo '# Settings'
  echo
  echo 'Written by `scripts/check_docs.sh --write` from the output of `--document`. Settings are INI files;'
  echo '`--check-config` checks one without starting the process.'
  local name
  for name in mangoplank-control mangoplank-entry mangoplank-gateway mangoplank-controller; do
    printf '\n## %s\n\n' "$name"
    "$BIN/$name" --document
  done
}

metrics_of_control() {
  curl -sf -m 2 "http://127.0.0.1:$(control_http_port "$1")/metrics"
}

metrics_of_entry() {
  curl -sf -m 2 -H "Authorization: Bearer $ADMIN_TOKEN" "http://127.0.0.1:$(http_port 1)/metrics"
}

ctl() { MANGOPLANK_TOKEN=$ADMIN_TOKEN "$BIN/mangoplank-ctl" -s "127.0.0.1:$(http_port 1)" -d kitchens "$@"; }

# Metrics that are made at their first event need calls, a refused token and a
# lost connection before they are exposed.
use_cell() {
  local i
  for i in 1 2 3; do write_control "$i" 3 create; start_control "$i"; done
  write_entry 1 3
  start_entry 1
  wait_for 20 entry_ready 1
  start worker-1 "$BIN/stand-in-worker" --name worker-1 --listen "127.0.0.1:$(worker_port 1)" \
    --announce "127.0.0.1:$(http_port 1)" --token "$WORKER_TOKEN" --region "${REGIONS[1]}"
  ctl apply -f examples/declarations >/dev/null
  wait_for 20 ctl call planner portion-check
  wait_for 20 ctl call planner book --key check-docs
  curl -s -m 2 -o "$CELL_DIR/refused" "http://127.0.0.1:$(http_port 1)/v1/status"
  stop control-3 KILL
  sleep 2
}

# table LINES: rows of name, type and meaning from # HELP and # TYPE lines.
table() {
  awk '$1 == "#" && $2 == "HELP" { n = $3; $1 = $2 = $3 = ""; sub(/^ */, ""); sub(/\.$/, ""); help[n] = $0 }
       $1 == "#" && $2 == "TYPE" { type[$3] = $4 }
       END { for (n in help) printf "| `%s` | %s | %s |\n", n, type[n], help[n] }' | LC_ALL=C sort
}

# rare_help NAME: the text after the name in the sources, in one line.
rare_help() {
  grep -rh --include='*.cpp' --exclude='*_test.cpp' -A 4 "\"mangoplank_$1\"" src | tr '\n' ' ' |
    sed -E "s/.*\"mangoplank_$1\"[, ]*//; s/\" +\"//g; s/^\"([^\"]*)\".*/\1/; s/\.$//"
}

not_rare() { grep -vE "^\| \`mangoplank_(${RARE// /|})\`" || true; }

heading() { printf '\n## %s\n\n| name | type | meaning |\n| --- | --- | --- |\n' "$1"; }

write_metrics() {
  echo '# Metrics'
  echo
  echo 'Written by `scripts/check_docs.sh --write` from the `# HELP` and `# TYPE` lines of a running cell.'
  echo 'Both processes serve them at `/metrics`; the entry asks for the token of the cell administrator.'
  heading mangoplank-control
  { metrics_of_control 1; metrics_of_control 2; } | table | not_rare
  heading mangoplank-entry
  metrics_of_entry | table | not_rare
  heading 'Exposed only after a rare event'
  counters_from_sources $RARE
  heading 'mangoplank-controller, by tenant'
  counters_from_sources $BY_TENANT
}

counters_from_sources() {
  local name
  for name in "$@"; do
    printf '| `mangoplank_%s` | counter | %s |\n' "$name" "$(rare_help "$name")"
  done
}

# Each name in the sources must be on the page, exposed or rare.
check_sources() {
  local name missing=0
  for name in $(grep -rhoE '"mangoplank_[a-z_]+"' src --include='*.cpp' --exclude='*_test.cpp' | tr -d '"' | sort -u); do
    grep -q "^| \`$name\` " "$1" || { echo "$name is in the sources and not in $1" >&2; missing=1; }
  done
  return "$missing"
}

write_configuration >"$CELL_DIR/configuration.md"
use_cell
write_metrics >"$CELL_DIR/metrics.md"
if [ "${1:-}" = --write ]; then
  cp "$CELL_DIR/configuration.md" "$CELL_DIR/metrics.md" docs/
fi
status=0
for page in configuration metrics; do
  diff -u "docs/$page.md" "$CELL_DIR/$page.md" || status=1
done
check_sources docs/metrics.md || status=1
[ "$status" -eq 0 ] && echo "docs/configuration.md and docs/metrics.md agree with the binaries"
exit "$status"
