"""Runs the project's programs on loopback addresses for the cases of this review.

The programs are started with the commands of deploy/system.toml; only the path of the settings
file is replaced. The settings are platform/settings.ini.template, filled in as DEPLOY.md says."""

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
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ADDRESS_BLOCKS = 200
# As in platform/soak/soak.py, which uses the same addresses.
CLAIM_PORT = 8160
HOST = "queue.example"
MAX_RUN_S = 112
# As on the users' small deployments.
MAX_DESCRIPTORS = 4096

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up, so that it shows nothing."""


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begin = time.monotonic()
        self.broken = []

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.file.flush()

    def add_broken(self, rule, text):
        self.broken.append(rule)
        self.add(f"BROKEN {rule}: {text}")


def render(template, values):
    """Fills in the settings template."""
    def find(name):
        value = values
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
        return value

    def render_section(match):
        return "".join(match[2].replace("{{@}}", str(i)).replace("{{.}}", str(item))
                       for i, item in enumerate(find(match[1]) or []))

    def render_field(match):
        value = find(match[1])
        if value is None:
            return ""
        return str(value).lower() if isinstance(value, bool) else str(value)

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", render_section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)\}\}", render_field, text)


class Process:
    """One machine of the deployment with its process, address and disk."""

    def __init__(self, cell, role, number):
        self.cell, self.role, self.name = cell, role, f"{role}-{number}"
        group = 10 if role == "controller" else 20
        self.ip = f"127.{cell.block}.{group}.{number}"
        self.folder = os.path.join(cell.folder, self.name)
        self.data = os.path.join(self.folder, "data")
        self.child = None
        os.makedirs(self.data if role == "controller" else self.folder)

    def _write_settings(self, bootstrap):
        is_controller = self.role == "controller"
        values = {
            "node-name": self.name, "role": self.role, "ip": self.ip, "zone": "z1",
            "limits": {"max-fds": MAX_DESCRIPTORS, "memory-mb": 256},
            "bind-addrs": ({"control": f"{self.ip}:8166"} if is_controller else
                           {"front": f"{self.ip}:8161", "ready": f"{self.ip}:8167"}),
            "internal-ports": [7720, 7735], "seed-nodes": self.cell.seeds,
            "bootstrap": bootstrap, "data-dir": self.data if is_controller else None,
            "fault-tolerance": {"machines": 2, "zones": 0, "region-failures": 0},
            "advice": None,
            "bounds": {"grace-s": 6, "max-hold-ms": 6000},
        }
        role = self.cell.deploy["roles"][self.role]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as f:
            text = render(f.read(), values)
        path = os.path.join(self.folder, "settings")
        with open(path, "w", encoding="utf-8") as f:
            f.write(text)
        return path

    def start(self, bootstrap=False):
        path = self._write_settings(bootstrap)
        command = self.cell.deploy["roles"][self.role]["run"].split()
        command = [path if word.startswith("/etc/") else word for word in command]
        self.cell.record.add(f"start {self.name} at {self.ip} bootstrap={bootstrap}")
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.child = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)

    def send(self, number):
        self.cell.record.add(f"{number.name} {self.name}")
        if self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.child.wait()

    def wipe(self):
        self.cell.record.add(f"{self.name} loses its disk")
        shutil.rmtree(self.data)
        os.makedirs(self.data)


class Cell:
    """A small deployment: controllers (three of them seeds) and gateways."""

    def __init__(self, record, controllers=5, gateways=2):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
            self.deploy = tomllib.load(f)
        for role in self.deploy["roles"].values():
            if not os.path.exists(os.path.join(ROOT, role["run"].split()[0])):
                raise CannotRun("run the build of deploy/system.toml first")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review.")
        self.block, self.claim = self._claim_block()
        self.seeds = [f"127.{self.block}.10.{n}:8166" for n in (1, 2, 3)]
        self.processes = []
        self.controllers = [self.add("controller", n + 1) for n in range(controllers)]
        self.gateways = [self.add("gateway", n + 1) for n in range(gateways)]
        self.next_gateway = 0
        # The stand-ins that were started, so that they end with the case.
        self.workers = []

    @staticmethod
    def _claim_block():
        """A block of loopback addresses that no other case uses while the socket is open."""
        for offset in range(ADDRESS_BLOCKS):
            block = 16 + (os.getpid() + offset) % ADDRESS_BLOCKS
            claim = socket.socket()
            try:
                claim.bind((f"127.{block}.1.1", CLAIM_PORT))
                return block, claim
            except OSError:
                claim.close()
        raise CannotRun("no free block of addresses")

    def add(self, role, number):
        process = Process(self, role, number)
        self.processes.append(process)
        return process

    async def start(self, document):
        """Starts all processes; returns once the desired state is acknowledged."""
        for process in self.processes:
            process.start(bootstrap=True)
        end = time.monotonic() + 15
        while time.monotonic() < end:
            if await self.put_config(document) == 200:
                break
            await asyncio.sleep(0.2)
        else:
            raise CannotRun("the desired state was not acknowledged")

    async def put_config(self, document):
        for process in self.live_controllers():
            status, _ = await self.call_control(process, "POST", "/mangoplank/config/put",
                                                document)
            self.record.add(f"config/put {document['version']} at {process.name}: {status}")
            if status == 200:
                return status
        return 0

    async def get_config(self):
        for process in self.live_controllers():
            status, body = await self.call_control(process, "GET", "/mangoplank/config/get")
            self.record.add(f"config/get at {process.name}: {status}")
            if status == 200:
                return body
        return None

    def live_controllers(self):
        return [p for p in self.processes
                if p.role == "controller" and p.child and p.child.poll() is None]

    async def call_control(self, process, method, path, body=None):
        return await call((process.ip, 8166), method, path, body, timeout=1.0)

    async def request(self, method, path, body=None):
        """One attempt of a requester, each at the next gateway. Status 0 is no answer."""
        gateway = self.gateways[self.next_gateway % len(self.gateways)]
        self.next_gateway += 1
        status, answer = await call((gateway.ip, 8161), method, path, body,
                                    {"Host": HOST, "X-Mangoplank-Deadline-Ms": "2800"}, 3.0)
        self.record.add(f"{method} {path} at {gateway.name}: {status} {json.dumps(answer)}")
        return status, answer

    async def submit(self, path, job):
        """Sends a job until it is accepted, as a requester does."""
        for _ in range(6):
            status, _ = await self.request("POST", path, job)
            if 200 <= status < 300:
                return
            await asyncio.sleep(0.3)
        raise CannotRun(f"{path} was not accepted")

    async def find_leader(self):
        """The controller that says last in its log that it leads."""
        newest = (0, None)
        for process in self.live_controllers():
            with open(os.path.join(process.folder, "log"), encoding="utf-8") as f:
                for line in f:
                    found = re.search(r"leadership leads=true term=(\d+)", line)
                    if found:
                        newest = max(newest, (int(found[1]), process), key=lambda n: n[0])
        return newest[1]

    def close(self):
        for process in self.processes:
            if process.child and process.child.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.child.send_signal(signal.SIGCONT)
                    process.child.kill()
                process.child.wait()
        if os.environ.get("KEEP") == "1":
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_message(reader):
    """Returns (first line, headers, parsed body) of one HTTP message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {k.strip().lower(): v.strip() for k, _, v in (x.partition(":") for x in lines[1:])}
    data = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, json.loads(data) if data else None


