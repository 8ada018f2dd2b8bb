"""Malformed datagrams reach a router and an agent while requests run.

Guards against LOST (review/1): nine bytes ended the process that received them, and all its requests with it.
"""

import os
import random
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER, MODEL, PLAIN = "127.0.1.2", "127.0.1.11", "127.0.1.21"
PORT = int(fleet.INTERNAL_PORTS.split(",", maxsplit=1)[0])
SIZES_TOO_LARGE = [bytes([head]) + b"\x7f" + b"\xff" * 7 for head in (0x9B, 0xBB, 0x5B, 0x7B)]
CALLERS = 8


def random_datagrams(count, seed):
    """Returns random bytes, half of them in a map as all datagrams are."""
    source = random.Random(seed)
    return [(b"\xbf" if source.random() < 0.5 else b"") + source.randbytes(source.randrange(1, 200))
            for _ in range(count)]


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    fleet.Target(store, MODEL, "m1", "model-service", "m")
    plain = fleet.Target(store, PLAIN, "p1", "plain")
    daemons = [fleet.start_router(bin_dir, ROUTER), fleet.start_agent(bin_dir, MODEL)]
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        time.sleep(0.5)  # the agent is up
        check(plain, daemons)
    finally:
        for daemon in daemons:
            daemon.process.kill()
            daemon.process.wait()


def check(plain, daemons):
    plain.choose = lambda: "mute"
    statuses = []
    callers = [threading.Thread(
        target=lambda: statuses.append(fleet.request(ROUTER, "/write/x", "POST", b"1")[0])) for _ in range(CALLERS)]
    for caller in callers:
        caller.start()
    print("running", fleet.wait_until(lambda: len(plain.ran) == CALLERS))
    datagrams = SIZES_TOO_LARGE + random_datagrams(200, seed=46)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for datagram in datagrams:
            for ip in (ROUTER, MODEL):
                sender.sendto(datagram, (ip, PORT))
            time.sleep(0.002)
    for caller in callers:
        caller.join()
    print("answered", statuses == [200] * CALLERS)
    print("alive", [daemon.process.poll() is None for daemon in daemons])
    counted = fleet.metric(ROUTER, "dogwoodlatch_bad_datagrams_total")
    print("counted", counted == len(datagrams), "exceptions", fleet.metric(ROUTER, "dogwoodlatch_handler_failures"))
    print("logged at a bounded rate", [1 <= daemon.log_text().count(" E311 ") <= 5 for daemon in daemons])
    plain.choose = None
    print("then", fleet.request(ROUTER, "/read/x")[0], fleet.stream(ROUTER)[0])
