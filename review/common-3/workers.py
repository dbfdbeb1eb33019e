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
        self.born = int(time.time() * 1000)
        self.clock_base = random.randint(1_000, 900_000)
        self.began = time.monotonic()
        self.sequence = self.acked = 0
        self.fence = 0
        self.lease_ms = 0
        self.runs, self.ends, self.ended_runs = {}, [], {}
        self.end_count = 0
        self.changed = asyncio.Event()
        self.alive = True
        self.state = "ready"
        self.wanted_address = address
        self.tasks = []
        self.server = Server(self.handle)

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
            self.case.note("crashed", f"{run.task}/{run.number} with {self.id}")
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

    async def handle(self, method, path, headers, body):
        if not self.alive:
            return None
        if headers.get("x-mangoplank-expect-instance", self.id) != self.id:
            return 421, {}
        if method != "POST" or not isinstance(body, dict):
            return 404, {}
        token = body.get("fencing-token", 0)
        if token < self.fence:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self.fence = token
        if path == "/mangoplank/run-start":
            return self._start(body)
        if path == "/mangoplank/run-stop":
            return self._stop(body)
        if path == "/mangoplank/hold":
            return await self._hold(body)
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

    async def _hold(self, body):
        seen = body.get("last-seen", 0)
        self.ends = [end for end in self.ends if end[0] > seen]
        if "deadline-ms" in body:
            self._extend(body)
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
