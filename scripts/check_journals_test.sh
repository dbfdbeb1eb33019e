#!/usr/bin/env bash
# Shows that check_journals.py passes clean journals and finds each kind of
# violation: without this a checker that always passes goes unnoticed.
set -euo pipefail
cd "$(dirname "$0")"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failures=0

# A clean run: one check and one booking, each run once, and one task.
clean() {
  rm -f "$folder"/*
  caller 100 asked '"id":"c1","operation":"check","once":false,"deadline_ms":300'
  caller 200 asked '"id":"b1","operation":"book","once":true,"deadline_ms":300'
  worker 110 w1 call_started c-1 '{\"id\":\"c1\"}'
  worker 120 w1 call_ended c-1 done
  worker 210 w1 call_started b-1 '{\"id\":\"b1\"}'
  worker 220 w1 call_ended b-1 done
  worker 300 w1 task_started 7/0/1 job
  worker 400 w1 task_ended 7/0/1 succeeded
  heard 130 c1 done
  heard 230 b1 done
  fault setup '"slots":2'
}
caller() { echo "{\"what\":\"$2\",\"at_us\":$1,$3}" >>"$folder/caller-a.jsonl"; }
heard() { caller "$1" heard "\"id\":\"$2\",\"entry_port\":80,\"outcome\":\"$3\""; }
worker() {
  echo "{\"what\":\"$3\",\"at_us\":$1,\"worker\":\"$2\",\"incarnation\":1,\"id\":\"$4\",\"detail\":\"$5\"}" \
    >>"$folder/worker-a.jsonl"
}
fault() { echo "{\"what\":\"$1\",\"at_us\":500,$2}" >>"$folder/faults.jsonl"; }

# expect VIOLATION: exactly this kind is found; none if empty.
expect() {
  local output code=0 found
  output=$(python3 check_journals.py "$folder") || code=$?
  found=$(sed -n 's/^violation: \(.*\): [0-9]*$/\1/p' <<<"$output")
  if [ "$found" = "$1" ] && [ "$code" = "$([ -z "$1" ] && echo 0 || echo 1)" ]; then
    echo "ok: ${1:-clean}"
  else
    echo "WRONG: expected '${1:-none}', found '$found', exit code $code"
    failures=$((failures + 1))
  fi
}

clean
expect ""
clean
caller 600 asked '"id":"c2","operation":"check","once":false,"deadline_ms":300'
heard 610 c2 wrong_answer
expect "answer to a wrong caller"
clean
heard 610 c1 done
expect "answer heard twice"
clean
heard 610 b1 done
expect "answer heard twice"
clean
worker 610 w1 call_started c-2 '{\"id\":\"c2\"}'
heard 620 c2 not_run
expect "not_run that ran"
clean
caller 600 asked '"id":"b2","operation":"book","once":true,"deadline_ms":300'
heard 620 b2 not_run
worker 650 w1 call_started b-2 '{\"id\":\"b2\"}'
expect "not_run that ran"
clean
caller 600 asked '"id":"b2","operation":"book","once":true,"deadline_ms":300'
heard 620 b2 done
expect "end without its run"
clean
worker 240 w1 call_ended b-1 failed
caller 231 heard '"id":"b1","entry_port":81,"outcome":"failed"'
mv "$folder/caller-a.jsonl" "$folder/all"
sed '$d' "$folder/all" >"$folder/caller-a.jsonl"
tail -n 1 "$folder/all" >"$folder/caller-b.jsonl"
expect "different ends for one booking"
clean
worker 610 w2 call_started b-9 '{\"id\":\"b1\"}'
expect "booking run twice"
clean
worker 350 w2 task_started 7/0/2 job
expect "task in two places"
clean
# A worker that was killed no longer runs its task.
worker 600 w1 task_started 8/0/1 job
fault worker_dead '"worker":"w1"'
sed -i 's/"at_us":500,"worker"/"at_us":650,"worker"/' "$folder/faults.jsonl"
worker 700 w2 task_started 8/0/2 job
expect ""
# A run beyond the lease check of the stand-in counts, one within it does not.
clean
worker 600 w1 task_started 8/0/1 job
worker 700 w2 task_started 8/0/2 job
worker 2000600 w1 incarnation_ended "" "lease ended"
worker 2000600 w1 task_ended 8/0/1 stopped
expect ""
clean
worker 600 w1 task_started 8/0/1 job
worker 700 w2 task_started 8/0/2 job
worker 2000800 w1 incarnation_ended "" "lease ended"
worker 2000800 w1 task_ended 8/0/1 stopped
expect "task in two places"
clean
for n in 1 2 3; do worker "60$n" w1 call_started "x-$n" "{\\\"id\\\":\\\"x$n\\\"}"; done
expect "worker over its limits"
clean
worker 600 w1 violation "" "committed beyond capacity"
expect "worker over its limits"
clean
caller 600 asked '"id":"c2","operation":"check","once":false,"deadline_ms":300'
heard 620 c2 no_answer
fault drained '"entry":"entry-1","port":80,"term_us":610,"code":0'
expect "cut off by graceful shutdown"
clean
fault drained '"entry":"entry-1","port":80,"term_us":610,"code":1'
expect "cut off by graceful shutdown"
clean
fault operator '"object":"o","id":"a","version":"1","status":200'
fault operator '"object":"o","id":"b","version":"1","status":200'
expect "two changes of one version"
clean
fault operator '"object":"o","id":"a","version":"1","status":200'
fault operator '"object":"o","id":"a","version":"1","status":412'
expect "two changes of one version"
clean
fault operator '"object":"o","id":"a","version":"1","status":200'
fault operator '"object":"o","id":"b","version":"2","status":504'
fault final '"object":"o","by":"b"'
expect ""
clean
fault operator '"object":"o","id":"a","version":"1","status":200'
fault operator '"object":"o","id":"b","version":"2","status":200'
fault final '"object":"o","by":"a"'
expect "accepted change lost"
clean
fault recovered '"ok":false'
expect "no recovery after the faults"

[ "$failures" = 0 ] || { echo "$failures wrong"; exit 1; }
