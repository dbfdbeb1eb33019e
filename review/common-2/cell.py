"""A small cell for the scripts of review 2: the project's programs as separate processes on
loopback addresses, and stand-ins for workers, requesters and the operator, which do what the
users' pages say. Every request, answer, start and end is written to the record."""

import asyncio
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FRONT_PORT, CONTROL_PORT, READY_PORT = 8161, 8166, 8167
INTERNAL_PORTS = [7720, 7735]
# Bounds of the small installations (SYSTEM.md).
MAX_HOLD_MS, MAX_WAIT_MS, STOP_S, HEARTBEAT_S, CHECKPOINT_S = 6000, 2000, 0.4, 1.5, 1.0
GANG_WAIT_S = 3.0
TICK_S = 0.02
HOST, SERVICE = "review.example", "svc"


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        line = f"{time.monotonic() - self.begin:8.3f} {text}"
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()


async def read_message(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {k.strip().lower(): v.strip() for k, _, v in (i.partition(":") for i in head[1:])}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


async def call(address, method, path, body=None, host=None, timeout=1.0):
    """Makes one HTTP call. Returns (status, parsed body); status 0 if there is no answer."""
    data = b"" if body is None else json.dumps(body).encode()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host or address[0]}\r\n"
                         f"Content-Type: application/json\r\n"
                         f"X-Mangoplank-Deadline-Ms: {int(timeout * 1000)}\r\n"
                         f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            first, _, answer = await read_message(reader)
            return int(first.split()[1]), json.loads(answer or b"null")
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None
    finally:
        if writer is not None:
            writer.transport.abort()


def render(template, values):
    """Fills in the settings template as the platform does."""
    def lookup(name):
        value = values
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
        return value

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda m: "".join(m[2].replace("{{@}}", str(i)).replace("{{.}}", str(v))
                                    for i, v in enumerate(lookup(m[1]))), template, flags=re.S)

    def field(match):
        value = lookup(match[1])
        return "" if value is None else str(value).lower() if isinstance(value, bool) else str(value)

    return re.sub(r"\{\{([\w.-]+)\}\}", field, text)


