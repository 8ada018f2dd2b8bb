"""What the scripts of the third review share: a small deployment of real daemons and stand-ins on loopback addresses.

The store and the replicas are the project's own stand-ins (platform/standin/fleet.py), the replicas with their own
answers. Addresses are drawn anew for each run, so that all ports are free.
"""

import contextlib
import json
import os
import random
import socket
import sys
import threading
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

BIN_DIR = os.path.join(ROOT, "target", "bin")

# The bounds of the small sites.
BOUNDS = ["beat_ms=1200", "bounds.stable_ms=3000", "bounds.drain_ms=2000", "bounds.grace_s=8",
          "bounds.loss_slack_ms=200", "bounds.config_ms=2000", "bounds.revoke_strict=true", "bounds.revoke_ms=5000",
          "bounds.budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_extra=54",
          "bounds.fencing_enforced=true", "bounds.lease_ms=3000", "bounds.thaw_ms=300", "bounds.version_ms=12000",
          "bounds.version_all_ms=17000", "limits.memory_mb=260", "limits.max_fds=4100"]

HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The deployment did not come up, so the case says nothing."""


def draw_network():
    """Returns the first three numbers of loopback addresses that nobody uses."""
    for _ in range(50):
        prefix = f"127.{random.randint(2, 250)}.{random.randint(2, 250)}"
        try:
            for port in (fleet.STORE_PORT, fleet.FRONTEND_PORT, fleet.READY_PORT, fleet.METRICS_PORT, 17340):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.1", port))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free addresses")


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")  # pylint: disable=consider-using-with

    def write(self, what, **fields):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started_at:8.3f} {what} {json.dumps(fields)}\n")
            self.file.flush()


class Deployment:
    """The daemons and stand-ins of a run. All of them end with it."""

    def __init__(self, record):
        self.prefix = draw_network()
        fleet.STORE_IP = f"{self.prefix}.1"
        self.record = record
        self.store = fleet.Store()
        self.daemons = []

    def ip(self, number):
        return f"{self.prefix}.{number}"

    def start_router(self, number, *settings):
        ip = self.ip(number)
        daemon = fleet.start_router(BIN_DIR, ip, *BOUNDS, *settings)
        self.daemons.append(daemon)
        return daemon

    def start_agent(self, number, *settings):
        daemon = fleet.start_agent(BIN_DIR, self.ip(number), *BOUNDS, *settings)
        self.daemons.append(daemon)
        return daemon

    def stop(self):
        for daemon in self.daemons:
            if daemon.process.poll() is None:
                daemon.process.kill()
        for daemon in self.daemons:
            daemon.process.wait()


def wait_for(condition, seconds, what):
    if not fleet.wait_until(condition, seconds):
        raise CannotRun(what)


def run_case(folder, case):
    """Runs `case(deployment, record, has_trouble)`, which returns the broken promises, and exits."""
    if not os.path.exists(os.path.join(BIN_DIR, "dogwoodlatchd")):
        print("the build of the deploy file is missing")
        sys.exit(CANNOT_RUN)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    deployment = None
    broken, fault = [], None
    try:
        deployment = Deployment(record)
        broken = case(deployment, record, has_trouble)
    except Exception as error:  # pylint: disable=broad-exception-caught
        fault = error  # whatever it is, the rule was not judged
    finally:
        if deployment:
            deployment.stop()
    lines = [f"BROKEN: {line}" for line in broken] or ["held"]
    if fault is not None:
        lines = [f"the case could not run: {fault!r}"]
    with contextlib.suppress(OSError):  # nobody may read the output
        for line in lines:
            record.write("verdict", is_judged=fault is None, line=line)
            print(line, flush=True)
    # The threads of the stand-ins may still wait.
    os._exit(CANNOT_RUN if fault is not None else BROKEN if broken else HOLDS)


class StoreLink:
    """The way of one daemon to the store. While it is cut, nothing passes, neither on old connections nor on new."""

    def __init__(self, deployment, number):
        self.upstream = (fleet.STORE_IP, fleet.STORE_PORT)
        self.is_open = threading.Event()
        self.is_open.set()
        self.listener = socket.create_server((deployment.ip(number), fleet.STORE_PORT))
        self.address = f"{deployment.ip(number)}:{fleet.STORE_PORT}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            caller, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(caller,), daemon=True).start()

    def serve(self, caller):
        self.is_open.wait()
        try:
            store = socket.create_connection(self.upstream)
        except OSError:
            caller.close()
            return
        for source, destination in ((caller, store), (store, caller)):
            threading.Thread(target=self.forward, args=(source, destination), daemon=True).start()

    def forward(self, source, destination):
        try:
            while received := source.recv(65536):
                self.is_open.wait()
                destination.sendall(received)
        except OSError:
            pass
        for end in (source, destination):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # the other direction has ended it
