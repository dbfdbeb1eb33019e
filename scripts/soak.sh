#!/usr/bin/env bash
# usage: soak.sh SECONDS SEED
#
# Real processes on loopback under faults that the seed chooses: 3 control and
# 3 entry processes, 36 stand-in workers in 8 processes, 4 stand-in callers.
# Prints each fault as it happens, then the verdict of check_journals.py, whose
# exit code it returns. Ends all that it started. Set BIN for other binaries,
# BASE_PORT for other ports, SOAK_KEEP=1 to keep the journals of a clean run,
# SOAK_KINDS="kill_entry race" for some kinds of faults only.
set -euo pipefail
[ $# = 2 ] || { sed -n 2,10p "$0"; exit 2; }
cd "$(dirname "$0")/.."
duration=$1
seed=$2
BIN=${BIN:-${BUILD_DIR:-build}}
BASE_PORT=${BASE_PORT:-30000}
CELL_DIR=$(mktemp -d /tmp/soak.XXXXXX)
. scripts/cell_lib.sh
trap stop_cell EXIT
RANDOM=$seed
planner_token=demo-planner-token
faults=$CELL_DIR/faults.jsonl

# The journals of the stand-ins have the steady clock in microseconds.
steady_offset=$(python3 -c 'import time; print(time.monotonic_ns() // 1000 - time.time_ns() // 1000)')
now_us() { local t=${EPOCHREALTIME/[.,]/}; echo $((t + steady_offset)); }
began=$(now_us)

# note WHAT FIELDS: one line of faults.jsonl; FIELDS are JSON members.
note() { printf '{"what":"%s","at_us":%d%s}\n' "$1" "$(now_us)" "${2:+,$2}" >>"$faults"; }
fault() {
  printf '%6.1f s  %-14s %s\n' "$(python3 -c "print(($(now_us) - $began) / 1e6)")" "$1" "$2"
  note fault "\"kind\":\"$1\",\"detail\":\"$2\""
}
pick() { PICK=$((RANDOM % $1 + 1)); }
nap() { sleep "$1"; }

# api METHOD PATH BODY [HEADER...]: prints the status.
api() {
  local method=$1 path=$2 body=$3 headers=()
  shift 3
  for h in "$@"; do headers+=(-H "$h"); done
  curl -s -m 5 -o /dev/null -w '%{http_code}' -X "$method" "${headers[@]}" \
    -H "Authorization: Bearer $ADMIN_TOKEN" ${body:+-d "$body"} \
    "http://127.0.0.1:$(http_port $((BASHPID % 3 + 1)))$path" || true
}
ctl() { MANGOPLANK_TOKEN=$ADMIN_TOKEN "$BIN/mangoplank-ctl" -s "127.0.0.1:$(http_port 1)" "$@"; }
# Waits for the processes given, not for those of the cell.
wait_all() { for p in "$@"; do wait "$p" || true; done; }

# start_workers P: process P; 1 to 4 hold 8 workers, 5 to 8 hold one.
start_workers() {
  local p=$1 count=8 port
  port=$(worker_port $(((p - 1) * 8 + 1)))
  [ "$p" -le 4 ] || count=1
  start "worker-$p" "$BIN/stand-in-worker" --name "worker-$p-" --count "$count" \
    --listen "127.0.0.1:$port" --announce "$entries" --token "$WORKER_TOKEN" \
    --region "${REGIONS[$((p % 3))]}" --rack "rack-$p-" --task-ms 1500 \
    --service-ms 10 --operation-ms book=40 --call-failure-rate 0.02 \
    --seed $((seed * 100 + p)) --journal "$CELL_DIR/worker-$p.jsonl"
}

kill_workers() {
  local p=$1 i
  stop "worker-$p" KILL
  if [ "$p" -gt 4 ]; then
    note worker_dead "\"worker\":\"worker-$p-\""
    return
  fi
  for i in 0 1 2 3 4 5 6 7; do note worker_dead "\"worker\":\"worker-$p-$i\""; done
}

# start_caller NAME PREFIX SEED RATE MIX...
start_caller() {
  local name=$1 prefix=$2 caller_seed=$3 rate=$4 mix=()
  shift 4
  for m in "$@"; do mix+=(--mix "$m"); done
  start "caller-$name" "$BIN/stand-in-caller" --entries "$entries" --department kitchens \
    --service planner --token "$planner_token" --name "$prefix" --seed "$caller_seed" \
    --rate "$rate" --calls $((rate * duration)) --resends 5 \
    --journal "$CELL_DIR/caller-$name.jsonl" "${mix[@]}"
}

job_path=/v1/departments/kitchens/batch_jobs
job_spec() { echo "{\"spec\":{\"tasks\":$1,\"need\":{\"cpu_milli\":2000,\"memory_mib\":512},\"urgency\":\"$2\"}}"; }

# A batch job of 4 tasks every 0.4 s and a gang job every 4 s, for the duration.
submit_jobs() {
  local n end=$((SECONDS + duration))
  for ((n = 0; SECONDS < end; n++)); do
    api PUT "$job_path/stream-$n" "$(job_spec 4 normal)" >/dev/null
    [ $((n % 10)) != 0 ] ||
      api PUT "/v1/departments/tally/gang_jobs/gang-$n" "$(job_spec 4 urgent)" >/dev/null
    sleep 0.4
  done
}

find_leader() {
  local i
  LEADER=1
  for i in 1 2 3; do
    if curl -s -m 1 "http://127.0.0.1:$(control_http_port "$i")/metrics" | grep -q '^mangoplank_log_leads 1'; then
      LEADER=$i
    fi
  done
}

control_killed() { stop "control-$1" KILL; nap "0.$((RANDOM % 9 + 1))"; start_control "$1"; }

fault_kill_leader() { find_leader; fault kill_leader "control-$LEADER"; control_killed "$LEADER"; }
fault_kill_control() { pick 3; fault kill_control "control-$PICK"; control_killed "$PICK"; }
fault_kill_entry() {
  pick 3
  fault kill_entry "entry-$PICK"
  stop "entry-$PICK" KILL
  nap 0.5
  start_entry "$PICK"
}
pause() {
  fault "pause_$1" "$2 for $3 s"
  kill -s STOP "${PIDS[$2]}"
  nap "$3"
  kill -s CONT "${PIDS[$2]}"
}
fault_pause_leader() { find_leader; pick 3; pause leader "control-$LEADER" "$((PICK + 1))"; }
fault_pause_entry() { pick 3; local e=$PICK; pick 4; pause entry "entry-$e" "$PICK"; }
# Longer than the freshness limit of 6 s, after which entries refuse requests.
fault_pause_controls() {
  local i
  fault pause_controls "all three for 8 s"
  for i in 1 2 3; do kill -s STOP "${PIDS[control-$i]}"; done
  nap 8
  for i in 1 2 3; do kill -s CONT "${PIDS[control-$i]}"; done
}
fault_restart_controls() {
  local i
  fault restart_controls "all three"
  for i in 1 2 3; do kill -s KILL "${PIDS[control-$i]}"; done
  for i in 1 2 3; do stop "control-$i" KILL; done
  for i in 1 2 3; do start_control "$i"; done
}
fault_kill_workers() {
  pick 8
  local p=$PICK
  fault kill_workers "worker-$p, restarted under the same names"
  kill_workers "$p"
  nap "0.$((RANDOM % 9 + 1))"
  start_workers "$p"
}

# One change of `raced` by an operator, sent twice under one id.
operator() {
  local round=$1 name=$2 version=$3 status id="race-$1-$2" _
  for _ in 1 2; do
    status=$(api PUT /v1/configurations/raced "{\"spec\":{\"values\":{\"by\":\"$id\"}}}" \
      "If-Match: \"$version\"" "Mangoplank-Request-Id: $id")
    note operator "\"object\":\"raced\",\"id\":\"$id\",\"version\":\"$version\",\"status\":${status:-0}"
  done
}
races=0
# raced FIELD_PATTERN: prints what follows the colon.
raced() {
  curl -s -m 3 -H "Authorization: Bearer $ADMIN_TOKEN" \
    "http://127.0.0.1:$(http_port 1)/v1/configurations/raced" | grep -o "$1" | cut -d: -f2 | tr -d '"' || true
}
fault_race() {
  local version pids=() name
  races=$((races + 1))
  version=$(raced '"version":[0-9]*')
  fault race "6 operators change version ${version:-unknown}"
  [ -n "$version" ] || return 0
  for name in a b c d e f; do operator "$races" "$name" "$version" & pids+=($!); done
  wait_all "${pids[@]}"
}

waves=0
fault_cancel_wave() {
  local pids=() n
  waves=$((waves + 1))
  fault cancel_wave "20 jobs of 6 tasks"
  for n in $(seq 20); do api PUT "$job_path/wave-$waves-$n" "$(job_spec 6 low)" >/dev/null & pids+=($!); done
  wait_all "${pids[@]}"
  pids=()
  for n in $(seq 20); do api POST "$job_path/wave-$waves-$n/cancel" "" >/dev/null & pids+=($!); done
  wait_all "${pids[@]}"
}

fault_drain_entry() {
  local name term code=0
  pick 3
  name=entry-$PICK
  fault drain_entry "$name by SIGTERM"
  term=$(now_us)
  kill -s TERM "${PIDS[$name]}"
  wait "${PIDS[$name]}" || code=$?
  unset "PIDS[$name]"
  note drained "\"entry\":\"$name\",\"port\":$(http_port "$PICK"),\"term_us\":$term,\"code\":$code"
  start_entry "$PICK"
}

away=0
fault_away() {
  local pids=() n i
  away=$((away + 1))
  pick 3
  i=$PICK
  fault control_away "control-$i misses 200 changes"
  stop "control-$i" KILL
  for n in $(seq 20); do
    { for k in $(seq 10); do
      api PUT "/v1/configurations/away-$n" "{\"spec\":{\"values\":{\"n\":\"$away-$k\"}}}" >/dev/null
    done; } & pids+=($!)
  done
  wait_all "${pids[@]}"
  start_control "$i"
}

kinds=(kill_leader kill_control kill_entry pause_leader pause_entry restart_controls
  kill_workers race cancel_wave drain_entry away pause_controls)
[ -z "${SOAK_KINDS:-}" ] || read -ra kinds <<<"$SOAK_KINDS"
# Each kind once in an order of the seed, then again; 60 s are enough for all.
shuffle() {
  local i j t
  for ((i = ${#kinds[@]} - 1; i > 0; i--)); do
    j=$((RANDOM % (i + 1)))
    t=${kinds[i]}
    kinds[i]=${kinds[j]}
    kinds[j]=$t
  done
}

run_faults() {
  local kind end=$((SECONDS + duration))
  while [ "$SECONDS" -lt "$end" ]; do
    shuffle
    for kind in "${kinds[@]}"; do
      [ "$SECONDS" -lt "$end" ] || return 0
      "fault_$kind"
      nap "$((RANDOM % 2)).$((RANDOM % 10))"
    done
  done
}

# serves ENTRY: whether it answers a check and a booking.
serves() {
  local url="http://127.0.0.1:$(http_port "$1")/v1/departments/kitchens/services/planner/calls" operation
  for operation in portion-check book; do
    curl -s -m 6 -i -X POST -d x -H "Authorization: Bearer $planner_token" \
      -H "Idempotency-Key: probe-$1-$EPOCHREALTIME" "$url/$operation" |
      grep -qi '^mangoplank-outcome: done' || return 1
  done
}

# recovered: all entries serve again within 30 s of the last fault.
recovered() {
  local i ok=true
  for i in 1 2 3; do wait_for 30 serves "$i" || ok=false; done
  note recovered "\"ok\":$ok"
  note final "\"object\":\"raced\",\"by\":\"$(raced '"by":"[^"]*"')\""
}

# wait_caller NAME: until it ends, at most 30 s.
wait_caller() {
  local end=$((SECONDS + 30))
  while kill -0 "${PIDS[$1]}" 2>/dev/null && [ "$SECONDS" -lt "$end" ]; do sleep 0.2; done
  stop "$1" TERM
}

echo "seed $seed, $duration s, binaries $BIN, journals in $CELL_DIR"
for i in 1 2 3; do write_control "$i" 3 create; start_control "$i"; done
for i in 1 2 3; do write_entry "$i" 3; start_entry "$i"; done
for i in 1 2 3; do wait_for 20 entry_ready "$i"; done
for i in 1 2 3; do sed -i 's/^start = create/start = resume/' "$CELL_DIR/control-$i.ini"; done
entries=127.0.0.1:$(http_port 1),127.0.0.1:$(http_port 2),127.0.0.1:$(http_port 3)
note setup '"slots":8'
for p in 1 2 3 4 5 6 7 8; do start_workers "$p"; done
ctl apply -f examples/declarations >/dev/null
api PUT /v1/configurations/raced '{"spec":{"values":{"by":"none"}}}' >/dev/null
for i in 1 2 3; do wait_for 20 serves "$i"; done

start_caller mixed mixed "$seed" 150 portion-check:any:300:7 book:once:2000:3
start_caller other other "$seed" 50 portion-check:any:1000:1 book:once:5000:1
# Two callers with one seed send the same keys.
start_caller twin-1 twin "$seed" 20 book:once:2000:1
start_caller twin-2 twin "$seed" 20 book:once:2000:1
start submit submit_jobs
run_faults
for name in caller-mixed caller-other caller-twin-1 caller-twin-2 submit; do wait_caller "$name"; done
recovered
stop_cell

code=0
python3 scripts/check_journals.py "$CELL_DIR" || code=$?
if [ "$code" = 0 ] && [ -z "${SOAK_KEEP:-}" ]; then rm -rf "$CELL_DIR"; else echo "kept $CELL_DIR"; fi
exit "$code"
