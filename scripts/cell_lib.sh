# Functions that start a whole cell on loopback, for demo.sh and soak.sh.
# Source it; set CELL_DIR and BIN first. All processes end with stop_cell.

BASE_PORT=${BASE_PORT:-21000}
ADMIN_TOKEN=demo-admin-token
WORKER_TOKEN=demo-worker-token
REGIONS=(sieradz kalisz olesno)
declare -A PIDS=()

sha256_of() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

peer_port() { echo $((BASE_PORT + $1)); }
entry_port() { echo $((BASE_PORT + 20 + $1)); }
control_http_port() { echo $((BASE_PORT + 40 + $1)); }
http_port() { echo $((BASE_PORT + 60 + $1)); }
worker_port() { echo $((BASE_PORT + 100 + $1)); }

# write_control I N START: settings of control process I of N.
write_control() {
  local i=$1 n=$2 start=$3 m
  {
    printf '[member]\nname = control-%d\ncell = demo\nregion = %s\n' "$i" "${REGIONS[$(((i - 1) % 3))]}"
    printf 'data = %s/control-%d\nstart = %s\n' "$CELL_DIR" "$i" "$start"
    printf '[listen]\npeers = 127.0.0.1:%d\nentries = 127.0.0.1:%d\nhttp = 127.0.0.1:%d\n' \
      "$(peer_port "$i")" "$(entry_port "$i")" "$(control_http_port "$i")"
    printf '[members]\n'
    for m in $(seq "$n"); do printf 'control-%d = 127.0.0.1:%d\n' "$m" "$(peer_port "$m")"; done
    printf '[worker]\nlease = %s\nmargin = 300\n' "${WORKER_LEASE_MS:-10000}"
  } >"$CELL_DIR/control-$i.ini"
}

# write_entry I N: settings of entry I for N control processes.
write_entry() {
  local i=$1 n=$2 m
  {
    printf '[entry]\nname = entry-%d\ncell = demo\nregion = %s\n' "$i" "${REGIONS[$(((i - 1) % 3))]}"
    printf '[listen]\nhttp = 127.0.0.1:%d\n' "$(http_port "$i")"
    printf '[control]\nnearest = control-%d\n[control_members]\n' $(((i - 1) % n + 1))
    for m in $(seq "$n"); do printf 'control-%d = 127.0.0.1:%d\n' "$m" "$(entry_port "$m")"; done
    printf '[auth]\nadmin_sha256 = %s\nworker_sha256 = %s\n' \
      "$(sha256_of $ADMIN_TOKEN)" "$(sha256_of $WORKER_TOKEN)"
    printf '[drain]\nbalancer_delay = 500\n'
  } >"$CELL_DIR/entry-$i.ini"
}

# start NAME COMMAND...: runs in the background, log in CELL_DIR/NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$CELL_DIR/$name.log" 2>&1 &
  PIDS[$name]=$!
}

start_control() { start "control-$1" "$BIN/mangoplank-control" --config "$CELL_DIR/control-$1.ini"; }
start_entry() { start "entry-$1" "$BIN/mangoplank-entry" --config "$CELL_DIR/entry-$1.ini"; }

# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || { echo "gave up: $*" >&2; return 1; }
    sleep 0.2
  done
}

entry_ready() { curl -sf -m 2 "http://127.0.0.1:$(http_port "$1")/readyz"; }

# stop NAME SIGNAL: signals one process and waits for its end.
stop() {
  local pid=${PIDS[$1]:-}
  [ -n "$pid" ] || return 0
  kill -s "$2" "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
  unset "PIDS[$1]"
}

stop_cell() {
  local name
  for name in "${!PIDS[@]}"; do kill -s KILL "${PIDS[$name]}" 2>/dev/null || true; done
  for name in "${!PIDS[@]}"; do wait "${PIDS[$name]}" 2>/dev/null || true; done
  PIDS=()
}
