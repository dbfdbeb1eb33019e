"""Stand-in workers. They follow "Running tasks" and "Service discovery" of PROTOCOL.md."""

import asyncio
import contextlib
import json
import time

from cell import call, encode_request, read_message

MAX_HOLD_S = 6.0
STOP_S = 0.4
GANG_WAIT_S = 3.0
HEARTBEAT_S = 1.5
ANSWER_S = 1.0
TICK_S = 0.02
# All stand-ins share one event loop, so that a start may be read before an answer that arrived
# earlier at another worker. Two runs count as at the same time if both go on for longer than this.
OVERLAP_S = 0.25


class Run:
    def __init__(self, task, number, work_s):
        self.task, self.number, self.work_s = task, number, work_s
        self.began = time.monotonic()
        self.done_s = 0.0
        self.stop_at = None


class Pool:
    """All workers of the deployment, the jobs that may run on them, and what runs."""

    def __init__(self, cell, record):
        self.cell, self.record = cell, record
        # By job id: (task spec, phases, seconds of work of a task; None for tasks that last).
        self.jobs = {}
        self.workers = []
        # (task, run) -> worker, for each run at work on a worker that is up.
        self.active = {}
        # Called with the worker and the run of each start.
        self.on_start = lambda worker, run: None

    def add(self, name, **options):
        worker = Worker(self, name, **options)
        self.workers.append(worker)
        self.cell.workers.append(worker)
        return worker

    def step_of(self, task):
        job, _, step, _ = task.rsplit(".", 3)
        return self.jobs[job][1][int(step)]

    def find(self, task):
        """The worker and the run of a task that is at work, or None."""
        for (name, _), worker in self.active.items():
            if name == task:
                return worker, worker.runs[task]
        return None

    def note_start(self, worker, run):
        for (task, number), other in self.active.items():
            if task == run.task:
                self.record.add(f"{task} run {run.number} starts on {worker.id} while run {number} "
                                f"is at work on {other.id}, which is up")
                asyncio.get_running_loop().call_later(OVERLAP_S, self._check_overlap, task,
                                                      number, run.number)
        self.active[run.task, run.number] = worker
        self.record.add(f"{worker.id} starts {run.task} run {run.number}")
        self.on_start(worker, run)

    def _check_overlap(self, task, first, second):
        if (task, first) in self.active and (task, second) in self.active:
            self.record.add_broken("TWICE", f"{task} has been at work as run {first} on "
                                            f"{self.active[task, first].id} and as run {second} on "
                                            f"{self.active[task, second].id} for {OVERLAP_S} s")

    def gang(self, run):
        """The runs of the same gang and run number that are at work, by worker."""
        prefix = run.task.rsplit(".", 1)[0] + "."
        return [(w, w.runs[task]) for (task, number), w in self.active.items()
                if task.startswith(prefix) and number == run.number]


