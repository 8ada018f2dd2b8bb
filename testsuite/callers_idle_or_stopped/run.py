"""Callers' requests that cross the router's own closes: a router that stood still, and one that is stopped."""

import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER, PLAIN = "127.0.1.2", "127.0.1.21"
IDLE_LIMIT_MS = 500
STANDSTILL_SECONDS = 6.0
PLAN_SECONDS = 7.5
CALLERS = 20

# Time of a request's way: within it, the router cannot know of the request, nor the caller of a close.
WAY_SECONDS = 0.003

# A connection that was set up this shortly before the listening socket closed may be reset by that.
LISTENER_END_SECONDS = 0.02


class Connection:
    """A caller's connection; one request at a time."""

    def __init__(self):
        self.opened = time.monotonic()
        self.socket = socket.create_connection((ROUTER, fleet.FRONTEND_PORT), timeout=5)
        self.is_kept = True

    def has_ended(self):
        self.socket.setblocking(False)
        try:
            return self.socket.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self.socket.settimeout(5)

    def request(self):
        """Returns the status, or None if the connection ended without a complete answer."""
        received = b""
        try:
            self.socket.sendall((fleet.open_request_head(fleet.new_request_id()) + "Content-Length: 2\r\n\r\nhi").encode())
            while b"\r\n\r\n" not in received:
                chunk = self.socket.recv(65536)
                if not chunk:
                    return None
                received += chunk
            head, body = received.split(b"\r\n\r\n", 1)
            fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
            while len(body) < int(fields[b"content-length"]):
                chunk = self.socket.recv(65536)
                if not chunk:
                    return None
                body += chunk
        except OSError:
            return None
        self.is_kept = fields.get(b"connection") != b"close"
        return int(head.split(b" ")[1])

    def close(self):
        self.socket.close()


class Caller(threading.Thread):
    """Sends requests on kept and new connections until no connection can be opened."""

    def __init__(self, number):
        super().__init__(daemon=True)
        self.random = random.Random(number)
        self.statuses = []
        self.cuts = []  # times at which the connections of requests without an answer were opened
        self.refused_at = None

    def run(self):
        while self.refused_at is None:
            try:
                connection = Connection()
            except OSError:
                self.refused_at = time.monotonic()
                return
            self.use(connection)
            connection.close()

    def use(self, connection):
        # The request may follow the connection after a while.
        time.sleep(self.random.choice([0, 0, 0.01, 0.03]))
        for _ in range(self.random.randint(1, 10)):
            if not connection.is_kept or connection.has_ended():
                return
            time.sleep(WAY_SECONDS)
            status = connection.request()
            if status is None:
                self.cuts.append(connection.opened)
                return
            self.statuses.append(status)
            time.sleep(self.random.choice([0, 0.002, 0.01, 0.05]))


def run(bin_dir):
    store = fleet.Store()
    configuration = fleet.configuration(1, ["k1"])
    configuration["limits"]["idle_timeout_ms"] = IDLE_LIMIT_MS
    store.put("config", "main", configuration)
    fleet.Target(store, PLAIN, "p1", "plain")
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        check_standstill(router)
        check_stop(router)
    finally:
        router.process.kill()
        router.process.wait()


# Guards against requests that lie in the socket while the router stands still, and are cut by the idle timer.
def check_standstill(router):
    connections = [Connection() for _ in range(CALLERS)]
    print("first requests", {connection.request() for connection in connections})
    router.process.send_signal(signal.SIGSTOP)
    statuses = [None] * CALLERS

    def send(index):
        connections[index].socket.settimeout(STANDSTILL_SECONDS + 5)
        statuses[index] = connections[index].request()

    threads = [threading.Thread(target=send, args=(index,), daemon=True) for index in range(CALLERS)]
    for thread in threads:
        thread.start()
    time.sleep(STANDSTILL_SECONDS)
    router.process.send_signal(signal.SIGCONT)
    for thread in threads:
        thread.join()
    print("requests beside a standstill: no answer", statuses.count(None), "others", set(statuses) - {None, 200, 503})
    for connection in connections:
        connection.close()
    print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))


# Guards against requests that cross the closes and the end of a router that is stopped.
def check_stop(router):
    callers = [Caller(number) for number in range(CALLERS)]
    for caller in callers:
        caller.start()
    time.sleep(0.5)
    router.terminate()
    try:
        code = router.wait(PLAN_SECONDS)
    except subprocess.TimeoutExpired:
        code = "late"
    for caller in callers:
        caller.join(5)
    print("stopped", code)
    statuses = [status for caller in callers for status in caller.statuses]
    print("answered", statuses.count(200) > 100, "others", set(statuses) - {200, 503})
    refused = min(caller.refused_at for caller in callers)
    cuts = [opened for caller in callers for opened in caller.cuts]
    # Excused are only requests on connections that were set up as the listening socket closed.
    unexcused = [opened for opened in cuts if opened < refused - LISTENER_END_SECONDS]
    print("requests beside a stop: no answer", len(unexcused))
    sys.stderr.write(f"{len(statuses)} answered, {len(cuts)} without an answer\n")
