#!/usr/bin/env bash
# The whole path on loopback: 3 control, 2 entry and 8 stand-in worker
# processes. Prints how each request ended, checks it, ends all it started.
# Exits 0 only if all held.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
echo "building (some minutes the first time)"
log=$(mktemp)
scripts/build.sh >"$log" 2>&1 || { grep -E 'error|FAILED' "$log" | head -50; exit 1; }
rm -f "$log"

BIN=${BUILD_DIR:-build}
CELL_DIR=$(mktemp -d)
. scripts/cell_lib.sh
trap 'stop_cell; rm -rf "$CELL_DIR"' EXIT
failures=0

# row REQUEST EXPECTED ACTUAL DETAIL
row() {
  local verdict=ok
  [ "$2" = "$3" ] || { verdict=WRONG; failures=$((failures + 1)); }
  printf '%-34s %-10s %-10s %-6s %s\n' "$1" "$2" "$3" "$verdict" "$4"
}

ctl() { MANGOPLANK_TOKEN=$ADMIN_TOKEN "$BIN/mangoplank-ctl" -s "127.0.0.1:$(http_port 1)" "$@"; }

# field JSON NAME: the first number after "NAME":
field() { grep -o "\"$2\":[0-9]*" <<<"$1" | head -n 1 | cut -d: -f2; }

all_ended() { [ "$(field "$(ctl -d "$1" -o json get "$2" "$3")" succeeded)" = "$4" ]; }
replicas_run() { [ "$(field "$(ctl -d kitchens -o json get service planner)" running)" = 6 ]; }

# call ENTRY OPERATION KEY BODY: prints the outcome and the answer.
call() {
  curl -s -m 10 -D "$CELL_DIR/head" -o "$CELL_DIR/body" -X POST --data "$4" \
    -H 'Authorization: Bearer demo-planner-token' ${3:+-H "Idempotency-Key: $3"} \
    "http://127.0.0.1:$(http_port "$1")/v1/departments/kitchens/services/planner/calls/$2" || true
  OUTCOME=$(sed -n 's/^mangoplank-outcome: *\([a-z_]*\).*/\1/Ip' "$CELL_DIR/head")
  ANSWER=$(cat "$CELL_DIR/body")
}

echo "starting 3 control processes, 2 entries, 8 workers in $CELL_DIR"
for i in 1 2 3; do write_control "$i" 3 create; start_control "$i"; done
for i in 1 2; do write_entry "$i" 3; start_entry "$i"; done
wait_for 20 entry_ready 1
wait_for 20 entry_ready 2
entries=127.0.0.1:$(http_port 1),127.0.0.1:$(http_port 2)
for i in $(seq 8); do
  start "worker-$i" "$BIN/stand-in-worker" --name "worker-$i" \
    --listen "127.0.0.1:$(worker_port "$i")" --announce "$entries" \
    --token "$WORKER_TOKEN" --region "${REGIONS[$((i % 3))]}" --rack "rack-$((i % 4))" \
    --task-ms 700 --seed "$i" --journal "$CELL_DIR/worker-$i.jsonl"
done
ctl apply -f examples/declarations
wait_for 20 replicas_run
# A new leader grants slots once the last one's grants have certainly ended.
serves() { call "$1" portion-check "" "are you there" && [ "$OUTCOME" = done ]; }
wait_for 15 serves 1
wait_for 15 serves 2

echo
printf '%-34s %-10s %-10s %-6s %s\n' request expected ended check detail
call 1 portion-check "" "40 portions"
row "portion check (entry 1)" done "$OUTCOME" "$ANSWER"
call 2 portion-check "" "25 portions"
row "portion check (entry 2)" done "$OUTCOME" "$ANSWER"
call 1 book booking-1 "40 meals at dusk"
first=$ANSWER
row "booking (entry 1)" done "$OUTCOME" "$ANSWER"
call 2 book booking-1 "40 meals at dusk"
row "the same booking again (entry 2)" done "$OUTCOME" "$ANSWER"
row "both answers are one" "$first" "$ANSWER" ""
starts=$(cat "$CELL_DIR"/worker-*.jsonl | grep '"call_started"' | grep -c '40 meals at dusk' || true)
row "times that the booking ran" 1 "$starts" ""
call 1 book "" "no key"
row "booking without a key" not_run "$OUTCOME" ""
wait_for 30 all_ended kitchens batch_job menu-plan 6 || true
row "batch job, tasks succeeded" 6 "$(field "$(ctl -d kitchens -o json get batch_job menu-plan)" succeeded)" ""
wait_for 30 all_ended tally gang_job season-reduction 4 || true
row "gang job, tasks succeeded" 4 "$(field "$(ctl -d tally -o json get gang_job season-reduction)" succeeded)" ""

echo
ctl -d kitchens get service
ctl top

echo "stopping the leader, then asking again"
leader=$(for i in 1 2 3; do
  curl -s "http://127.0.0.1:$(control_http_port "$i")/metrics" | grep -q '^mangoplank_log_leads 1' && echo "$i" || true
done)
stop "control-$leader" KILL
call 2 portion-check "" "after the loss"
row "portion check, no leader" done "$OUTCOME" "$ANSWER"
sleep 2
call 2 book booking-1 "40 meals at dusk"
row "the booking again, new leader" done "$OUTCOME" "$ANSWER"
row "its answer is the first" "$first" "$ANSWER" ""

for name in entry-1 entry-2; do
  pid=${PIDS[$name]}
  kill -TERM "$pid"
  code=0
  wait "$pid" || code=$?
  unset "PIDS[$name]"
  row "$name drains" 0 "$code" ""
done
echo
if [ "$failures" -ne 0 ]; then
  echo "$failures checks failed"
  tail -n 5 "$CELL_DIR"/*.log
  exit 1
fi
echo "all held"
