"""Shared by the scripts of review/6 to review/10: a small site on loopback addresses, and its record.

The stand-ins are those of platform/standin/fleet.py, placed on addresses that are free on this machine. The daemons are
started with the commands of the deploy file, from the root of the repository.
"""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
sys.path.insert(0, os.path.join(ROOT, "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds and limits of sites/ounje-lagos.toml, as its settings file gives them.
SETTINGS = [
    "class=front", "region=lagos", "zones.a=lagos", "bootstrap=true", "in_tolerance=false", "limits.cores=1",
    "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip",
    "beat_ms=1200", "bounds.seed_lag_s=3", "bounds.reuse_s=2", "bounds.stable_ms=3000", "bounds.ack_ms=4000",
    "bounds.catchup_s=4", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200",
    "bounds.config_ms=2000", "bounds.rollback_slack_ms=250", "bounds.skew_max_ms=5000", "bounds.revoke_strict=true",
    "bounds.revoke_ms=5000", "bounds.budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_extra=58",
    "bounds.recover_s=12", "bounds.transit_ms=120", "bounds.retry_s=10", "bounds.fencing_enforced=true",
    "bounds.lease_ms=3000", "bounds.thaw_ms=300", "bounds.version_ms=12000", "bounds.version_all_ms=17000",
    "platform.form=objects", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
    "platform.value_bytes=1048576", "platform.ttl_min_ms=1000"]
FRONT_MEMORY_MB, SIDE_MEMORY_MB = 110, 192


class Record:
    """Writes what was sent, answered and run to record.txt of the case, and to standard output."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, *words):
        line = f"{time.monotonic() - self.started:8.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


def free_network():
    """Returns the first three numbers of loopback addresses on which the ports of the stand-ins are free."""
    ports = [fleet.STORE_PORT, fleet.FRONTEND_PORT, fleet.READY_PORT, fleet.METRICS_PORT, fleet.TARGET_PORT]
    for _ in range(100):
        network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        try:
            for port in ports:
                with socket.socket() as probe:
                    probe.bind((f"{network}.1", port))
            return network
        except OSError:
            continue
    raise OSError("no free loopback addresses")


class PagedStore(fleet.Store):
    """A store whose lists come in pages of at most 500 objects or 1 MB, in the order of the names."""

    PAGE_OBJECTS, PAGE_BYTES = 500, 1 << 20
    HISTORY_SECONDS = 20  # history_s; a watch from before is answered 410

    def __init__(self, *arguments):
        self.list_calls = []  # the query of each list of `servers`
        self.written = []  # (time, revision) of what the history holds
        self.encoded = {}  # by name and revision, as large objects take long to encode
        self.slowest_answer = 0.0  # seconds, other than the wait of a watch
        super().__init__(*arguments)

    def encode_object(self, item):
        key = item["metadata"]["name"], item["metadata"]["rev"]
        if key not in self.encoded:
            self.encoded[key] = encode(item)
        return self.encoded[key]

    def put(self, kind, name, spec):
        with self.changed:
            item = super().put(kind, name, spec)
            self.encode_object(item)
            now = time.monotonic()
            self.written.append((now, self.revision))
            while now - self.written[0][0] > self.HISTORY_SECONDS:
                self.oldest_history = self.written.pop(0)[1]
            self.history = [entry for entry in self.history if entry[0] > self.oldest_history]
        return item

    def answer_objects(self, handler, value):
        """Answers a watch."""
        started = time.monotonic()
        events = b",".join(b'{"deleted":%s,"object":%s}' % (encode(event["deleted"]), self.encode_object(event["object"]))
                           for event in value["events"])
        body = b'{"events":[%s],"as_of":%d}' % (events, value["as_of"])
        self.slowest_answer = max(self.slowest_answer, time.monotonic() - started)
        return handler.answer(200, body, [("Content-Type", "application/json"), *self.era_header()])

    def serve(self, handler, method, path, headers, body):
        path_only, _, query = path.partition("?")
        kind, _, name = path_only.removeprefix("/dogwoodlatch/objects/").partition("/")
        options = dict(urllib.parse.parse_qsl(query))
        if method != "GET" or name or "watch" in options or self.is_refusing:
            return super().serve(handler, method, path, headers, body)
        if kind == "servers":
            self.list_calls.append(query)
        with self.changed:
            items = [item for key, item in sorted(self.objects.get(kind, {}).items()) if key > options.get("after", "")]
            revision = self.revision
        page, size = [], 0
        for item in items:
            size += len(self.encode_object(item))
            if page and (len(page) == self.PAGE_OBJECTS or size > self.PAGE_BYTES):
                break
            page.append(item)
        body = b'{"items":[%s],"has_more":%s,"as_of":%d}' % (
            b",".join(self.encode_object(item) for item in page), encode(len(page) < len(items)), revision)
        return handler.answer(200, body, [("Content-Type", "application/json"), *self.era_header()])


def encode(value):
    return json.dumps(value, separators=(",", ":")).encode()


class Daemon(fleet.Daemon):
    """A daemon that runs as the deploy file says, with the settings of a small site."""

    def __init__(self, role, ip, extra):
        self.ip, self.role = ip, role
        self.settings = tempfile.NamedTemporaryFile("w", suffix=".conf")  # pylint: disable=consider-using-with
        lines = [f"node={role}-{ip}", f"role={role}", f"ip={ip}", "zone=a", f"port_range={fleet.INTERNAL_PORTS}",
                 f"platform.addr={fleet.STORE_IP}:{fleet.STORE_PORT}", *SETTINGS, *extra]
        self.settings.write("\n".join(lines) + "\n")
        self.settings.flush()
        self.log = tempfile.TemporaryFile()  # pylint: disable=consider-using-with
        self.command = [os.path.join("target", "bin", "dogwoodlatchd"), role]
        self.start()

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen(  # pylint: disable=consider-using-with
            self.command, stdout=self.log, stderr=self.log, cwd=ROOT,
            env={**environment, "DOGWOODLATCH_BOOT": self.settings.name})

    def memory_mb(self):
        """Returns the present resident memory; 0 if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
                return next((int(line.split()[1]) / 1024 for line in status if line.startswith("VmRSS")), 0.0)
        except OSError:
            return 0.0

    def stop(self):
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()


class Machine:
    """Plays the platform for one daemon: kills it over its memory, and starts it again."""

    RESTART_DELAY = 0.5  # the platform starts a process that it has killed again after a short delay

    def __init__(self, record, daemon, memory_mb):
        self.record, self.daemon, self.memory_mb = record, daemon, memory_mb
        self.kills, self.most, self.down_since = 0, 0.0, None

    def look(self):
        now = time.monotonic()
        if self.down_since is not None:
            if now - self.down_since >= self.RESTART_DELAY:
                self.down_since = None
                self.daemon.start()
            return
        memory = self.daemon.memory_mb()
        self.most = max(self.most, memory)
        ended = self.daemon.process.poll()
        if ended is None and memory <= self.memory_mb:
            return
        self.kills += 1
        self.record(f"{self.daemon.role} {self.daemon.ip}:",
                    f"killed at {memory:.0f} MB of {self.memory_mb} MB" if ended is None else f"ended with {ended}")
        self.daemon.process.kill()
        self.daemon.process.wait()
        self.down_since = now


class Site:
    """Addresses, store and daemons of one run; all of them end with it."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.network = free_network()
        fleet.STORE_IP = self.ip(1)
        self.daemons = []

    def ip(self, number):
        return f"{self.network}.{number}"

    def router(self, number=2, *extra):
        ip = self.ip(number)
        daemon = Daemon("router", ip, [
            "serves=front", f"listen.front={ip}:{fleet.FRONTEND_PORT}", f"listen.ready={ip}:{fleet.READY_PORT}",
            "limits.cpu_share=0.19", f"limits.memory_mb={FRONT_MEMORY_MB}", *extra])
        self.daemons.append(daemon)
        return daemon

    def agent(self, number, *extra):
        ip = self.ip(number)
        daemon = Daemon("agent", ip, ["serves=side", f"app={ip}:{fleet.TARGET_PORT}", "limits.cpu_share=0.2",
                                      f"limits.memory_mb={SIDE_MEMORY_MB}", *extra])
        self.daemons.append(daemon)
        return daemon

    def close(self):
        for daemon in self.daemons:
            daemon.stop()


def run_case(folder, case):
    """Runs `case(site)` and returns its exit code."""
    site = None
    try:
        site = Site(folder)
        code = case(site)
        site.record({HELD: "HELD", BROKEN: "BROKEN", COULD_NOT_RUN: "COULD NOT RUN"}[code])
        return code
    except Exception as error:  # pylint: disable=broad-exception-caught
        if site:
            site.record("COULD NOT RUN:", repr(error))
        else:
            print(repr(error))
        return COULD_NOT_RUN
    finally:
        if site:
            site.close()
