"""The programs of the deploy file as separate processes on loopback addresses, as a small
installation runs them: 5 controllers of which 2 may be lost, and gateways."""

import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CONTROLLERS = 5
SEEDS = 3
LOSSES = 2
GRACE_S = 6
MAX_HOLD_MS = 6000
FRONT_PORT, CONTROL_PORT, READY_PORT = 8161, 8166, 8167
INTERNAL_PORTS = [7720, 7735]


def _lookup(values, name):
    value = values
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part)
        if value is None:
            return None
    return value


def render(template, values):
    """Fills in the settings template as DEPLOY.md describes."""
    def section(match):
        items = _lookup(values, match[1]) or []
        return "".join(match[2].replace("{{@}}", str(i)).replace("{{.}}", str(item))
                       for i, item in enumerate(items))

    def field(match):
        value = _lookup(values, match[1])
        if value is None:
            return ""
        return str(value).lower() if isinstance(value, bool) else str(value)

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)\}\}", field, text)


class Process:
    """One program on an address of its own."""

    def __init__(self, deployment, role, number):
        self.deployment, self.role, self.number = deployment, role, number
        self.name = f"{role}-{number}"
        group = 10 if role == "controller" else 20
        self.ip = f"127.{deployment.block}.{group}.{number}"
        self.folder = os.path.join(deployment.folder, self.name)
        os.makedirs(self.folder)
        self.child = None

    def start(self, bootstrap):
        deployment = self.deployment
        values = {
            "node-name": self.name, "ip": self.ip, "zone": f"zone-{self.number % 3 + 1}",
            "bootstrap": bootstrap, "limits": {"max-fds": 4096, "memory-mb": 256},
            "bind-addrs": {"front": f"{self.ip}:{FRONT_PORT}", "ready": f"{self.ip}:{READY_PORT}",
                           "control": f"{self.ip}:{CONTROL_PORT}"},
            "internal-ports": INTERNAL_PORTS,
            "seed-nodes": [f"{p.ip}:{CONTROL_PORT}" for p in deployment.controllers[:SEEDS]],
            "data-dir": os.path.join(self.folder, "data") if self.role == "controller" else None,
            "fault-tolerance": {"machines": LOSSES}, "advice": None,
            "bounds": {"grace-s": GRACE_S, "max-hold-ms": MAX_HOLD_MS},
        }
        with open(os.path.join(ROOT, "platform/settings.ini.template"), encoding="utf-8") as f:
            text = render(f.read(), values)
        path = os.path.join(self.folder, "settings.ini")
        with open(path, "w", encoding="utf-8") as f:
            f.write(text)
        program = os.path.join(ROOT, "target", f"mangoplank-{self.role}")
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.child = subprocess.Popen([program, "--config", path], stdout=log, stderr=log,
                                          cwd=ROOT)

    def send(self, number):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    def log_lines(self, word):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as f:
            return [line.rstrip("\n") for line in f if word in line]


class Deployment:
    """All processes of one run, in a temporary folder."""

    def __init__(self, gateways=3):
        missing = [p for p in ("mangoplank-controller", "mangoplank-gateway")
                   if not os.path.exists(os.path.join(ROOT, "target", p))]
        if missing:
            raise RuntimeError("not built: " + ", ".join(missing))
        self.folder = tempfile.mkdtemp(prefix="review-3.")
        self.block, self._claim = self._claim_block()
        self.controllers = []
        self.controllers += [Process(self, "controller", i + 1) for i in range(CONTROLLERS)]
        self.gateways = [Process(self, "gateway", i + 1) for i in range(gateways)]

    @staticmethod
    def _claim_block():
        """A block of loopback addresses that no other run uses while the socket is open."""
        for offset in range(200):
            block = 17 + (os.getpid() + offset) % 200
            claim = socket.socket()
            try:
                claim.bind((f"127.{block}.1.2", 8159))
                return block, claim
            except OSError:
                claim.close()
        raise RuntimeError("no block of loopback addresses is free")

    def start(self):
        for process in self.controllers + self.gateways:
            process.start(process.role == "controller")

    @property
    def fronts(self):
        return [(p.ip, FRONT_PORT) for p in self.gateways]

    @property
    def controls(self):
        return [(p.ip, CONTROL_PORT) for p in self.controllers]

    def leader(self):
        """The controller that says it leads, by the last line of each log; None if unclear."""
        leaders = []
        for process in self.controllers:
            lines = process.log_lines(" leadership leads=")
            if lines and "leads=true" in lines[-1] and process.child.poll() is None:
                leaders.append((int(re.search(r"term=(\d+)", lines[-1])[1]), process))
        return max(leaders, key=lambda pair: pair[0])[1] if leaders else None

    def ended_by_themselves(self):
        return [p.name for p in self.controllers + self.gateways
                if p.child is not None and p.child.poll() is not None]

    def stop(self, keep_logs_in=None):
        for process in self.controllers + self.gateways:
            process.send(signal.SIGKILL)
        for process in self.controllers + self.gateways:
            process.kill()
        if keep_logs_in:
            os.makedirs(keep_logs_in, exist_ok=True)
            for process in self.controllers + self.gateways:
                shutil.copy(os.path.join(process.folder, "log"),
                            os.path.join(keep_logs_in, process.name + ".log"))
        shutil.rmtree(self.folder, ignore_errors=True)
        self._claim.close()