def encode_request(address, method, path, body, headers):
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}",
             "Content-Type: application/json"]
    lines += [f"{k}: {v}" for k, v in {"Host": address[0], **(headers or {})}.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + data


async def call(address, method, path, body=None, headers=None, timeout=1.0):
    """One HTTP call on a channel of its own. Status 0 is no answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(encode_request(address, method, path, body, headers))
            first, _, answer = await read_message(reader)
            return int(first.split()[1]), answer
    except (OSError, TimeoutError, EOFError):
        return 0, None
    finally:
        if writer is not None:
            writer.transport.abort()


def queue(name, prefix, **changes):
    return {"name": name, "hostname": HOST, "path-prefix": prefix, "type": "unsafe",
            "timeout-ms": 3000, "target-latency-ms": 1200, "priority": 1, "backend": "pool",
            "max-attempts": 3, "stretch-factor": 4.0, **changes}


def desired_state(version, queues):
    return {"version": version, "routes": queues,
            "services": [{"name": "pool", "health-path": "/healthz", "max-connections": 64,
                          "protocol": "h1", "tls": False, "enforce-capacity": False,
                          "standby": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


async def run_bounded(run, cell, record):
    try:
        await asyncio.wait_for(run(cell, record), MAX_RUN_S)
    finally:
        for worker in list(cell.workers):
            worker.end("is ended with the case")
        await asyncio.sleep(0.1)


def main(folder, run):
    """Runs a case and ends with the exit code that the review asks for."""
    # Ended from outside, a case still ends what it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(folder)
    cell = None
    code = NOT_RUN
    try:
        cell = Cell(record)
        asyncio.run(run_bounded(run, cell, record))
        code = BROKEN if record.broken else HELD
    except (CannotRun, TimeoutError) as error:
        record.add(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        if cell is not None:
            cell.close()
    record.add(f"exit {code}")
    print({HELD: "held", BROKEN: "broken: " + ", ".join(sorted(set(record.broken))),
           NOT_RUN: "not run"}[code])
    sys.exit(code)
