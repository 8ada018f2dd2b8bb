"""Targets send heads and events without end, slowly and on as many connections as one target accepts.

Guards against running out of memory (issue 46): each stream kept up to 256 KB of an event that never ended, so that one
faulty target ended the router, and an event of many short lines kept its event loop busy for seconds.
"""

import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
MODEL, PLAIN = "127.0.1.11", "127.0.1.21"
# The smallest memory and the most connections that a target accepts in the deployments of today.
MEMORY_MB = 110
STREAMS = 630
PLAY_SECONDS = 4.5  # the events exceed their limit within 3.3 s
CALLER_SECONDS = 12
MAX_ANSWER_SECONDS = 1.0
BEHAVIOURS = ["trickled_head", "trickled_event", "trickled_lines"]


def configuration():
    """Returns a configuration with a route of streams that one target may run, for which callers wait long."""
    content = fleet.configuration(1, ["k1"], timeout_ms=15000)
    fleet.add_single_attempt_route(content, "once", 5.0)
    content["services"][0]["engine"] = {"slots": 2000, "kv_capacity": 100000000}
    return content


def memory_mb(daemon):
    with open(f"/proc/{daemon.process.pid}/status", encoding="ascii") as status:
        return int(next(line for line in status if line.startswith("VmHWM")).split()[1]) / 1024


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", configuration())
    fleet.Target(store, PLAIN, "p1", "plain")
    model = fleet.Target(store, MODEL, "m1", "model-service", "m")
    for behaviour in BEHAVIOURS:
        router = fleet.start_router(bin_dir, ROUTER, f"limits.memory_mb={MEMORY_MB}", "limits.max_fds=4100")
        try:
            check(behaviour, model, router)
        finally:
            router.process.kill()
            router.process.wait()


def open_streams(caller_sockets):
    """Requests the streams in another thread, as the router may not answer."""
    for number in range(STREAMS):
        try:
            caller = socket.create_connection((ROUTER, fleet.FRONTEND_PORT), timeout=5)
        except OSError:
            return
        caller_sockets.append(caller)
        fleet.send_stream_request(caller, "/once/x", ["a1:3", f"{number + 9:x}:7"], CALLER_SECONDS)
        if number % 50 == 0:
            time.sleep(0.05)


def check(behaviour, model, router):
    print(behaviour, "ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
    model.choose = lambda: behaviour
    before = len(model.ran)
    callers = []
    opener = threading.Thread(target=open_streams, args=(callers,))
    opener.start()
    end = time.monotonic() + PLAY_SECONDS
    statuses, slowest = set(), 0.0
    while time.monotonic() < end:
        started = time.monotonic()
        statuses.add(fleet.request(ROUTER, "/read/x")[0])
        slowest = max(slowest, time.monotonic() - started)
        time.sleep(0.05)
    opener.join()
    print("  others answered", statuses, "in time", slowest < MAX_ANSWER_SECONDS)
    # A short stream of a sound target is whole, whatever the endless ones have taken.
    model.choose = lambda: "good"
    print("  sound stream", fleet.stream(ROUTER)[1] == [str(event) for event in range(1, 9)])
    print("  ran", len(model.ran) - before > STREAMS // 2, "alive", router.process.poll() is None,
          "memory", memory_mb(router) < MEMORY_MB)
    for caller in callers:
        caller.close()
    time.sleep(0.5)
