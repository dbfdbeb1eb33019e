#!/usr/bin/env python3
"""Checks the journals of one run of scripts/soak.sh.

usage: check_journals.py FOLDER

Reads worker-*.jsonl, caller-*.jsonl and faults.jsonl of FOLDER, prints the
load, the faults by kind, the ends heard and every violation with its lines.
Exits 1 on any violation, 2 if there is nothing to check.
"""

import bisect
import collections
import glob
import json
import os
import sys

FINAL = ("done", "failed", "not_run", "wrong_answer")
# The stand-in worker looks at its lease once for each announcement, every 2 s.
# Until then its journal shows tasks as running although the lease has ended.
LEASE_CHECK_US = 2_000_000
MAX_PRINTED = 5


class Journals:
    """All lines of a run, in the order of their times."""

    def __init__(self, folder):
        self.worker = self._read(folder, "worker-*.jsonl")
        self.caller = self._read(folder, "caller-*.jsonl")
        self.faults = self._read(folder, "faults.jsonl")
        self.starts = collections.defaultdict(list)
        self.ends = collections.defaultdict(list)
        self.once = set()
        self._index_calls()

    @staticmethod
    def _read(folder, pattern):
        lines = []
        for path in sorted(glob.glob(os.path.join(folder, pattern))):
            source = os.path.basename(path)
            with open(path, encoding="utf-8") as file:
                for number, text in enumerate(file, 1):
                    line = Journals._parse(text)
                    if line is None:
                        continue
                    line["_from"] = f"{source}:{number}"
                    line["_file"] = source
                    lines.append(line)
        return sorted(lines, key=lambda line: line["at_us"])

    @staticmethod
    def _parse(text):
        """Returns None for a line that a kill cut off."""
        try:
            line = json.loads(text)
        except ValueError:
            return None
        return line if "at_us" in line else None

    def _index_calls(self):
        """Maps each request of a caller to its runs at workers."""
        for line in self.caller:
            if line["what"] == "asked" and line["once"]:
                self.once.add(line["id"])
        key_of = {}
        for line in self.worker:
            run = (line.get("worker"), line.get("id"))
            if line["what"] == "call_started":
                key = self._key(line)
                key_of[run] = key
                self.starts[key].append(line)
            elif line["what"] == "call_ended" and run in key_of:
                self.ends[key_of[run]].append(line)

    @staticmethod
    def _key(line):
        try:
            return json.loads(line.get("detail", ""))["id"]
        except (ValueError, KeyError, TypeError):
            return ""

    def heard(self):
        return [line for line in self.caller if line["what"] == "heard"]

    def by_request(self, what):
        """Lines of callers by journal and request."""
        found = collections.defaultdict(list)
        for line in self.caller:
            if line["what"] == what:
                found[(line["_file"], line["id"])].append(line)
        return found


def wrong_answers(journals):
    for line in journals.heard():
        if line["outcome"] == "wrong_answer":
            yield [line]


def answers_heard_twice(journals):
    """A request has one answer, and nothing is sent after a final one."""
    for (_, key), lines in journals.by_request("heard").items():
        finals = [i for i, line in enumerate(lines) if line["outcome"] in FINAL]
        repeated = key not in journals.once and len(lines) > 1
        if repeated or (finals and finals[0] != len(lines) - 1):
            yield lines
    for lines in journals.by_request("ended").values():
        if len(lines) > 1:
            yield lines


def not_run_that_ran(journals):
    """A run before the answer contradicts it, and so does a later one, unless
    another request with the same key was still open at that time."""
    last_heard = collections.defaultdict(int)
    for line in journals.heard():
        last_heard[line["id"]] = max(last_heard[line["id"]], line["at_us"])
    for line in journals.heard():
        if line["outcome"] != "not_run":
            continue
        key = line["id"]
        for start in journals.starts[key]:
            later = start["at_us"] > line["at_us"]
            if later and last_heard[key] > start["at_us"]:
                continue
            yield [line, start]


def ends_without_run(journals):
    """The end of a booking is that of its run at the worker."""
    for line in journals.heard():
        key, outcome = line["id"], line["outcome"]
        if outcome not in ("done", "failed"):
            continue
        if key not in journals.once and outcome == "failed":
            continue  # no success before the deadline
        shown = {end["detail"] for end in journals.ends[key]}
        if outcome not in shown:
            yield [line] + journals.starts[key] + journals.ends[key]


def different_ends(journals):
    """All ends of one booking key are the same."""
    finals = collections.defaultdict(dict)
    for line in journals.heard():
        if line["id"] in journals.once and line["outcome"] in ("done", "failed"):
            finals[line["id"]][line["outcome"]] = line
    for lines in finals.values():
        if len(lines) > 1:
            yield list(lines.values())


