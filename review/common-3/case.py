"""What the cases share: the record, the operator, requesters and a set of workers."""

import asyncio
import os
import random
import signal
import sys
import time
import traceback

from deployment import Deployment
from http_io import call
from workers import Worker

# Time from the start of the machines to the first request (SYSTEM.md: 10 s).
LEAD_S = 10.0
DEADLINE_MS = 3000
RETRIES = 4
HOST = "host.example"


class Case:
    service = "pool"

    def __init__(self, folder, seed=1):
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.random = random.Random(seed)
        self.began = time.monotonic()
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.broken = []
        self.deployment = None
        self.workers = {}
        self.background = []

    # Hooks of the workers.

    def on_start(self, worker, run):
        self.note("started", f"{run.task}/{run.number} on {worker.id}")

    def on_end(self, worker, run, how):
        self.note("ended", f"{run.task}/{run.number} on {worker.id} {how}")

    def on_crash(self, worker, run):
        self.note("crashed", f"{run.task}/{run.number} with {worker.id}")

    def fails_now(self, run):
        return False

    def is_late(self, worker):
        """Whether an order that the worker reads now is left unanswered and carried out late."""
        return False

    # The record.

    def now(self):
        return time.monotonic() - self.began

    def note(self, what, text):
        self.record.write(f"{self.now():8.3f} {what} {text}\n")

    def report(self, rule, text):
        self.broken.append(f"{rule}: {text}")
        self.note("BROKEN", f"{rule}: {text}")
        print(f"{self.now():8.3f} BROKEN {rule}: {text}", flush=True)

    # The operator.

    def route(self, name, prefix, priority, target_ms, attempts=3, stretch=2.2):
        return {"name": name, "hostname": HOST, "path-prefix": prefix, "type": "unsafe",
                "timeout-ms": 3000, "target-latency-ms": target_ms, "priority": priority,
                "backend": self.service, "max-attempts": attempts, "stretch-factor": stretch}

    async def put_config(self, version, routes):
        body = {"version": version, "routes": routes,
                "services": [{"name": self.service, "health-path": "/healthz",
                              "max-connections": 64, "protocol": "h1", "tls": False,
                              "enforce-capacity": False, "standby": False}],
                "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                           "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
        for _ in range(60):
            status, _ = await call(self.random.choice(self.deployment.controls), "POST",
                                   "/mangoplank/config/put", body)
            self.note("config", f"version {version} answered {status}")
            if status == 200:
                return
            await asyncio.sleep(0.3)
        raise RuntimeError("the desired state was not acknowledged")

    # Requesters.

    async def request(self, method, path, body=None):
        status, answer = await call(self.random.choice(self.deployment.fronts), method, path, body,
                                    {"Host": HOST, "X-Mangoplank-Deadline-Ms": DEADLINE_MS},
                                    DEADLINE_MS / 1000)
        return status, answer

    async def submit(self, path, spec):
        """Hands a job in, again with the same id while there is no clear answer."""
        for _ in range(1 + RETRIES):
            status, _ = await self.request("POST", path, spec)
            self.note("POST", f"{path} {status}")
            if status not in (0, 502, 504, 503, 429):
                break
            await asyncio.sleep(0.1)
        return status

    async def state(self, path):
        status, answer = await self.request("GET", path)
        state = answer.get("state") if status == 200 and isinstance(answer, dict) else None
        self.note("GET", f"{path} {status} {state}")
        return status, state

    def new_id(self):
        return f"{self.random.getrandbits(64):016x}"

    # Workers.

    async def add_worker(self, index, life=0, **options):
        worker = Worker(self, f"i-{index:03d}-{life}",
                        f"127.{self.deployment.block}.{30 + index // 200}.{1 + index % 200}",
                        ["ab"[index % 2], f"r1-{index // 8}"], **options)
        await worker.start()
        self.workers[index] = worker
        return worker

    # The run.

    async def play(self):
        raise NotImplementedError

    async def _run(self, workers, gateways, routes, options):
        # So that a case that is ended from outside ends what it has started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM,
                                                      asyncio.current_task().cancel)
        self.deployment = Deployment(gateways)
        try:
            self.deployment.start()
            for index in range(workers):
                await self.add_worker(index, **options(index))
            await self.put_config(1, routes)
            await asyncio.sleep(max(0.0, LEAD_S - self.now()))
            await self.play()
            ended = self.deployment.ended_by_themselves()
            if ended:
                self.report("FAULT", "ended by themselves: " + ", ".join(ended))
        finally:
            for task in self.background:
                task.cancel()
            for worker in self.workers.values():
                worker.stop()
            self.deployment.stop(os.environ.get("KEEP_LOGS"))

    def main(self, workers, routes, gateways=3, options=lambda index: {}):
        """`options` gives further arguments of the worker with an index."""
        try:
            asyncio.run(self._run(workers, gateways, routes, options))
        except (Exception, asyncio.CancelledError):  # the exit code says that it could not run
            traceback.print_exc()
            self.record.close()
            sys.exit(2)
        self.note("result", "broken" if self.broken else "held")
        self.record.close()
        print("broken" if self.broken else "held")
        sys.exit(1 if self.broken else 0)
