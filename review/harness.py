"""Shared parts of the review's scripts: free loopback addresses, daemons started by the deploy file's commands, a record.

The stand-ins for store, replicas and clients are those of the project, platform/standin/fleet.py.
"""

import json
import os
import random
import shlex
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds of the sheet of the Tengri deployment.
BOUNDS = ["beat_ms=1200", "bounds.stable_ms=3000", "bounds.drain_ms=2000", "bounds.grace_s=8",
          "bounds.loss_slack_ms=200", "bounds.config_ms=2000", "bounds.revoke_strict=true", "bounds.revoke_ms=5000",
          "bounds.budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_extra=54", "bounds.lease_ms=3000",
          "bounds.thaw_ms=300", "bounds.version_ms=12000", "bounds.version_all_ms=17000",
          "bounds.fencing_enforced=true", "limits.memory_mb=260", "limits.max_fds=4100"]


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Network:
    """A loopback /24 of its own, so that cases may run side by side, and ports that are free there."""

    def __init__(self):
        generator = random.Random()
        self.prefix = f"127.{generator.randint(16, 250)}.{generator.randint(1, 250)}"
        fleet.STORE_IP = self.ip(1)
        fleet.STORE_PORT = free_port(self.ip(1))
        fleet.FRONTEND_PORT = free_port(self.ip(2))
        fleet.READY_PORT = free_port(self.ip(2))
        fleet.TARGET_PORT = free_port(self.ip(11))
        first = free_port(self.ip(2)) % 20000 + 20000
        fleet.INTERNAL_PORTS = f"{first},{first + 15}"

    def ip(self, number):
        return f"{self.prefix}.{number}"


class Daemon:
    """A process of the system, started in the repository by the deploy file's command for its role."""

    def __init__(self, role, ip, extra):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"][role]["run"]
        self.ip = ip
        self.name = f"{role}-{ip}"
        self.directory = tempfile.TemporaryDirectory()  # pylint: disable=consider-using-with
        self.settings = os.path.join(self.directory.name, "node.conf")
        lines = [f"node={self.name}", f"role={role}", f"ip={ip}", "zone=a", f"port_range={fleet.INTERNAL_PORTS}",
                 f"platform.addr={fleet.STORE_IP}:{fleet.STORE_PORT}", *BOUNDS, *extra]
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        self.command = shlex.split(command)
        self.log = open(os.path.join(self.directory.name, "log"), "wb")  # pylint: disable=consider-using-with
        self.start()

    def start(self):
        self.process = subprocess.Popen(  # pylint: disable=consider-using-with
            self.command, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "HOME": self.directory.name, "DOGWOODLATCH_BOOT": self.settings})

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def log_text(self):
        with open(os.path.join(self.directory.name, "log"), "rb") as file:
            return file.read().decode(errors="replace")


def start_router(ip):
    return Daemon("router", ip, [f"listen.front={ip}:{fleet.FRONTEND_PORT}", f"listen.ready={ip}:{fleet.READY_PORT}"])


def start_agent(ip):
    return Daemon("agent", ip, [f"app={ip}:{fleet.TARGET_PORT}"])


class Record:
    """Writes record.txt of a case: a line with the time for each event."""

    def __init__(self, directory):
        self.file = open(os.path.join(directory, "record.txt"), "w",  # pylint: disable=consider-using-with
                         encoding="utf-8")
        self.lock = threading.Lock()
        self.started = time.monotonic()
        self.note("trouble", value=TROUBLE)

    def now(self):
        return time.monotonic() - self.started

    def note(self, event, **fields):
        with self.lock:
            text = " ".join(f"{key}={value if isinstance(value, str) else json.dumps(value)}"
                            for key, value in fields.items())
            self.file.write(f"{self.now():8.3f} {event} {text}\n")
            self.file.flush()


class CannotRun(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


def require(condition, what):
    if not condition:
        raise CannotRun(what)


def play(directory, case):
    """Runs `case(record, network, daemons)`, which returns whether the rule was broken, and ends all processes."""
    record = Record(directory)
    daemons = []
    code = NOT_RUN
    try:
        is_broken = case(record, Network(), daemons)
        code = BROKEN if is_broken else HELD
    except CannotRun as fault:
        record.note("cannot_run", why=str(fault))
    except Exception as fault:  # pylint: disable=broad-except
        record.note("cannot_run", why=repr(fault))
    finally:
        if os.environ.get("SHOW_LOG"):
            for daemon in daemons:
                sys.stderr.write(daemon.log_text())
        for daemon in daemons:
            daemon.kill()
    verdict = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code]
    record.note("verdict", rule=verdict)
    print(verdict)
    sys.stdout.flush()
    os._exit(code)  # the stand-ins' threads end with the process
