"""Streams of one target that falls silent and goes on; the others refuse them only after a quarter of a second."""

import concurrent.futures
import os
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
TARGETS = ["127.0.1.11", "127.0.1.12", "127.0.1.13"]
STREAMS = 12
ALL_EVENTS = [str(event) for event in range(1, 9)]


class Choice:
    """Lets the first runs pause in mid-stream and has every further one refused late."""

    def __init__(self):
        self.lock = threading.Lock()
        self.runs = 0

    def __call__(self):
        with self.lock:
            self.runs += 1
            return "silent 1.7" if self.runs <= STREAMS else "full after 0.28"


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    choice = Choice()
    for number, ip in enumerate(TARGETS):
        fleet.Target(store, ip, f"m{number}", "model-service", "m", choose=choice)
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        check_streams()
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()


# Guards against streams that are broken off because the target that they moved to refuses them late, when their silent
# target, which goes on, has been left.
def check_streams():
    with concurrent.futures.ThreadPoolExecutor(STREAMS) as callers:
        answers = list(callers.map(lambda _: fleet.stream(ROUTER), range(STREAMS)))
    whole = sum(status == 200 and events == ALL_EVENTS for status, events in answers)
    print(f"whole streams: {whole} of {STREAMS}")