class Worker:
    """One life of a worker."""

    def __init__(self, pool, name, cpu=32000, port=0, host=None, labels=("a", "r1")):
        self.pool, self.record, self.id, self.cpu = pool, pool.record, name, cpu
        self.host = host or f"127.{pool.cell.block}.40.1"
        self.port = port
        self.labels = list(labels)
        self.begin = time.monotonic()
        self.born = int(time.time() * 1000)
        self.up = True
        self.runs, self.ended, self.refused_up_to = {}, [], {}
        self.fence, self.lease_ms, self.next_end = 0, 0, 1
        self.state, self.sequence = "ready", 0
        self.fails_all = False
        # The link from the machines of the system to this worker carries nothing.
        self.cut_inbound = False
        self.end_event = asyncio.Event()
        self.writers, self.tasks = set(), []
        self.channel = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.record.add(f"{self.id} born {self.born} serves at {self.host}:{self.port}")
        self.tasks = [asyncio.create_task(self._work()), asyncio.create_task(self._beat())]

    def end(self, why):
        """The worker crashes or leaves: all that runs on it ends, and its channels are closed."""
        if not self.up:
            return
        self.up = False
        self.record.add(f"{self.id} {why}; it ran {sorted(self.runs)}")
        for run in list(self.runs.values()):
            self._drop(run)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        if self.channel:
            self.channel[1].transport.abort()
        for task in self.tasks:
            if task is not asyncio.current_task():
                task.cancel()

    def clock_ms(self):
        return int((time.monotonic() - self.begin) * 1000) + 1000

    # Runs.

    def _drop(self, run):
        self.runs.pop(run.task, None)
        self.pool.active.pop((run.task, run.number), None)

    def _end_run(self, run, how):
        self._drop(run)
        self.refused_up_to[run.task] = max(self.refused_up_to.get(run.task, 0), run.number)
        self.ended.append([self.next_end, run.task, run.number, how, ""])
        self.record.add(f"{self.id} lists end {self.next_end}: {run.task} run {run.number} {how}")
        self.next_end += 1
        self.end_event.set()

    async def _work(self):
        while self.up:
            await asyncio.sleep(TICK_S)
            if self.runs and self.clock_ms() > self.lease_ms:
                for run in list(self.runs.values()):
                    self._end_run(run, "lapsed")
            for run in list(self.runs.values()):
                if run.task in self.runs:
                    self._advance(run)

    def _advance(self, run):
        now = time.monotonic()
        if run.stop_at is not None:
            if now >= run.stop_at:
                self._end_run(run, "stopped")
            return
        step = self.pool.step_of(run.task)
        members = [(self, run)]
        if step.get("gang"):
            members = self.pool.gang(run)
            if len(members) < step["count"]:
                if run.done_s > 0:
                    self._end_run(run, "broken")
                elif now > run.began + GANG_WAIT_S:
                    self._end_run(run, "alone")
                return
        run.done_s += TICK_S
        if self.fails_all:
            self._end_run(run, "failed")
        elif run.work_s is not None and run.done_s >= run.work_s:
            for worker, member in members:
                worker._end_run(member, "done")

    # Orders.

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.up:
                first, headers, body = await read_message(reader)
                if self.cut_inbound:
                    continue
                answer = await self._answer(first.split()[1], headers, body)
                if not self.up or self.cut_inbound:
                    continue
                data = encode_answer(*answer)
                writer.write(data)
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, path, headers, body):
        if headers.get("x-mangoplank-expect-instance", self.id) != self.id:
            return 421, {}
        now = self.clock_ms()
        if body.get("fencing-token", 0) < self.fence:
            return 409, {"clock-ms": now, "reason": "fence"}
        self.fence = body.get("fencing-token", 0)
        if path == "/mangoplank/run-start":
            return self._start(body)
        if path == "/mangoplank/run-stop":
            return self._stop(body)
        return await self._hold(body)

    def _extend(self, body):
        if "deadline-ms" in body:
            limit = self.clock_ms() + int(MAX_HOLD_S * 1000)
            self.lease_ms = max(self.lease_ms, min(body["deadline-ms"], limit))

    def _start(self, body):
        task, number, now = body["task"], body["run-id"], self.clock_ms()
        running = self.runs.get(task)
        if running is not None and running.number == number:
            return 200, {"clock-ms": now}
        if running is not None or number <= self.refused_up_to.get(task, 0):
            self._extend(body)
            return 409, {"clock-ms": now, "reason": "old"}
        if body["deadline-ms"] <= now:
            return 409, {"clock-ms": now, "reason": "late"}
        spec, _, work_s = self.pool.jobs[task.split(".")[0]]
        if body["task-spec"] != spec:
            self.record.add_broken("UNASKED", f"{task} with another task-spec")
        self._extend(body)
        self.runs[task] = Run(task, number, work_s)
        self.pool.note_start(self, self.runs[task])
        return 200, {"clock-ms": now}

    def _stop(self, body):
        task, number = body["task"], body["run-id"]
        self.refused_up_to[task] = max(self.refused_up_to.get(task, 0), number)
        run = self.runs.get(task)
        self.record.add(f"{self.id} is told to stop {task} run {number}")
        if run is not None and run.number <= number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_S / 2
        return 200, {"clock-ms": self.clock_ms()}

    async def _hold(self, body):
        last = body.get("last-seen", 0)
        if any(e[0] <= last for e in self.ended):
            self.record.add(f"{self.id}: ends up to {last} are taken note of")
        self.ended = [e for e in self.ended if e[0] > last]
        self._extend(body)
        until = time.monotonic() + min(body.get("wait-ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until and self.up:
            self.end_event.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.end_event.wait(), until - time.monotonic())
        rows = [[r.task, r.number, "", self._percent(r), 0] for r in self.runs.values()]
        return 200, {"clock-ms": self.clock_ms(), "born": self.born, "running": rows,
                     "finished": self.ended[:500]}

    @staticmethod
    def _percent(run):
        return 100 if run.work_s is None else min(99, int(100 * run.done_s / run.work_s))

    # Reports.

    def _report(self):
        self.sequence += 1
        report = {"backend": "pool", "address": f"{self.host}:{self.port}", "zone": "z1",
                  "version": "v1", "slots": 8, "state": self.state, "cold-remaining-ms": 0,
                  "capacity": {"cpu": self.cpu, "mem-mb": 65536, "gpus": 0}, "labels": self.labels,
                  "clock-ms": self.clock_ms(), "sequence": self.sequence, "born": self.born}
        if self.state == "draining":
            report["remaining-ms"] = 2000
        return report

    async def send(self, action, body):
        """Sends a report on the open channel, else to the next nodes. Returns whether it was
        acknowledged."""
        path = f"/mangoplank/instances/{self.id}/{action}"
        if self.channel is None:
            await self._open_channel()
        if self.channel is not None and await self._send_on_channel(path, body):
            return True
        for process in self.pool.cell.live_controllers()[:3]:
            if self.cut_inbound:
                # No channel can be opened without packets from the other side.
                await asyncio.sleep(ANSWER_S)
                continue
            status, _ = await call((process.ip, 8166), "POST", path, body, timeout=ANSWER_S)
            if status == 200:
                return True
        return False

    async def _open_channel(self):
        for process in self.pool.cell.live_controllers():
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(ANSWER_S):
                    self.channel = await asyncio.open_connection(process.ip, 8166)
                    return

    async def _send_on_channel(self, path, body):
        reader, writer = self.channel
        try:
            writer.write(encode_request(("control",), "POST", path, body, None))
            async with asyncio.timeout(ANSWER_S):
                first, _, _ = await read_message(reader)
                while self.cut_inbound:
                    await asyncio.sleep(TICK_S)
                return first.split()[1] == "200"
        except (OSError, EOFError, TimeoutError):
            writer.transport.abort()
            self.channel = None
            return False

    async def _beat(self):
        while self.up and self.state != "gone":
            body = self._report()
            acknowledged = await self.send("heartbeat", body)
            if not acknowledged or body["state"] == "draining":
                self.record.add(f"{self.id} pings {body['state']}: acknowledged={acknowledged}")
            if acknowledged and body["state"] == "draining":
                self.drain_acknowledged.set()
            await asyncio.sleep(HEARTBEAT_S if acknowledged else 0.2)

    def drain(self):
        self.drain_acknowledged = asyncio.Event()
        self.state = "draining"


def encode_answer(status, body):
    data = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n").encode() + data
