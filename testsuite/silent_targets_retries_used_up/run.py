"""Streams that leave a silent target and are refused when the budget for retries is used up."""

import concurrent.futures
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
MODEL_TARGETS = ["127.0.1.11", "127.0.1.12", "127.0.1.13", "127.0.1.14"]
STREAMS = 20
ALL_EVENTS = [str(event) for event in range(1, 9)]


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    model = fleet.PlannedRuns(store, "model-service", "m", MODEL_TARGETS)
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        check_streams(model)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()


# Guards against streams that are broken off because the retries were spent on leaving a silent target, which goes on,
# and none is left for the return to it.
def check_streams(model):
    model.planned = [(0, "silent 1.9")] * STREAMS + [(0.5, "full")] * STREAMS
    with concurrent.futures.ThreadPoolExecutor(STREAMS) as callers:
        answers = list(callers.map(lambda _: fleet.stream(ROUTER), range(STREAMS)))
    whole = sum(status == 200 and events == ALL_EVENTS for status, events in answers)
    print(f"whole streams: {whole} of {STREAMS}")
