"""The programs of the deploy file as separate processes on loopback addresses, as a small
installation runs them: 5 controllers of which 2 may be lost, and gateways."""

import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
from types import SimpleNamespace

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.append(os.path.join(ROOT, "platform", "soak"))
from soak import Process as SoakProcess  # noqa: E402

CONTROLLERS = 5
LOSSES = 2
GRACE_S = 6
FRONT_PORT, CONTROL_PORT, ADVICE_PORT = 8161, 8166, 8169


class Process:
    """One program on an address of its own."""

    def __init__(self, deployment, role, number):
        # The soak's stand-in of the platform renders the settings, in a folder of its own.
        self.settings = SoakProcess(deployment.settings, role, number)
        self.role, self.number, self.name = role, number, self.settings.name
        self.ip, self.folder = self.settings.ip, self.settings.folder
        self.child = None

    def start(self, bootstrap):
        path = self.settings.write_settings(bootstrap)
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
        self.settings = SimpleNamespace(
            address_block=self.block, folder=self.folder, bin=os.path.join(ROOT, "target"),
            model=None, tolerated_losses=LOSSES, controls=[],
            # Nothing listens there: no queue of the cases has advice.
            eligibility_address=(f"127.{self.block}.40.1", ADVICE_PORT),
            options=SimpleNamespace(grace=GRACE_S, relay=False))
        self.controllers = [Process(self, "controller", i + 1) for i in range(CONTROLLERS)]
        self.settings.controls += [p.settings for p in self.controllers]
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
