#!/usr/bin/env python3
"""Summarizes where the time of jobs goes, from the lines of the leaders.

usage: step_times.py [LOG ...]

Reads the `step_times` lines of any run (standard input without a file) and
prints for each queue the median and the 90th percentile of the parts of a
step's time: from ready to the first eligibility check, to its answer, to the
first and the last task that has a worker, the start orders, the run with its
report, and the whole.
"""

import fileinput
import re
import sys

PARTS = ["to_check_ms", "to_answer_ms", "to_first_ms", "to_last_ms", "order_ms", "run_ms",
         "all_ms"]
FIELD = re.compile(r"(\w+)=(\S+)")


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def main():
    steps = {}
    for line in fileinput.input():
        if " step_times " not in line:
            continue
        fields = dict(FIELD.findall(line))
        kind = "gang" if fields["gang"] == "true" else "tasks"
        steps.setdefault((fields["queue"], kind), []).append(fields)
    if not steps:
        sys.exit("no step_times line in the input")
    print("| queue | kind | steps | checks a step | " + " | ".join(PARTS) + " |")
    print("|" + " --- |" * (4 + len(PARTS)))
    for (queue, kind), rows in sorted(steps.items()):
        checks = sum(int(row["checks"]) for row in rows) / len(rows)
        cells = []
        for part in PARTS:
            known = [int(row[part]) for row in rows if int(row[part]) >= 0]
            cells.append(f"{percentile(known, 0.5)} / {percentile(known, 0.9)}" if known else "-")
        print(f"| {queue} | {kind} | {len(rows)} | {checks:.1f} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