class Program:
    """One process of the project."""

    def __init__(self, cell, role, number):
        self.cell, self.role, self.name = cell, role, f"{role}-{number}"
        self.ip = f"127.{cell.block}.{2 if role == 'gateway' else 1}.{number}"
        self.child = None

    def start(self, bootstrap):
        folder = os.path.join(self.cell.folder, self.name)
        os.makedirs(folder, exist_ok=True)
        seeds = [p.ip for p in self.cell.controllers[:3]]
        values = {
            "node-name": self.name, "ip": self.ip, "zone": "zone-1", "bootstrap": bootstrap,
            "limits": {"max-fds": 4096, "memory-mb": 256}, "internal-ports": INTERNAL_PORTS,
            "bind-addrs": {"front": f"{self.ip}:{FRONT_PORT}", "ready": f"{self.ip}:{READY_PORT}",
                           "control": f"{self.ip}:{CONTROL_PORT}"},
            "seed-nodes": [f"{ip}:{CONTROL_PORT}" for ip in seeds],
            "data-dir": os.path.join(folder, "data") if self.role == "controller" else None,
            "fault-tolerance": {"machines": self.cell.losses}, "advice": None,
            "bounds": {"grace-s": 6, "max-hold-ms": MAX_HOLD_MS}}
        with open(os.path.join(ROOT, "platform/settings.ini.template"), encoding="utf-8") as f:
            text = render(f.read(), values)
        path = os.path.join(folder, "settings.ini")
        with open(path, "w", encoding="utf-8") as f:
            f.write(text)
        with open(os.path.join(folder, "log"), "ab") as log:
            self.child = subprocess.Popen([f"target/mangoplank-{self.role}", "--config", path],
                                          cwd=ROOT, stdout=log, stderr=log)

    def end(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child is not None:
            self.child.wait()


class Run:
    def __init__(self, task, number, step, spec):
        self.task, self.number, self.step, self.spec = task, number, step, spec
        self.worked_s, self.since = 0.0, time.monotonic()
        self.stop_at = None


class Worker:
    """One boot of a worker. A task works for its estimate and then ends `done`; one that lasts
    never ends by itself. A crash closes all connections and loses everything."""

    def __init__(self, cell, name, address, labels, cpu=16000):
        self.cell, self.id, self.address, self.labels = cell, name, address, labels
        self.capacity = {"cpu": cpu, "mem-mb": 32768, "gpus": 0}
        self.born, self.clock_base = int(time.time() * 1000), time.monotonic()
        self.runs, self.ended, self.highest, self.fence = {}, [], {}, 0
        self.lease_ms, self.ends, self.sequence = 0, 0, 0
        self.changed = asyncio.Event()
        self.connections, self.tasks = set(), []
        # Set while the worker fails all that it starts, after this time at work.
        self.fails_after_s = None

    def clock_ms(self):
        return int((time.monotonic() - self.clock_base) * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.tasks = [asyncio.create_task(self._work()), asyncio.create_task(self._report())]
        self.cell.record.write(f"worker {self.id} starts at {self.address[0]}:{self.address[1]}")

    def crash(self):
        self.cell.record.write(f"worker {self.id} crashes; it ran {sorted(self.runs)}")
        self.end()

    def end(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.runs.clear()
        self.cell.workers.remove(self)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                first, headers, data = await read_message(reader)
                path = first.split()[1]
                if headers.get("x-mangoplank-expect-instance", self.id) != self.id:
                    answer = 421, {}
                elif first.startswith("GET"):
                    answer = 200, {}
                else:
                    answer = await self._order(path, json.loads(data))
                body = json.dumps(answer[1]).encode()
                writer.write(f"HTTP/1.1 {answer[0]} x\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        self.connections.discard(writer)
        writer.transport.abort()

    async def _order(self, path, body):
        if body.get("fencing-token", 0) < self.fence:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self.fence = body.get("fencing-token", 0)
        if path == "/mangoplank/run-start":
            return self._start_run(body)
        if path == "/mangoplank/run-stop":
            return self._stop_run(body)
        if path == "/mangoplank/hold":
            return await self._hold(body)
        return 404, {}

    def _extend(self, body):
        until = min(body.get("deadline-ms", 0), self.clock_ms() + MAX_HOLD_MS)
        self.lease_ms = max(self.lease_ms, until)

    def _start_run(self, body):
        task, number = body["task"], body["run-id"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return 200, {"clock-ms": self.clock_ms()}
        if run is not None or number <= self.highest.get(task, 0):
            self._extend(body)
            return 409, {"clock-ms": self.clock_ms(), "reason": "old"}
        if body["deadline-ms"] <= self.clock_ms():
            return 409, {"clock-ms": self.clock_ms(), "reason": "late"}
        self._extend(body)
        step = self.cell.find_step(task)
        self.runs[task] = Run(task, number, step, body["task-spec"])
        self.cell.note_start(self, task, number)
        return 200, {"clock-ms": self.clock_ms()}

    def _stop_run(self, body):
        task, number = body["task"], body["run-id"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_S
        return 200, {"clock-ms": self.clock_ms()}

    async def _hold(self, body):
        self.ended = [e for e in self.ended if e[0] > body.get("last-seen", 0)]
        if "deadline-ms" in body:
            self._extend(body)
        until = time.monotonic() + min(body.get("wait-ms", 0), MAX_WAIT_MS) / 1000
        while not self.ended and time.monotonic() < until:
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
        running = [[r.task, r.number, "", 100 if r.step.get("long-running") else 50, 0]
                   for r in self.runs.values()]
        return 200, {"clock-ms": self.clock_ms(), "born": self.born, "running": running,
                     "finished": self.ended[:500]}

    def end_run(self, run, how):
        if self.runs.pop(run.task, None) is None:
            return
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ends += 1
        self.ended.append([self.ends, run.task, run.number, how, ""])
        self.cell.note_end(self, run, how)
        self.changed.set()

    async def _work(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            for run in list(self.runs.values()):
                if self.clock_ms() > self.lease_ms:
                    self.end_run(run, "lapsed")
                elif run.stop_at is not None:
                    if now >= run.stop_at:
                        self.end_run(run, "stopped")
                else:
                    self._advance(run, now)

    def _advance(self, run, now):
        if run.step.get("gang"):
            members = self.cell.gang_members(run)
            fails = self.fails_after_s is not None and run.worked_s > 0
            if len(members) < run.step["count"] and not fails:
                if run.worked_s > 0:
                    self.end_run(run, "broken")
                elif now - run.since > GANG_WAIT_S:
                    self.end_run(run, "alone")
                return
        run.worked_s += TICK_S
        if self.fails_after_s is not None:
            # A gang ends as one, but each task here fails by itself, in this very moment.
            if run.worked_s >= self.fails_after_s:
                self.end_run(run, "failed")
            return
        if run.step.get("long-running") or run.worked_s < run.step["estimate-ms"] / 1000:
            return
        if run.step.get("gang"):
            for worker, member in self.cell.gang_members(run):
                worker.end_run(member, "done")
        else:
            self.end_run(run, "done")

    async def _report(self):
        while True:
            self.sequence += 1
            body = {"backend": SERVICE, "address": f"{self.address[0]}:{self.address[1]}",
                    "zone": "zone-1", "version": "v1", "slots": 8, "state": "ready",
                    "cold-remaining-ms": 0, "capacity": self.capacity, "labels": self.labels,
                    "clock-ms": self.clock_ms(), "sequence": self.sequence, "born": self.born}
            for controller in self.cell.controllers:
                status, _ = await call((controller.ip, CONTROL_PORT), "POST",
                                       f"/mangoplank/instances/{self.id}/heartbeat", body)
                if status == 200:
                    break
            await asyncio.sleep(HEARTBEAT_S)


class Cell:
    def __init__(self, folder, controllers=3, gateways=2, losses=1):
        self.record = Record(folder)
        self.losses = losses
        self.temporary = tempfile.TemporaryDirectory(prefix="mangoplank-review-")
        self.folder = self.temporary.name
        self.block, self.claim = self._claim_block()
        self.controllers = [Program(self, "controller", i + 1) for i in range(controllers)]
        self.gateways = [Program(self, "gateway", i + 1) for i in range(gateways)]
        self.workers, self.jobs, self.next_worker = [], {}, 0
        self.starts, self.end_list = [], []

    @staticmethod
    def _claim_block():
        """A block of loopback addresses that no other script uses while the socket is open."""
        for offset in range(100):
            block = 120 + (os.getpid() + offset) % 100
            claim = socket.socket()
            try:
                claim.bind((f"127.{block}.1.250", 8160))
                return block, claim
            except OSError:
                claim.close()
        raise OSError("no free block of loopback addresses")

    async def start(self, routes):
        for program in self.controllers + self.gateways:
            program.start(bootstrap=True)
        limits = {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                  "idle-timeout-ms": 15000}
        state = {"version": 1, "routes": routes, "limits": limits, "services": [
            {"name": SERVICE, "health-path": "/healthz", "max-connections": 64, "protocol": "h1",
             "tls": False, "enforce-capacity": False, "standby": False}]}
        for attempt in range(60):
            status, _ = await call((self.controllers[attempt % 3].ip, CONTROL_PORT), "POST",
                                   "/mangoplank/config/put", state)
            if status == 200:
                self.record.write("desired state 1 acknowledged")
                return
            await asyncio.sleep(0.2)
        raise OSError("the desired state was not acknowledged")

    async def add_worker(self, labels=(), address=None, cpu=16000):
        self.next_worker += 1
        if address is None:
            address = (f"127.{self.block}.3.{self.next_worker}", 8080)
        worker = Worker(self, f"i-{self.next_worker:04d}", address, list(labels), cpu)
        self.workers.append(worker)
        await worker.start()
        return worker

    def find_step(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["phases"][int(step)]

    def gang_members(self, run):
        prefix = run.task.rsplit(".", 1)[0] + "."
        return [(w, r) for w in self.workers for r in w.runs.values()
                if r.task.startswith(prefix) and r.number == run.number and r.stop_at is None]

    def worker_of(self, task):
        """The worker and the run of a task that is at work, or (None, None)."""
        for worker in self.workers:
            if task in worker.runs:
                return worker, worker.runs[task]
        return None, None

    def note_start(self, worker, task, number):
        self.starts.append((time.monotonic(), task, number, worker.id))
        self.record.write(f"start {task} run {number} on {worker.id}")

    def note_end(self, worker, run, how):
        self.end_list.append((time.monotonic(), run.task, run.number, how))
        self.record.write(f"end {run.task} run {run.number} on {worker.id}: {how}")

    async def submit(self, path, job_id, job):
        """Hands a job in until it is accepted. Returns whether it was."""
        self.jobs[job_id] = job
        for attempt in range(20):
            gateway = self.gateways[attempt % len(self.gateways)]
            status, _ = await call((gateway.ip, FRONT_PORT), "POST", path + job_id, job, HOST, 3.0)
            self.record.write(f"POST {job_id} -> {status}")
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state_of(self, path, job_id):
        """Asks the gateways for a job's state until one answers 200 or 410."""
        for attempt in range(20):
            gateway = self.gateways[attempt % len(self.gateways)]
            status, body = await call((gateway.ip, FRONT_PORT), "GET", path + job_id, None, HOST,
                                      3.0)
            if status in (200, 410):
                return body.get("state") if status == 200 else "410"
            await asyncio.sleep(0.3)
        return None

    async def run(self, scenario, trouble):
        try:
            return await scenario(self, trouble)
        finally:
            self.record.write("end of the scenario")
            for worker in list(self.workers):
                worker.end()
            await asyncio.sleep(0.1)

    def close(self):
        for program in self.controllers + self.gateways:
            program.end()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        self.temporary.cleanup()
        self.claim.close()


def route(prefix, attempts=3, priority=1):
    """A queue without advice."""
    return {"name": "r-" + prefix.strip("/"), "hostname": HOST, "path-prefix": prefix,
            "type": "unsafe", "timeout-ms": 3000, "target-latency-ms": 1200, "priority": priority,
            "backend": SERVICE, "max-attempts": attempts, "stretch-factor": 2.2}


def main(folder, scenario, limit_s=110):
    """Runs `scenario(cell, trouble)`, which returns the list of breaks, and exits with 1 if there
    is any, 0 if the rule held, and 2 if the case could not run."""
    cell, code = None, 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        cell = Cell(folder)
        breaks = asyncio.run(asyncio.wait_for(
            cell.run(scenario, os.environ.get("TROUBLE", "1") != "0"), limit_s))
        for text in breaks:
            cell.record.write("BROKEN " + text)
        code = 1 if breaks else 0
        cell.record.write("the rule was broken" if breaks else "the rule held")
    except Exception as error:  # Anything unforeseen: the case could not run.
        if cell is not None:
            cell.record.write(f"could not run: {error!r}")
        else:
            print(f"could not run: {error!r}")
    finally:
        if cell is not None:
            cell.close()
    raise SystemExit(code)