def bookings_run_twice(journals):
    for key in journals.once:
        if len(journals.starts[key]) > 1:
            yield journals.starts[key]


class Run:
    """One attempt of a task at a worker."""

    def __init__(self, line):
        self.line = line
        self.worker = line["worker"]
        self.incarnation = line["incarnation"]
        self.start = line["at_us"]
        self.end = None
        self.end_line = None
        self.by_lease = False

    def close(self, line):
        self.end, self.end_line = line["at_us"], line

    def evidence(self):
        return [self.line] + ([self.end_line] if self.end_line else [])


def task_runs(journals):
    """Runs by (job, index). A kill of the worker ends its runs."""
    runs = collections.defaultdict(list)
    open_runs = collections.defaultdict(dict)
    lines = journals.worker + [f for f in journals.faults if f["what"] == "worker_dead"]
    for line in sorted(lines, key=lambda line: line["at_us"]):
        worker, what = line.get("worker"), line["what"]
        if what == "worker_dead":
            for run in open_runs.pop(worker, {}).values():
                run.close(line)
        elif what == "task_started":
            run = Run(line)
            open_runs[worker][line["id"]] = run
            runs[line["id"].rsplit("/", 1)[0]].append(run)
        elif what == "task_ended":
            run = open_runs[worker].pop(line["id"], None)
            if run:
                run.close(line)
    return runs


def mark_lease_ends(runs, journals):
    ended = {(l["worker"], l["incarnation"]) for l in journals.worker
             if l["what"] == "incarnation_ended"}
    for of_task in runs.values():
        for run in of_task:
            stopped = run.end_line is not None and run.end_line.get("detail") == "stopped"
            run.by_lease = stopped and (run.worker, run.incarnation) in ended


def overlaps(journals):
    """Pairs of runs of one task at two workers, with the length of overlap."""
    runs = task_runs(journals)
    mark_lease_ends(runs, journals)
    for of_task in runs.values():
        for i, first in enumerate(of_task):
            for second in of_task[i + 1:]:
                end = first.end if first.end is not None else float("inf")
                if first.worker != second.worker and second.start < end:
                    last = second.end if second.end is not None else end
                    yield first, second, min(end, last) - second.start


def tasks_in_two_places(journals):
    for first, second, length in overlaps(journals):
        if first.by_lease and first.end - second.start <= LEASE_CHECK_US:
            continue
        yield first.evidence() + second.evidence()


def limits_exceeded(journals):
    """What workers noticed themselves, and calls at once beyond the slots."""
    slots = next((f["slots"] for f in journals.faults if f["what"] == "setup"), 8)
    running = collections.defaultdict(dict)
    lines = journals.worker + [f for f in journals.faults if f["what"] == "worker_dead"]
    for line in sorted(lines, key=lambda line: line["at_us"]):
        worker, what = line.get("worker"), line["what"]
        if what == "worker_dead":
            running.pop(worker, None)
        elif what == "violation":
            yield [line]
        elif what == "task_refused" and line.get("detail") == "does not fit":
            yield [line]
        elif what == "call_started":
            running[worker][line["id"]] = line
            if len(running[worker]) > slots:
                yield list(running[worker].values())
        elif what == "call_ended":
            running[worker].pop(line["id"], None)


def cut_off_by_shutdown(journals):
    """An idempotent call in flight at an entry's SIGTERM gets an answer."""
    asked = {key: lines[0] for key, lines in journals.by_request("asked").items()}
    drains = [f for f in journals.faults if f["what"] == "drained"]
    by_port = collections.defaultdict(list)
    for line in journals.heard():
        if line["outcome"] == "no_answer" and line["id"] not in journals.once:
            by_port[line["entry_port"]].append(line)
    for drain in drains:
        if drain["code"] != 0:
            yield [drain]
        lines = by_port[drain["port"]]
        first = bisect.bisect_left([l["at_us"] for l in lines], drain["term_us"])
        for line in lines[first:]:
            sent = asked.get((line["_file"], line["id"]))
            if sent and sent["at_us"] < drain["term_us"]:
                yield [drain, sent, line]


def answered_in_drains(journals):
    """Calls in flight at a SIGTERM that had an answer of that entry."""
    asked = {key: lines[0] for key, lines in journals.by_request("asked").items()}
    drains = [f for f in journals.faults if f["what"] == "drained"]
    return sum(
        1 for line in journals.heard() for drain in drains
        if line["entry_port"] == drain["port"] and line["outcome"] != "no_answer"
        and drain["term_us"] <= line["at_us"] <= drain["at_us"]
        and asked[(line["_file"], line["id"])]["at_us"] < drain["term_us"])


