"""Stand-ins for workers, as PROTOCOL.md describes them. What a task does is in its task-spec, a
JSON text that the case has written: `ms`, the work of each task; `fails_at_s`, times of the run
of the case at which a task at work ends as failed by its own fault."""

import asyncio
import json
import random
import time

from http_io import Server, call

HEARTBEAT_S = 1.5
STOP_S = 0.2
MAX_HOLD_MS = 6000
TICK_S = 0.02
MAX_WAIT_MS = 2000
LISTED_ENDS = 500
# Time for which a call that gets no answer keeps its channel.
SILENT_S = 1.0
PAUSE_S = 0.05
# PROTOCOL.md and kinds: an order without an answer is carried out 2 to 12 s later.
LATE_S = (2.0, 12.0)


class Run:
    def __init__(self, task, number, spec, checkpoint):
        self.task, self.number, self.spec = task, number, spec
        self.started = time.monotonic()
        self.stops_at = None
        self.checkpoint = checkpoint


class Worker:
    """One life of a worker."""

    def __init__(self, case, name, host, labels, cpu=16000, gpus=0, address=None):
        self.case, self.id, self.host, self.labels, self.cpu = case, name, host, labels, cpu
        self.gpus = gpus
        self.changed = asyncio.Event()
        self.alive = True
        self.cut = False
        self.state = "ready"
        self.wanted_address = address
        self._begin()
        self.tasks = []
        self.server = Server(self.handle)

    def _begin(self):
        """Counts and lists start anew with each life."""
        self.born = int(time.time() * 1000)
        self.clock_base = random.randint(0, 100)
        self.began = time.monotonic()
        self.sequence = self.acked = 0
        self.fence = 0
        self.lease_ms = 0
        self.runs, self.ends, self.ended_runs = {}, [], {}
        self.end_count = 0

    async def start(self):
        host, port = self.wanted_address or (self.host, 0)
        self.address = await self.server.start(host, port)
        self.tasks = [asyncio.create_task(self._advance()), asyncio.create_task(self._beat())]

    def crash(self):
        """Ends at once: channels are reset, and all that runs here ends without a listing."""
        if not self.alive:
            return
        self.alive = False
        for run in list(self.runs.values()):
            self.case.on_crash(self, run)
        self.runs.clear()
        self.stop()

    def stop(self):
        self.alive = False
        for task in self.tasks:
            task.cancel()
        self.server.stop()

    def clock_ms(self):
        return self.clock_base + int((time.monotonic() - self.began) * 1000)

    def ping(self):
        return {"backend": self.case.service, "address": "%s:%d" % self.address,
                "zone": "zone-1", "version": "v1", "slots": 8, "state": self.state,
                "cold-remaining-ms": 0,
                "capacity": {"cpu": self.cpu, "mem-mb": 131072, "gpus": self.gpus},
                "labels": self.labels, "clock-ms": self.clock_ms(),
                "sequence": self.sequence, "born": self.born}

    async def _beat(self):
        while self.alive:
            self.sequence += 1
            body = self.ping()
            if self.cut:
                await asyncio.sleep(PAUSE_S)
                continue
            for address in random.sample(self.case.deployment.controls, 3):
                status, _ = await call(address, "POST",
                                       f"/mangoplank/instances/{self.id}/heartbeat", body)
                if status == 200:
                    self.acked += 1
                    break
            await asyncio.sleep(HEARTBEAT_S)

    def _end(self, run, how):
        self.runs.pop(run.task, None)
        self.ended_runs[run.task] = max(self.ended_runs.get(run.task, 0), run.number)
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, run.checkpoint])
        self.case.on_end(self, run, how)
        self.changed.set()

    async def _advance(self):
        while self.alive:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            lapsed = bool(self.runs) and self.clock_ms() > self.lease_ms
            for run in list(self.runs.values()):
                if lapsed:
                    self._end(run, "lapsed")
                elif run.stops_at is not None:
                    if now >= run.stops_at:
                        self._end(run, "stopped")
                elif self.case.fails_now(run):
                    self._end(run, "failed")
                elif "ms" in run.spec and now >= run.started + run.spec["ms"] / 1000:
                    self._end(run, "done")

    def reborn(self):
        """Crashes and starts again at once, under the same id and at the same address: holds and
        knows nothing of before."""
        for run in list(self.runs.values()):
            self.case.on_crash(self, run)
        self._begin()

    def set_cut(self, cut):
        """Begins or ends a cut: what is sent to the worker and by it is lost."""
        self.cut = cut

    async def handle(self, method, path, headers, body):
        if self.cut:
            return await self._no_answer()
        answer = await self._handle(method, path, headers, body)
        return await self._no_answer() if self.cut else answer

    async def _no_answer(self):
        await asyncio.sleep(SILENT_S)

    async def _late(self, path, body):
        """Carries an order out later, by the life that then has the id; nobody gets the answer."""
        await asyncio.sleep(random.uniform(*LATE_S))
        if self.alive:
            self.case.note("late", f"{self.id} {path} {body.get('task', '')}")
            self._carry_out(path, body)

    async def _handle(self, method, path, headers, body):
        if not self.alive:
            return None
        if headers.get("x-mangoplank-expect-instance", self.id) != self.id:
            return 421, {}
        if method != "POST" or not isinstance(body, dict):
            return 404, {}
        if self.case.is_late(self):
            self.tasks.append(asyncio.create_task(self._late(path, body)))
            return await self._no_answer()
        answer = self._carry_out(path, body)
        return await self._list(body) if answer is None else answer

    def _carry_out(self, path, body):
        """Returns the answer, or None for the lists of runs."""
        token = body.get("fencing-token", 0)
        if token < self.fence:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self.fence = token
        if path == "/mangoplank/run-start":
            return self._start(body)
        if path == "/mangoplank/run-stop":
            return self._stop(body)
        if path == "/mangoplank/hold":
            return self._hold(body)
        return 404, {}

    def _extend(self, body):
        limit = self.clock_ms() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(body.get("deadline-ms", 0), limit))

    def _start(self, body):
        task, number = body["task"], body["run-id"]
        running = self.runs.get(task)
        if running is not None and running.number == number:
            return 200, {"clock-ms": self.clock_ms()}
        if running is not None or number <= self.ended_runs.get(task, 0):
            self._extend(body)
            return 409, {"clock-ms": self.clock_ms(), "reason": "old"}
        if body["deadline-ms"] <= self.clock_ms():
            return 409, {"clock-ms": self.clock_ms(), "reason": "late"}
        self._extend(body)
        run = Run(task, number, json.loads(body["task-spec"]), body.get("checkpointed", ""))
        self.runs[task] = run
        self.case.on_start(self, run)
        return 200, {"clock-ms": self.clock_ms()}

    def _stop(self, body):
        task, number = body["task"], body["run-id"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            run.stops_at = run.stops_at or time.monotonic() + STOP_S
        elif run is None:
            self.ended_runs[task] = max(self.ended_runs.get(task, 0), number)
        return 200, {"clock-ms": self.clock_ms()}

    def _hold(self, body):
        seen = body.get("last-seen", 0)
        self.ends = [end for end in self.ends if end[0] > seen]
        if "deadline-ms" in body:
            self._extend(body)

    async def _list(self, body):
        wait_s = min(body.get("wait-ms", 0), MAX_WAIT_MS) / 1000
        if wait_s and not self.ends:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait_s)
            except TimeoutError:
                pass
        if not self.alive:
            return None
        return 200, {"clock-ms": self.clock_ms(), "born": self.born,
                     "running": [[r.task, r.number, r.checkpoint, 100, 0]
                                 for r in self.runs.values()],
                     "finished": self.ends[:LISTED_ENDS]}
