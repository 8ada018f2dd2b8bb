"""Targets and callers that send bytes without end: no request waits for them, and memory stays bounded."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error
import socket

ROUTER = "127.0.1.2"
PLAIN = "127.0.1.21"
BEHAVIOURS = ["endless_head", "endless_interim", "endless_chunk_header", "endless_trailer", "endless_body",
              "endless_garbage"]
CONNECTIONS = 200
MAX_MEMORY_MB = 100
SECONDS_UNTIL_CUT = 8


def memory_mb(router):
    with open(f"/proc/{router.process.pid}/status", encoding="ascii") as status:
        return int(next(line for line in status if line.startswith("VmHWM")).split()[1]) / 1024


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    plain = fleet.Target(store, PLAIN, "p1", "plain")
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        check_targets(plain, router)
        check_callers(plain, router)
    finally:
        router.process.kill()
        router.process.wait()


def check_targets(plain, router):
    for behaviour in BEHAVIOURS:
        plain.behaviour = [behaviour]
        started = time.monotonic()
        status = fleet.request(ROUTER, "/write/x", "POST", b"1")[0]
        print(behaviour, status, "ended", time.monotonic() - started < 3.5)
    plain.behaviour = BEHAVIOURS * (CONNECTIONS // len(BEHAVIOURS))
    callers = [threading.Thread(target=lambda: fleet.request(ROUTER, "/write/x", "POST", b"1"))
               for _ in plain.behaviour]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    print("many at once, memory", memory_mb(router) < MAX_MEMORY_MB, "then", fleet.wait_until(
        lambda: fleet.request(ROUTER, "/read/x")[0] == 200))


def send_without_end(start, repeated, results):
    caller = socket.create_connection((ROUTER, fleet.FRONTEND_PORT), timeout=5)
    try:
        caller.sendall(start)
        end = time.monotonic() + SECONDS_UNTIL_CUT
        while time.monotonic() < end:
            caller.sendall(repeated)
        results.append("still accepted")
    except OSError:
        results.append("cut")
    caller.close()


def check_callers(plain, router):
    endings = [(lambda number: (fleet.open_request_head(f"e{number}") + "X-Fill: ").encode(), b"x" * 4096),
               (lambda number: (fleet.open_request_head(f"e{number}") + "Transfer-Encoding: chunked\r\n\r\n5;").encode(), b"e" * 4096),
               (lambda number: (fleet.open_request_head(f"e{number}") + "Transfer-Encoding: chunked\r\n\r\n0\r\n").encode(),
                b"X: " + b"t" * 4000 + b"\r\n"),
               (lambda number: (fleet.open_request_head(f"e{number}") + "Transfer-Encoding: chunked\r\n\r\n").encode(),
                b"1000\r\n" + b"b" * 4096 + b"\r\n")]
    results = []
    callers = [threading.Thread(target=send_without_end,
                                args=(endings[number % 4][0](number), endings[number % 4][1], results))
               for number in range(CONNECTIONS)]
    plain.ran = []
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    print("callers without end", set(results), "ran", len(plain.ran), "memory", memory_mb(router) < MAX_MEMORY_MB)

    # A head that comes a byte at a time is cut after the configured time, however regularly the bytes come.
    caller = socket.create_connection((ROUTER, fleet.FRONTEND_PORT), timeout=1)
    started = time.monotonic()
    caller.sendall(b"GET /open/x HTTP/1.1\r\nX-Slow: ")
    caller.settimeout(0.2)
    is_cut = False
    while not is_cut and time.monotonic() - started < 12:
        try:
            caller.sendall(b"x")
            is_cut = caller.recv(1) == b""
        except socket.timeout:
            pass
        except OSError:
            is_cut = True
    print("slow head cut", is_cut, "in time", time.monotonic() - started < 6)
    print("still served", fleet.request(ROUTER, "/read/x")[0])