def racing_operators(journals):
    """Of changes with one version at most one is made, and a resend under
    the same id has the first answer."""
    winners = collections.defaultdict(dict)
    answers = collections.defaultdict(dict)
    for line in journals.faults:
        if line["what"] != "operator":
            continue
        if line["status"] == 200:
            winners[(line["object"], line["version"])][line["id"]] = line
        if line["status"] in (200, 412):
            answers[line["id"]][line["status"]] = line
    for lines in list(winners.values()) + list(answers.values()):
        if len(lines) > 1:
            yield list(lines.values())


def changes_lost(journals):
    """After the run the last accepted change stands, or a later one whose
    operator did not learn the end."""
    changes = [f for f in journals.faults if f["what"] == "operator"]
    accepted = [f for f in changes if f["status"] == 200]
    if not accepted:
        return
    last = max(accepted, key=lambda f: int(f["version"]))
    allowed = {last["id"]} | {
        f["id"] for f in changes
        if f["status"] not in (200, 412) and int(f["version"]) > int(last["version"])}
    for line in journals.faults:
        if line["what"] == "final" and line["by"] not in allowed:
            yield [last, line]


def not_recovered(journals):
    for line in journals.faults:
        if line["what"] == "recovered" and not line["ok"]:
            yield [line]


CHECKS = {
    "answer to a wrong caller": wrong_answers,
    "answer heard twice": answers_heard_twice,
    "not_run that ran": not_run_that_ran,
    "end without its run": ends_without_run,
    "different ends for one booking": different_ends,
    "booking run twice": bookings_run_twice,
    "task in two places": tasks_in_two_places,
    "worker over its limits": limits_exceeded,
    "cut off by graceful shutdown": cut_off_by_shutdown,
    "two changes of one version": racing_operators,
    "accepted change lost": changes_lost,
    "no recovery after the faults": not_recovered,
}


def print_counts(title, counts):
    print(title)
    for name, count in sorted(counts.items()):
        print(f"  {name:32} {count}")


def print_load(journals):
    count = lambda what: sum(1 for line in journals.worker if line["what"] == what)
    asked = [line for line in journals.caller if line["what"] == "asked"]
    seconds = (asked[-1]["at_us"] - asked[0]["at_us"]) / 1e6 if asked else 0
    rate = len(asked) / seconds if seconds else 0
    ended = len(journals.by_request("ended"))
    workers = {line["worker"] for line in journals.worker}
    print(f"load: {len(asked)} calls in {seconds:.1f} s ({rate:.0f}/s), "
          f"{len(journals.once)} booking keys, {ended} ended; {len(workers)} workers, "
          f"{count('call_started')} calls run, {count('task_started')} tasks started")
    refused = collections.Counter(
        line["what"] + " " + line.get("detail", "") for line in journals.worker
        if line["what"] in ("call_refused", "task_refused", "announce_failed"))
    print_counts("refusals at workers and failed announcements", refused)
    short = [length for first, second, length in overlaps(journals)
             if first.by_lease and first.end - second.start <= LEASE_CHECK_US]
    print(f"overlaps within the lease check of the stand-in: {len(short)}")
    print(f"calls answered by an entry after its SIGTERM: {answered_in_drains(journals)}")


def print_ends(journals):
    ends = collections.Counter()
    for line in journals.caller:
        if line["what"] == "ended":
            kind = "booking" if line["once"] else "check"
            ends[f"{kind} {line['outcome']}"] += 1
    print_counts("ends by kind", ends)
    answers = collections.Counter(line["outcome"] for line in journals.heard())
    print_counts("answers heard", answers)


def print_violations(name, found):
    print(f"violation: {name}: {len(found)}")
    for lines in found[:MAX_PRINTED]:
        for line in lines[:10]:
            shown = {k: v for k, v in line.items() if not k.startswith("_")}
            print(f"    {line['_from']} {json.dumps(shown)}")
        print()


def main():
    if len(sys.argv) != 2:
        print(__doc__)
        return 2
    journals = Journals(sys.argv[1])
    if not journals.worker or not journals.caller:
        print("no journals of workers and callers")
        return 2
    print_load(journals)
    faults = collections.Counter(
        f["kind"] for f in journals.faults if f["what"] == "fault")
    print_counts("faults by kind", faults)
    print_ends(journals)
    total = 0
    for name, check in CHECKS.items():
        found = list(check(journals))
        total += len(found)
        if found:
            print_violations(name, found)
    print(f"violations: {total} (goal 0)")
    return 1 if total else 0


if __name__ == "__main__":
    sys.exit(main())
