#!/usr/bin/env bash
# Computes the tables of docs/CAPACITY.md from docs/capacity_measurements.txt.
# capacity.sh --measure: measures first. capacity.sh --check: only compares.
set -euo pipefail
cd "$(dirname "$0")/.."
inputs=docs/capacity_measurements.txt
page=docs/CAPACITY.md
if [ "${1:-}" = --measure ]; then
  scripts/bench.sh capacity >"$inputs"
fi
tables=$(awk '
  { v[$1] = $2 }
  function need(name) {
    if (!(name in v)) { print "missing measurement: " name > "/dev/stderr"; exit 1 }
    return v[name]
  }
  function row(what, mechanism, sum, result) {
    printf "| %s | %s | %s | %s |\n", what, mechanism, sum, result
  }
  function head(title) {
    printf "\n## %s\n| what | mechanism | sum | result |\n| --- | --- | --- | --- |\n", title
  }
  END {
    workers = 3000; tasks = 23000; teams = 390; starts = 180; jobs = 32000
    changes = 1400; members = 5; entries = 15; interval = 2; kept = 5000
    mib = 1024 * 1024
    per_worker = tasks / workers
    print "Assumed beside the size itself: 5 control VMs (one per region; 7 are allowed), 15 entry VMs, an"
    print "announcement by each worker every 2 s, 10 tasks a job where jobs are counted, 5,000 ended tasks kept."

    head("Control VM: memory")
    w = workers * need("state.worker.memory.slope") / mib
    t = (tasks + kept) * need("state.task.memory.slope") / mib
    d = teams * need("state.department.memory.slope") / mib
    sw = workers * need("scheduler.worker.memory.slope") / mib
    st = (tasks + kept) * need("scheduler.task.memory.slope") / mib
    row("workers", "`cell::state`", sprintf("%d x %.0f B", workers, need("state.worker.memory.slope")), sprintf("%.1f MiB", w))
    row("tasks, running and kept", "`cell::state`, compaction by the leader", sprintf("(%d + %d) x %.0f B", tasks, kept, need("state.task.memory.slope")), sprintf("%.1f MiB", t))
    row("teams", "`cell::state`", sprintf("%d x %.0f B", teams, need("state.department.memory.slope")), sprintf("%.2f MiB", d))
    row("workers, leader only", "`placement::scheduler`", sprintf("%d x %.0f B", workers, need("scheduler.worker.memory.slope")), sprintf("%.1f MiB", sw))
    row("tasks, leader only", "`placement::scheduler`", sprintf("(%d + %d) x %.0f B", tasks, kept, need("scheduler.task.memory.slope")), sprintf("%.1f MiB", st))
    row("changes kept for entries", "`distribution::history`, bounded by setting", "4 MiB", "4.0 MiB")
    row("log kept in memory", "`consensus::node`, cut after 8 MiB by setting", "8 MiB at most", "8.0 MiB")
    snap = (workers * 400 + (tasks + kept) * need("snapshot.task.bytes.slope")) / mib
    row("snapshot while it is written or sent", "`consensus::node`", sprintf("(%d + %d) x %.0f B", tasks, kept, need("snapshot.task.bytes.slope")), sprintf("%.1f MiB", snap))
    p = need("process.memory") / mib
    row("program without state", "measured", "one process", sprintf("%.1f MiB", p))
    total = p + w + t + d + sw + st + 4 + 8 + snap
    row("**sum at the leader**", "", "", sprintf("**%.1f MiB** of 64 MB (61 MiB)", total))

    head("Control VM: processor time of the leader, of one core")
    ann = workers / interval
    c1 = ann * need("announcement.cpu.slope") / 1e4
    c2 = starts * need("state.start.cpu.slope") / 1e4
    row("announcements: decode, admit, renew, orders", "batches of entries, `membership::lease_table`", sprintf("%.0f/s x %.1f us", ann, need("announcement.cpu.slope")), sprintf("%.2f%%", c1))
    row("starts: job, placement and report applied", "`cell::state`", sprintf("%d/s x %.1f us", starts, need("state.start.cpu.slope")), sprintf("%.3f%%", c2))
    row("**sum of these**", "without the kernel, syncs and rounds of placement", "", sprintf("**%.2f%%**", c1 + c2))

    head("Bytes a second")
    a = need("announcement.bytes") + per_worker * need("announcement.task.bytes.slope")
    http = 900 + per_worker * 150
    row("worker: announcement and reply over HTTP/JSON", "`docs/worker_protocol.md`; header and JSON sizes estimated, 900 B and 150 B a task", sprintf("(900 + %.1f x 150) B / %d s", per_worker, interval), sprintf("%.2f KB/s of 11", http / interval / 1000))
    row("entry: announcements passed to the leader", "`entry_announcer`", sprintf("%.0f/s / %d x %.0f B", ann, entries, a), sprintf("%.1f KB/s", ann / entries * a / 1000))
    feed = changes * need("feed.configuration.bytes") / 86400 + 2 * need("feed.mark.bytes")
    row("entry: feed of configuration and progress marks", "`distribution::history`, topic `routing`", sprintf("%d x %.0f B / day + 2/s x %.0f B", changes, need("feed.configuration.bytes"), need("feed.mark.bytes")), sprintf("%.2f KB/s", feed / 1000))
    hb = members * 2 * 2 * (need("heartbeat.bytes") + 8 + 40)
    row("entry: heartbeats with control processes, both ways", "`wire::connection`, 2/s, with 8 B frame and 40 B TCP and IP header", sprintf("%d x 4/s x %.0f B", members, need("heartbeat.bytes") + 48), sprintf("%.2f KB/s", hb / 1000))
    log_start = need("log.placement.bytes.slope") + 2 * need("log.report.bytes.slope") + need("log.job.bytes") / 10
    row("control: log to each follower at the peak", "group commit, one stream for each region", sprintf("%d/s x %.0f B", starts, log_start), sprintf("%.1f KB/s", starts * log_start / 1000))
    row("control: booking, intent and outcome", "`record_intent`, `record_outcome`", "one", sprintf("%.0f B in the log", need("log.intent.bytes") + need("log.outcome.bytes")))

    head("Disk of a control VM")
    row("log at the peak", "segment files, cut after a snapshot", sprintf("%d/s x %.0f B", starts, log_start), sprintf("%.1f KB/s", starts * log_start / 1000))
    row("snapshots", "one after each 8 MiB of log", sprintf("%.1f MiB each", snap), sprintf("one in %.0f min at the peak", 8 * mib / (starts * log_start) / 60))

    head("Events")
    reb = (tasks + kept) * need("scheduler.rebuild.cpu.slope") / 1e6
    row("a change of leader", "`Rebuild` from `cell::state`", sprintf("%d x %.1f us", tasks + kept, need("scheduler.rebuild.cpu.slope")), sprintf("%.2f s at most", reb))
    row("1,000 VMs replaced in a day", "`register_worker`, `remove_worker`", "2,000 commits / 86,400 s", sprintf("%.3f commits/s", 2000 / 86400))
    row("1,400 configuration changes in a day", "one commit and one feed batch each", "1,400 / 86,400 s", sprintf("%.3f commits/s", changes / 86400))
    row("one change in force everywhere", "commit 4 x 8 ms + sync, feed 8 ms; an entry that is cut off stops at 6 s", "0.04 s + 6 s", "6.1 s of 12 s")
    row("a data centre of 12 lost", "leases end after 11.5 s, then `Requeue`", sprintf("%d tasks placed again at 180/s", tasks / 12), sprintf("%.0f s, urgent work first", tasks / 12 / 180))
    row("an hour without links to a region", "the log keeps 8 MiB; beyond it a snapshot is sent", sprintf("3,600 s x %d/s x %.0f B", starts, log_start), sprintf("%.0f MiB of log, so one snapshot of %.1f MiB", 3600 * starts * log_start / mib, snap))
  }' "$inputs")
new=$(awk -v tables="$tables" '
  /<!-- table begin -->/ { print; print tables; skip = 1 }
  /<!-- table end -->/ { skip = 0 }
  !skip || /<!-- table end -->/ { if (!/<!-- table begin -->/) print }' "$page")
if [ "${1:-}" = --check ]; then
  diff <(printf '%s\n' "$new") "$page" || { echo "docs/CAPACITY.md differs from its measurements; run scripts/capacity.sh"; exit 1; }
else
  printf '%s\n' "$new" >"$page"
fi
