"""Crowds of clients that send what is legal but costly, and what a daemon must hold under them.

The cases check nothing that depends on the machine's speed: the process lives, its peak memory and its open descriptors
stay under what its settings file gives it, and one ordinary request is answered afterwards.
"""

import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER, MODEL, PLAIN = "127.0.1.2", "127.0.1.11", "127.0.1.21"
# What the settings file gives each daemon; also the bounds of the cases.
MEMORY_MB, MAX_DESCRIPTORS = 32, 700
LIMITS = (f"limits.memory_mb={MEMORY_MB}", f"limits.max_fds={MAX_DESCRIPTORS}")
CLIENTS = 300
HEAD_BYTES, BODY_BYTES = 16384, 4194304
HOLD_SECONDS = 1.0
PIECE = 256 * 1024
SHORT_BYTES = 1024


def configuration(timeout_ms=3000):
    content = fleet.configuration(1, ["k1"], timeout_ms=timeout_ms, idle_timeout_ms=15000)
    content["limits"]["max_header_bytes"] = HEAD_BYTES
    content["limits"]["max_body_bytes"] = BODY_BYTES
    return content


def head_of(line, identity, is_complete):
    """Returns a head just under the limit that repeats `line`; a complete one announces a body that never comes."""
    start = fleet.open_request_head(identity).encode() + b"Content-Length: 9\r\n"
    lines = line * ((HEAD_BYTES - 16 - len(start)) // len(line))
    return start + lines + (b"\r\n" if is_complete else b"")


def body_of(identity, key, is_chunked):
    """Returns head and body of a request of the largest legal size without its last byte."""
    framing = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {BODY_BYTES}"
    fields = fleet.request_headers(key, {}, identity)
    lines = ["POST /write/x HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items()), framing]
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    if not is_chunked:
        return head + b"b" * (BODY_BYTES - 1)
    chunk = b"%x\r\n" % PIECE + b"b" * PIECE + b"\r\n"
    return head + chunk * (BODY_BYTES // PIECE - 1) + chunk[:-3]


class Crowd:
    """Connections of one thread. What they send, they send without waiting for each other."""

    def __init__(self, ip, port):
        self.address = (ip, port)
        self.connections = {}  # socket: what it has yet to send

    def join(self, payloads, receive_buffer=None):
        for payload in payloads:
            client = socket.socket()
            if receive_buffer:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
            client.settimeout(5)
            try:
                client.connect(self.address)
                # What is short is sent before the next client comes, so that no connection is idle meanwhile.
                if len(payload) <= SHORT_BYTES:
                    client.sendall(payload)
                    payload = b""
            except OSError:
                client.close()
                continue
            client.setblocking(False)
            self.connections[client] = memoryview(payload)

    def send(self, seconds, piece=PIECE):
        """Sends pieces in turn until all is sent, no connection takes more, or the time is over."""
        end = time.monotonic() + seconds
        while any(self.connections.values()) and time.monotonic() < end:
            is_stuck = True
            for client, left in self.connections.items():
                try:
                    sent = client.send(left[:piece]) if left else 0
                except BlockingIOError:
                    sent = 0
                except OSError:  # closed by the daemon, as it may
                    sent = len(left)
                self.connections[client] = left[sent:]
                is_stuck = is_stuck and sent == 0
            time.sleep(0.05 if is_stuck else 0.001)

    def leave(self):
        for client in self.connections:
            client.close()
        self.connections = {}


def count_descriptors(daemon):
    return len(os.listdir(f"/proc/{daemon.process.pid}/fd"))


def report(name, daemon, descriptors):
    """Prints whether the daemon has lived within its bounds; what it has used goes to standard error."""
    is_alive = daemon.process.poll() is None
    memory = daemon.peak_memory_mb() if is_alive else 0.0
    print(f"{name}: alive", is_alive, "memory", memory < MEMORY_MB, "descriptors", descriptors < MAX_DESCRIPTORS)
    print(f"{name}: peak {memory:.1f} MB, {descriptors} descriptors", file=sys.stderr)


def attack(name, daemon, port, payloads, seconds=4.0, piece=PIECE, receive_buffer=None):
    """Lets a crowd send its payloads, holds its connections for a while, and reports on the daemon."""
    crowd = Crowd(daemon.ip, port)
    crowd.join(payloads, receive_buffer)
    crowd.send(seconds, piece)
    time.sleep(HOLD_SECONDS)
    descriptors = count_descriptors(daemon) if daemon.process.poll() is None else 0
    report(name, daemon, descriptors)
    crowd.leave()


def report_served(ip=ROUTER):
    """Prints whether an ordinary request is answered now that the crowd has left."""
    print("  then", fleet.wait_until(lambda: fleet.request(ip, "/read/x")[0] == 200))


class Site:
    """A router, a plain target and a model target without an agent; one router for each attack."""

    def __init__(self, bin_dir, timeout_ms=3000):
        self.bin_dir = bin_dir
        self.store = fleet.Store()
        self.store.put("config", "main", configuration(timeout_ms))
        self.plain = fleet.Target(self.store, PLAIN, "p1", "plain")
        fleet.Target(self.store, MODEL, "m1", "model-service", "m")

    def attack(self, name, payloads, port=fleet.FRONTEND_PORT, **options):
        router = fleet.start_router(self.bin_dir, ROUTER, *LIMITS)
        try:
            if not fleet.wait_until(lambda: fleet.is_ready(ROUTER)):
                print(name, "not ready")
            attack(name, router, port, payloads, **options)
            report_served()
        finally:
            router.process.kill()
            router.process.wait()
