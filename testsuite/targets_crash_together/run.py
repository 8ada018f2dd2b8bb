"""Half of the targets crash in the same instant, in the middle of streams that may be resumed."""

import concurrent.futures
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
TARGETS = [f"127.0.1.{number}" for number in range(11, 19)]
CRASHING = len(TARGETS) // 2
STREAMS = 24
ALL_EVENTS = [str(event) for event in range(1, 9)]


class Choice:
    """Has each of the first runs pause in mid-stream, so that all of them are under way at the same time."""

    def __init__(self):
        self.lock = threading.Lock()
        self.runs = 0

    def __call__(self):
        with self.lock:
            self.runs += 1
            return "silent 0.6" if self.runs <= 2 * STREAMS else "good"


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    choice = Choice()
    targets = [fleet.Target(store, ip, f"m{number}", "model-service", "m", choose=choice)
               for number, ip in enumerate(TARGETS)]
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        check_streams(targets)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()


def send_streams(executor):
    # Bodies differ, or the streams would count as one request that crashes its targets.
    return [executor.submit(fleet.stream, ROUTER, body=b"prompt %d" % number) for number in range(STREAMS)]


def count_whole(streams):
    answers = [stream.result() for stream in streams]
    return sum(status == 200 and events == ALL_EVENTS for status, events in answers)


# Guards against streams that are cut because they were sent on to a target that had crashed in the same instant.
def check_streams(targets):
    with concurrent.futures.ThreadPoolExecutor(STREAMS) as callers:
        # These leave idle connections to all targets.
        print(f"whole before the crash: {count_whole(send_streams(callers))} of {STREAMS}")
        streams = send_streams(callers)
        time.sleep(0.35)
        for target in targets[:CRASHING]:
            target.crash()
        print(f"whole beside the crash: {count_whole(streams)} of {STREAMS}")
